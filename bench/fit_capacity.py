#!/usr/bin/python3
"""Fits slopes to bench/results, draws them, and checks the figures of docs/CAPACITY.md against them.

A figure in the page stands before a tag: `7.2 KB/s [heartbeat_kb]`. Each tag is worked out here from a fitted slope at
the size the page is about; a figure that is off by more than a quarter fails the check.
"""
import json
import re
import sys
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
import numpy as np

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "bench" / "results"
DAEMONS, DOMAIN_DAEMONS, DOMAIN_TARGETS, ORGANISATIONS, DOMAINS = 420, 42, 60, 3400, 10
REQUESTS, TOKENS, POOLS, STREAMS, SUMMARIES_EVERY = 1700, 500_000, 4, 40, 8
TOLERANCE = 0.25


def load(name):
    return json.loads((RESULTS / name).read_text())


def fit(xs, ys):
    """Least squares y = a + b x; returns a, b and the root mean square residual as a share of the mean."""
    slope, start = np.polyfit(xs, ys, 1)
    residual = np.sqrt(np.mean((np.array(ys) - (start + slope * np.array(xs))) ** 2))
    return start, slope, residual / np.mean(ys)


def core_series(results, name, key="real_time"):
    """Sizes and values of one pure-core benchmark, microseconds for times."""
    unit = {"ns": 1e-3, "us": 1.0, "ms": 1e3}
    xs, ys = [], []
    for row in results["benchmarks"]:
        parts = row["name"].split("/")
        if parts[0] == name:
            xs.append(int(parts[1]) if len(parts) > 1 else 1)
            ys.append(row[key] * (unit[row["time_unit"]] if key == "real_time" else 1))
    return xs, ys


def all_series():
    cores, daemons = load("cores.json"), load("fleet_daemons.json")
    engines, path = load("fleet_engines.json"), load("path.json")
    size = [row["daemons"] for row in daemons]
    count = [row["engines"] for row in engines]
    streams = [row["streams"] for row in path]
    tokens = [row["tokensPerSecond"] for row in path]
    return {
        "heartbeat_bytes": (size, [row["heartbeatBytesPerSecondMean"] for row in daemons], "daemons in a domain"),
        "control_cpu": (size, [row["cpuPercentMean"] for row in daemons], "daemons in a domain"),
        "control_memory": (size, [row["residentMbMean"] for row in daemons], "daemons in a domain"),
        "apply_ms": (size, [row["applyMsMax"] for row in daemons], "daemons in a domain"),
        "poll_bytes": ([c / row["daemons"] for c, row in zip(count, engines)],
                       [row["pollBytesPerSecondMean"] for row in engines], "targets a daemon observes"),
        "poll_cpu": ([c / row["daemons"] for c, row in zip(count, engines)],
                     [row["cpuPercentMean"] for row in engines], "targets a daemon observes"),
        "path_cpu": (tokens, [row["cpuPercent"] for row in path], "tokens a second"),
        "path_memory": (streams, [row["residentMb"] for row in path], "open streams"),
        "summary_bytes": (*core_series(cores, "readSummary", "bytes"), "pools"),
        "route_us": (*core_series(cores, "chooseTarget"), "targets"),
        "configuration_us": (*core_series(cores, "readConfiguration"), "organisations"),
        "broker_us": (*core_series(cores, "serveAsks"), "waiting asks"),
        "body_us": (*core_series(cores, "readBody"), "prompt tokens"),
    }


def heartbeat_fit():
    """Bytes a second both ways = c (n - 1) + l E 2 (n - 1) / n: a heartbeat to and from each peer, and each load once."""
    rows = load("fleet_daemons.json") + load("fleet_engines.json")
    peers = [[row["daemons"] - 1, row["engines"] * 2 * (row["daemons"] - 1) / row["daemons"]] for row in rows]
    measured = np.array([row["heartbeatBytesPerSecondMean"] for row in rows])
    (base, each), *_ = np.linalg.lstsq(np.array(peers, dtype=float), measured, rcond=None)
    residual = np.sqrt(np.mean((np.array(peers) @ [base, each] - measured) ** 2)) / measured.mean()
    return base, each, residual


def figures(fits):
    at = lambda name, x: fits[name][0] + fits[name][1] * x
    observed = DOMAIN_TARGETS / DOMAIN_DAEMONS
    base, each, _ = heartbeat_fit()
    both_ways = lambda n, targets: (base * (n - 1) + each * targets * 2 * (n - 1) / n) / 1000
    path = load("path.json")[-1]
    heartbeat = both_ways(DOMAIN_DAEMONS, DOMAIN_TARGETS)
    poll = at("poll_bytes", observed) / 1000
    # Each of the other domains' contacts repeats one summary to its peers every eighth second; all hear all.
    summary = at("summary_bytes", POOLS)
    hear_summaries = (DOMAINS - 1) * summary / SUMMARIES_EVERY / 1000
    contact = (DOMAIN_DAEMONS - 1) * summary / SUMMARIES_EVERY / 1000 + 2 * summary / 1000
    # A daemon that observes two targets instead of the mean sends their loads to all its peers.
    busiest = (2 - observed) * (each * (DOMAIN_DAEMONS - 1) + fits["poll_bytes"][1]) / 1000
    cpu = at("control_cpu", DOMAIN_DAEMONS) + fits["poll_cpu"][1] * (observed - 10 / DOMAIN_DAEMONS)
    per_daemon = TOKENS / DAEMONS
    largest = next(n for n in range(42, 400)
                   if both_ways(n, n * observed) + poll + hear_summaries + contact + busiest > 15)
    return {
        "heartbeat_kb": heartbeat,
        "poll_kb": poll,
        "summary_bytes": summary,
        "hear_summaries_kb": hear_summaries,
        "contact_kb": contact,
        "control_kb": heartbeat + poll + hear_summaries,
        "control_most_kb": heartbeat + poll + hear_summaries + contact + busiest,
        "largest_domain": largest,
        "control_cpu": cpu,
        "control_mb": at("control_memory", DOMAIN_DAEMONS),
        "apply_ms": at("apply_ms", DOMAIN_DAEMONS),
        "configuration_ms": at("configuration_us", ORGANISATIONS) / 1000,
        "route_us": at("route_us", DOMAIN_TARGETS * DOMAINS),
        "broker_us": at("broker_us", 100),
        "body_ms_million": at("body_us", 1_000_000) / 1000,
        "path_cpu": at("path_cpu", per_daemon),
        "path_cpu_domain_lost": at("path_cpu", TOKENS / (DAEMONS - DOMAIN_DAEMONS)),
        "path_cpu_region_lost": at("path_cpu", TOKENS / (DAEMONS * 2 / 3)),
        "path_memory": at("path_memory", STREAMS),
        "token_us": path["cpuMicrosPerToken"],
        "added_ms": path["addedMsP50"],
        "added_p99_ms": path["addedMsP99"],
    }


def draw(series, fits):
    fig, axes = plt.subplots(4, 4, figsize=(18, 14))
    for axis, (name, (xs, ys, label)) in zip(axes.flat, series.items()):
        start, slope, residual = fits[name]
        line = np.array([0, max(xs)])
        axis.plot(xs, ys, "o", line, start + slope * line, "-")
        axis.set_title(f"{name}: {start:.4g} + {slope:.4g} x  (residual {residual:.0%})", fontsize=9)
        axis.set_xlabel(label, fontsize=8)
    fig.tight_layout()
    fig.savefig(RESULTS / "slopes.png", dpi=70)


def check(values):
    page = (ROOT / "docs" / "CAPACITY.md").read_text()
    bad = 0
    for text, tag in re.findall(r"([\d.,]+)[^|\[\n]{0,12}\[(\w+)\]", page):
        if tag not in values:
            print(f"no such figure: {tag}")
            bad += 1
            continue
        stated, measured = float(text.replace(",", "")), values[tag]
        if abs(stated - measured) > TOLERANCE * abs(measured):
            print(f"{tag}: the page says {stated}, its slope says {measured:.4g}")
            bad += 1
    for tag in values:
        if f"[{tag}]" not in page:
            print(f"the page does not show {tag} ({values[tag]:.4g})")
            bad += 1
    return bad


def main():
    series = all_series()
    fits = {name: fit(xs, ys) for name, (xs, ys, _) in series.items()}
    draw(series, fits)
    values = figures(fits)
    (RESULTS / "slopes.json").write_text(json.dumps(
        {"fits": {name: {"start": f[0], "slope": f[1], "residualShare": f[2], "from": min(series[name][0]),
                         "to": max(series[name][0]), "per": series[name][2]} for name, f in fits.items()},
         "figures": values}, indent=4) + "\n")
    for name, value in values.items():
        print(f"{name:24s} {value:.4g}")
    bad = check(values) if "--check" in sys.argv else 0
    print("the page follows from the slopes" if "--check" in sys.argv and bad == 0 else f"{bad} figures differ")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
