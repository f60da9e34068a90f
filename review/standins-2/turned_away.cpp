// The store turns away the daemon that reads it for its zone, and the configuration moves a route to another service.
// turned_away RECORD FOLDER
#include "kit.h"

using namespace kit;

namespace
{

std::string configuration(int version, const std::string &service)
{
    return format("{\"version\":%d,\"routes\":[{\"name\":\"ticket-look\",\"host\":\"ficu95.example\","
                  "\"path_prefix\":\"/lohu930/\",\"kind\":\"safe\",\"service\":\"%s\",\"timeout_ms\":4000,\"slo_ms\":300,"
                  "\"priority\":2,\"max_attempts\":2,\"public\":true}],"
                  "\"services\":[{\"name\":\"booking-app\",\"health_path\":\"/health\",\"max_conns\":96},"
                  "{\"name\":\"booking-app-2\",\"health_path\":\"/health\",\"max_conns\":96}],"
                  "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                  "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"n2ctnfzs989anu6wsjnb\"]}]}",
                  version, service.c_str());
}

} // namespace

int main(int, char **values)
{
    Record record(values[1]);
    const std::string folder = values[2];
    constexpr long ApplyMs = 2000;
    constexpr long StretchMs = 5000;
    constexpr long TurnedAwayMs = 9000;
    Store store;
    Children children;
    std::vector<Store::Path *> paths;
    std::vector<int> pathPorts;
    for (int i = 0; i < 3; ++i) {
        paths.push_back(store.openPath());
        if (paths.back() == nullptr) {
            return 2;
        }
        pathPorts.push_back(paths.back()->port);
    }
    store.put("config", "main", configuration(3, "booking-app"));
    for (int i = 0; i < 4; ++i) {
        const int port = freePort();
        const auto id = format(i < 2 ? "i-old%d" : "i-new%d", i);
        children.start({"target/review-2/worker", "--port", std::to_string(port), "--id", id, "--log", folder + "/runs",
                        "--bytes", "800", "--framing", "length", "--first", "800", "--pause", "0"},
                       folder + "/workers.log");
        store.put("servers", id, serverEntry(i < 2 ? "booking-app" : "booking-app-2", port, "hall-nanaimo", 6));
    }
    Fleet fleet({"hall-nanaimo", "hall-nanaimo", "hall-nanaimo"}, pathPorts, folder, children);
    if (!fleet.awaitReady(10000)) {
        record.line("the daemons did not get ready");
        return 2;
    }
    sleepMs(9000); // Roles are settled.
    std::vector<long> calls;
    for (const auto *path : paths) {
        calls.push_back(path->calls);
    }
    sleepMs(3000);
    std::size_t reader = 0;
    for (std::size_t i = 0; i < paths.size(); ++i) {
        calls[i] = paths[i]->calls - calls[i];
        reader = calls[i] > calls[reader] ? i : reader;
    }
    record.line(format("calls to the store in 3 s: %ld, %ld, %ld; %s reads it for the zone", calls[0], calls[1], calls[2],
                       fleet.daemons[reader].name.c_str()));
    std::atomic<bool> stop = false;
    std::atomic<long> changedAt = 0;
    std::atomic<int> late[3] = {0, 0, 0};
    std::atomic<int> served[3] = {0, 0, 0};
    std::atomic<long> lastOld[3] = {-1, -1, -1};
    const auto caller = [&](std::size_t index) {
        const auto &daemon = fleet.daemons[index];
        int fd = connectTo(daemon.host, fleet.caller);
        std::string rest;
        for (int i = 0; !stop; ++i) {
            const auto attempt = format("9c41d0%02zx%08x", index, i);
            const long sentAt = nowMs();
            sendAll(fd, "GET /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + attempt
                            + "\r\nDeadline-Ms: 4000\r\n\r\n");
            const auto answer = readAnswer(fd, rest, sentAt + 4000);
            const auto signature = answer.head.header("server-signature");
            const bool old = signature.find("i-old") != std::string::npos;
            const long after = changedAt > 0 ? sentAt - changedAt : -1;
            if (changedAt > 0 && (i % 20 == 0 || (old && after > ApplyMs))) {
                record.line(format("%s %s: sent %ld ms after the acknowledgement of version 7, status %d, %s",
                                   daemon.name.c_str(), attempt.c_str(), after, answer.head.status(), signature.c_str()));
            }
            if (answer.complete && answer.head.status() == 200) {
                ++served[index];
                if (old && after >= 0) {
                    lastOld[index] = after;
                    late[index] += after > ApplyMs + StretchMs ? 1 : 0;
                }
            }
            if (!answer.complete || answer.head.header("connection") == "close") {
                ::close(fd);
                fd = connectTo(daemon.host, fleet.caller);
                rest.clear();
            }
            sleepMs(100);
        }
        ::close(fd);
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < 3; ++i) {
        threads.emplace_back(caller, i);
    }
    sleepMs(2000);
    if (hasTrouble()) {
        store.turnAway(*paths[reader], true);
        record.line("the store turns " + fleet.daemons[reader].name + " away (503) and serves the others");
    }
    const long turnedAwayAt = nowMs();
    sleepMs(300);
    store.put("config", "main", configuration(7, "booking-app-2"));
    changedAt = nowMs();
    record.line("the store has acknowledged version 7: the route goes to booking-app-2");
    sleepMs(TurnedAwayMs - (nowMs() - turnedAwayAt));
    store.turnAway(*paths[reader], false);
    record.line("the store serves all machines");
    sleepMs(1500);
    stop = true;
    for (auto &thread : threads) {
        thread.join();
    }
    int broken = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        record.line(format("%s: %d requests served; the last one by the old service was sent %ld ms after the acknowledgement; "
                           "%d of them later than %ld ms",
                           fleet.daemons[i].name.c_str(), served[i].load(), lastOld[i].load(), late[i].load(),
                           ApplyMs + StretchMs));
        broken += late[i];
        if (served[i] == 0) {
            return 2;
        }
    }
    record.line(broken > 0 ? "CONFIG is broken" : "CONFIG held");
    return broken > 0 ? 1 : 0;
}
