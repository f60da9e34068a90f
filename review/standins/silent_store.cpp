//----------------------------------------------------------------------------------------------------------------------
// Review: open connections to the store go silent, then a worker drains.
// Usage: silent-store PROGRAM FOLDER RECORD
//----------------------------------------------------------------------------------------------------------------------

#include "fleet.h"

using namespace review;

namespace
{

constexpr double DrainMs = 2000;
constexpr double ContactMs = 3000;
constexpr int Clients = 12;

std::string configuration()
{
    return "{\"version\":7,\"routes\":[{\"name\":\"hold\",\"host\":\"booking.example\",\"path_prefix\":\"/hold/\","
           "\"service\":\"booking-app\",\"kind\":\"unsafe\",\"public\":true,\"timeout_ms\":2000,\"slo_ms\":300,"
           "\"max_attempts\":1,\"priority\":2}],\"services\":[{\"name\":\"booking-app\",\"health_path\":\"/health\","
           "\"max_conns\":96}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
           "\"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}}";
}

struct Asked
{
    std::string id;
    std::string vm;
    double sentAt = 0;
    Message answer;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const std::string program = argv[1];
    const std::string folder = argv[2];
    Record record(argv[3]);
    const bool trouble = hasTrouble();
    record.line("start: disruption %s", trouble ? "on" : "off");
    Store store;
    Proxy path(store.port()); // Of all daemons to the store. The workers and the operator have paths of their own.
    store.put("config", "main", configuration());
    const auto makeWorker = [&](const std::string &id) {
        return std::make_unique<Worker>(
            store, record,
            Worker::Options{
                .id = id, .service = "booking-app", .zone = "hall-a", .slots = 6, .workMs = [] { return 60.0; }});
    };
    std::vector<std::unique_ptr<Worker>> workers;
    for (const auto *id : {"w-1", "w-2", "w-3"}) {
        workers.push_back(makeWorker(id));
        workers.back()->enter("ready");
    }
    const std::vector<std::string> hosts{"127.0.0.1", "127.0.0.2"};
    const auto ports = freePorts(hosts);
    Daemon first(program, folder, "vm-1", hosts[0]);
    Daemon second(program, folder, "vm-2", hosts[1]);
    for (auto *daemon : {&first, &second}) {
        daemon->start(settingsOf(*daemon, ports, hosts, path.port(), Bounds{}));
    }
    for (auto *daemon : {&first, &second}) {
        if (!awaitReady(*daemon, ports.readiness)) {
            record.line("%s does not become ready", daemon->vm().c_str());
            first.stopNow();
            second.stopNow();
            ::_exit(2);
        }
    }
    std::atomic<bool> stop = false;
    std::mutex mutex;
    std::vector<Asked> asked;
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        const auto &daemon = i % 2 == 0 ? first : second;
        clients.emplace_back([&, i, host = daemon.host(), vm = daemon.vm()] {
            const std::string body(600, 'b');
            for (int n = 0; !stop;) {
                const int fd = connectTo(host, ports.caller);
                Reader reader(fd);
                for (bool open = fd >= 0; open && !stop; ++n) {
                    Asked entry{"c" + std::to_string(i) + "-" + std::to_string(n), vm, nowMs(), {}};
                    entry.answer = ask(fd, reader,
                                       "POST /hold/1 HTTP/1.1\r\nHost: booking.example\r\nAttempt-Id: " + entry.id
                                           + "\r\nDeadline-Ms: 4000\r\nContent-Length: " + std::to_string(body.size())
                                           + "\r\n\r\n" + body,
                                       5000);
                    open = entry.answer.complete && entry.answer.header("connection") != "close";
                    record.line("client: request %s to %s, sent at %.1f: %s%s", entry.id.c_str(), vm.c_str(),
                                entry.sentAt, entry.answer.headArrived ? entry.answer.first.c_str() : "no answer",
                                entry.answer.complete ? "" : entry.answer.end.c_str());
                    const std::lock_guard lock(mutex);
                    asked.push_back(std::move(entry));
                }
                ::close(fd);
                sleepMs(20);
            }
        });
    }
    sleepMs(6000); // The fleet knows its members, and all machines are in touch.

    // A worker is replaced: the new one starts first, the old one drains.
    workers.push_back(makeWorker("w-4"));
    workers.back()->enter("ready");
    record.line("w-4 starts");
    sleepMs(300);
    const auto silentAt = nowMs();
    if (trouble) {
        const int count = path.silence();
        record.line("network: %d open connections between daemons and the store go silent, new ones work", count);
    }
    sleepMs(200);
    auto &old = *workers.front();
    const auto ackAt = old.enter("draining");
    record.line("w-1: draining, acknowledged by the store");
    // It serves on for drain_ms and a little longer, then it ends.
    sleepUntil(ackAt + DrainMs + 2000);
    old.end();
    const auto endedAt = nowMs();
    record.line("w-1 has ended");
    sleepMs(1500);
    stop = true;
    for (auto &client : clients) {
        client.join();
    }
    std::map<std::string, const Asked *> byId;
    for (const auto &entry : asked) {
        byId[entry.id] = &entry;
    }
    int late = 0;
    int lateLost = 0;
    double latest = 0;
    const auto brokenOff = old.brokenOff();
    // Machines are in touch again contact_ms after the disruption of their connections.
    const auto inTouchFrom = trouble ? silentAt + ContactMs : 0;
    for (const auto &arrival : old.arrivals()) {
        const auto found = byId.find(arrival.attemptId);
        if (found == byId.end() || arrival.atMs <= ackAt + DrainMs || found->second->sentAt < inTouchFrom) {
            continue;
        }
        ++late;
        latest = std::max(latest, arrival.atMs - ackAt);
        lateLost += brokenOff.contains(arrival.attemptId) ? 1 : 0;
        record.line("DRAIN: request %s reaches w-1 %.0f ms after its draining was acknowledged and %.0f ms after the "
                    "connections went silent; its client got: %s%s",
                    arrival.attemptId.c_str(), arrival.atMs - ackAt, arrival.atMs - silentAt,
                    found->second->answer.headArrived ? found->second->answer.first.c_str() : "no answer",
                    brokenOff.contains(arrival.attemptId) ? " (broken off when w-1 ended)" : "");
    }
    record.line("w-1 ended %.0f ms after the acknowledgement, with %zu requests at work", endedAt - ackAt,
                brokenOff.size());
    record.line("result: %d requests reached w-1 too late, the last %.0f ms after the acknowledgement, %d of them were "
                "broken off; the rule %s",
                late, latest, lateLost, late > 0 ? "is broken" : "held");
    first.stopNow();
    second.stopNow();
    std::fflush(nullptr);
    ::_exit(late > 0 ? 1 : 0);
}
