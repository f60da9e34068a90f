# Shell functions that start a small fleet on loopback; sourced by tools/demo and the experiments.
# Every program writes the addresses it bound to a file in $fleet; ports are chosen by the kernel.

fleet=$(mktemp -d)
bin=${bin:-build}
pids=()

stop_fleet() {
    local pid
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$fleet"
}

# start NAME PROGRAM [ARGUMENT...] - runs a program in the background and waits until it has bound its addresses.
start() {
    local name=$1
    shift
    "$@" --ports-file "$fleet/$name.ports" >"$fleet/$name.log" 2>&1 &
    pids+=($!)
    local i
    for ((i = 0; i < 200; ++i)); do
        [[ -s $fleet/$name.ports ]] && return 0
        kill -0 "${pids[-1]}" 2>/dev/null || break
        sleep 0.05
    done
    echo "$name did not start:" >&2
    tail -5 "$fleet/$name.log" >&2
    return 1
}

# address NAME KEY - prints an address that a program bound.
address() {
    sed -E "s/.*\"$2\":\"([^\"]*)\".*/\1/" "$fleet/$1.ports"
}

# start_daemon VM FAILURE-DOMAIN REGION PLATFORM [SEED] - runs a daemon and enters it into the VM list.
start_daemon() {
    local vm=$1 domain=$2 region=$3 platform=$4 seed=${5:-}
    cat >"$fleet/$vm.json" <<JSON
{
    "vm": "$vm", "failureDomain": "$domain", "region": "$region",
    "callerAddress": "127.0.0.1:0", "adminAddress": "127.0.0.1:0",
    "peerAddress": "127.0.0.1:0", "rpcAddress": "127.0.0.1:0",
    "platform": ["$platform"], "seeds": [${seed:+\"$seed\"}], "peerKey": "demo"
}
JSON
    start "$vm" "$bin/spurlugd" --settings "$fleet/$vm.json"
    curl -sf -X PUT "http://$platform/standin/vms/$vm" \
        -d "{\"failureDomain\": \"$domain\", \"peerAddress\": \"$(address "$vm" peers)\"}" >/dev/null
}

# key_json KEY - prints the digest of an API key as a configuration holds it.
key_json() {
    "$bin/spurlugctl" hash-key "$1"
}
