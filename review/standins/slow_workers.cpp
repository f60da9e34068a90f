//----------------------------------------------------------------------------------------------------------------------
// Review: workers read slowly while clients send bodies of the size that the configuration allows.
// Usage: slow-workers PROGRAM FOLDER RECORD
//----------------------------------------------------------------------------------------------------------------------

#include "fleet.h"

using namespace review;

namespace
{

constexpr std::size_t LargestBody = 4'194'304; // max_body_bytes of the configuration.
constexpr double SlowBytesPerMs = 2500; // A body of that size takes 1.7 s, within its deadline.
constexpr int Clients = 20;
constexpr double CycleMs = 2000; // Each client sends one large request in this time: 10 a second in all.
constexpr double PlayMs = 15'000;

std::string configuration()
{
    return "{\"version\":7,\"routes\":[{\"name\":\"book\",\"host\":\"rig.example\",\"path_prefix\":\"/book/\","
           "\"service\":\"bench-app\",\"kind\":\"unsafe\",\"public\":true,\"timeout_ms\":2500,\"slo_ms\":200,"
           "\"max_attempts\":1,\"priority\":2}],\"services\":[{\"name\":\"bench-app\",\"health_path\":\"/health\","
           "\"max_conns\":440}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
           "\"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}}";
}

struct Asked
{
    std::string id;
    bool onKeptConnection = false;
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
    // memory_mb of the smallest machines of the sheet. Another value shows what the daemon would use without the limit.
    const double memoryMb = std::atof(setting("MEMORY_MB", "160").c_str());
    record.line("start: disruption %s", trouble ? "on" : "off");
    Store store;
    store.put("config", "main", configuration());
    std::atomic<double> bytesPerMs = 0;
    std::vector<std::unique_ptr<Worker>> workers;
    for (const auto *id : {"w-1", "w-2", "w-3", "w-4"}) {
        workers.push_back(std::make_unique<Worker>(store, record,
                                                   Worker::Options{.id = id,
                                                                   .service = "bench-app",
                                                                   .zone = "hall-a",
                                                                   .slots = 12, // 6 at work, a few in the queue.
                                                                   .readBytesPerMs = &bytesPerMs,
                                                                   .workMs = [] { return 30.0; }}));
        workers.back()->enter("ready");
    }
    const std::vector<std::string> hosts{"127.0.0.1"};
    const auto ports = freePorts(hosts);
    Daemon daemon(program, folder, "vm-1", hosts[0]);
    daemon.start(settingsOf(daemon, ports, hosts, store.port(), Bounds{.drainMs = 3000, .retrySlack = 204}));
    if (!awaitReady(daemon, ports.readiness)) {
        record.line("vm-1 does not become ready");
        daemon.stopNow();
        ::_exit(2);
    }
    sleepMs(4000);
    std::atomic<bool> stop = false;
    std::mutex mutex;
    std::vector<Asked> asked;
    std::vector<std::thread> clients;
    const std::string large(LargestBody, 'b');
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&, i] {
            const int fd = connectTo(daemon.host(), ports.caller);
            Reader reader(fd);
            auto next = nowMs() + i * CycleMs / Clients;
            bool open = fd >= 0;
            for (int n = 0; open && !stop; ++n) {
                sleepUntil(next);
                next += n % 2 == 0 ? 10 : CycleMs - 10; // A small request and a large one in turn.
                const auto &body = n % 2 == 0 ? std::string(600, 'b') : large;
                Asked entry{"c" + std::to_string(i) + "-" + std::to_string(n), n > 0, {}};
                record.line("client: request %s is sent with %zu bytes", entry.id.c_str(), body.size());
                entry.answer = ask(fd, reader,
                                   "POST /book/1 HTTP/1.1\r\nHost: rig.example\r\nAttempt-Id: " + entry.id
                                       + "\r\nDeadline-Ms: 2500\r\nContent-Length: " + std::to_string(body.size())
                                       + "\r\n\r\n" + body,
                                   4000);
                record.line("client: request %s: %s%s", entry.id.c_str(),
                            entry.answer.headArrived ? entry.answer.first.c_str() : "no answer, ",
                            entry.answer.complete ? "" : entry.answer.end.c_str());
                open = entry.answer.complete && entry.answer.header("connection") != "close";
                const std::lock_guard lock(mutex);
                asked.push_back(std::move(entry));
            }
            ::close(fd);
        });
    }
    const auto startedAt = nowMs();
    const auto slowAt = startedAt + 5000;
    bool killed = false;
    double peak = 0;
    double reported = 0;
    while (nowMs() < startedAt + PlayMs && !killed) {
        if (trouble && nowMs() >= slowAt && bytesPerMs == 0) {
            record.line("the workers read %.1f MB a second from here on", SlowBytesPerMs / 1000);
            bytesPerMs = SlowBytesPerMs;
        }
        const auto memory = daemon.memoryMb();
        peak = std::max(peak, memory);
        if (memory > reported + 20) {
            reported = memory;
            record.line("vm-1 uses %.0f MB", memory);
        }
        if (memory > memoryMb) { // DEPLOY.md: "A process that exceeds memory_mb is killed".
            record.line("platform: vm-1 uses %.0f MB, over memory_mb, and is killed", memory);
            daemon.stopNow();
            killed = true;
        }
        sleepMs(5);
    }
    sleepMs(killed ? 1000 : 0);
    stop = true;
    for (auto &client : clients) {
        client.join();
    }
    std::set<std::string> passedOn;
    for (const auto &worker : workers) {
        const auto ids = worker->passedOn();
        passedOn.insert(ids.begin(), ids.end());
    }
    int lost = 0;
    int served = 0;
    for (const auto &entry : asked) {
        served += entry.answer.complete && entry.answer.status() == 200 ? 1 : 0;
        if (entry.onKeptConnection && !entry.answer.complete && passedOn.contains(entry.id)) {
            ++lost;
            record.line(
                "LOST: request %s was passed on to a worker from a kept connection, which ended without an answer",
                entry.id.c_str());
        }
    }
    constexpr int Allowed = 3;
    const bool broken = lost > Allowed;
    record.line("result: %zu requests, %d served, vm-1 used up to %.0f MB of %.0f%s, %d requests passed on and not "
                "answered; the rule %s",
                asked.size(), served, peak, memoryMb, killed ? " and was killed" : "", lost,
                broken ? "is broken" : "held");
    daemon.stopNow();
    std::fflush(nullptr);
    ::_exit(broken ? 1 : 0);
}
