//----------------------------------------------------------------------------------------------------------------------
// Review: a planned stop of one daemon while requests wait in it for a place at a busy engine.
// Usage: planned-stop PROGRAM FOLDER RECORD
//----------------------------------------------------------------------------------------------------------------------

#include "fleet.h"

using namespace review;

namespace
{

constexpr double GraceMs = 8000;
constexpr double LossSlackMs = 200;
constexpr long PromptTokens = 190'000;

std::string route(const std::string &name, const std::string &prefix, bool resumable)
{
    return "{\"name\":\"" + name + "\",\"host\":\"lab.example\",\"path_prefix\":\"" + prefix
        + "\",\"service\":\"lab-llm\",\"kind\":\"streaming\",\"resumable\":" + (resumable ? "true" : "false")
        + ",\"sticky\":true,\"public\":true,\"timeout_ms\":15000,\"slo_ms\":6000,\"gap_aim_ms\":1000,"
          "\"max_attempts\":2,\"priority\":1}";
}

std::string configuration()
{
    return "{\"version\":7,\"routes\":[" + route("sift", "/sift/", true) + "," + route("sift-once", "/once/", false)
        + "],\"services\":[{\"name\":\"lab-llm\",\"health_path\":\"/health\",\"max_conns\":558,\"engine\":{"
          "\"step_ms\":1.02,\"per_seq_ms\":0.00226,\"context_per_k\":0.00431,\"read_per_s\":206000,"
          "\"pairs_per_m\":0.138,\"hop_ms\":0.075,\"chunk\":2048,\"stride\":48,\"slots\":12,"
          "\"kv_cache_tokens\":197200,\"usual\":{\"prompt\":12000,\"answer\":1200}}}],"
          "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,"
          "\"idle_timeout_ms\":20000}}";
}

struct Asked
{
    std::string id;
    std::string vm;
    double sentAt = 0;
    double endedAt = 0;
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
    store.put("config", "main", configuration());
    // The engine holds one prompt of this length at a time and takes 4.7 s for it, by its published costs.
    Worker engine(store, record,
                  {.id = "w-1",
                   .service = "lab-llm",
                   .zone = "hall-a",
                   .slots = 12,
                   .workMs = {},
                   .isEngine = true,
                   .memoryTokens = 197'200});
    engine.enter("ready");
    const std::vector<std::string> hosts{"127.0.0.1", "127.0.0.2"};
    const auto ports = freePorts(hosts);
    Daemon first(program, folder, "vm-1", hosts[0]);
    Daemon second(program, folder, "vm-2", hosts[1]);
    const Bounds bounds{.drainMs = 3000, .graceMs = static_cast<int>(GraceMs), .retrySlack = 204};
    for (auto *daemon : {&first, &second}) {
        daemon->start(settingsOf(*daemon, ports, hosts, store.port(), bounds));
    }
    for (auto *daemon : {&first, &second}) {
        if (!awaitReady(*daemon, ports.readiness)) {
            record.line("%s does not become ready", daemon->vm().c_str());
            first.stopNow();
            second.stopNow();
            ::_exit(2);
        }
    }
    sleepMs(5000); // The fleet knows its members and its engine.

    std::vector<Asked> asked(6);
    std::vector<std::thread> clients;
    const auto ask1 = [&](std::size_t index, const Daemon &daemon, const std::string &path) {
        auto &entry = asked[index];
        entry.id = "a" + std::to_string(index + 1);
        entry.vm = daemon.vm();
        clients.emplace_back([&entry, &record, &ports, host = daemon.host(), path] {
            const int fd = connectTo(host, ports.caller);
            Reader reader(fd);
            const std::string body(33'000, 'p');
            entry.sentAt = nowMs();
            record.line("client: request %s (%s) is sent to %s", entry.id.c_str(), path.c_str(), entry.vm.c_str());
            entry.answer = ask(fd, reader,
                               "POST " + path + "1 HTTP/1.1\r\nHost: lab.example\r\nAttempt-Id: " + entry.id
                                   + "\r\nModel: m\r\nToken-Usage: " + std::to_string(PromptTokens)
                                   + ",720\r\nPrompt-Prefix: 5c1e07a2:40," + entry.id
                                   + ":189960\r\nDeadline-Ms: 15000\r\nContent-Length: " + std::to_string(body.size())
                                   + "\r\n\r\n" + body,
                               16'000);
            entry.endedAt = nowMs();
            ::close(fd);
            record.line("client: request %s: %s, %s", entry.id.c_str(),
                        entry.answer.headArrived ? entry.answer.first.c_str() : "no answer",
                        entry.answer.complete ? "complete" : entry.answer.end.c_str());
        });
        sleepMs(100);
    };
    // vm-2's requests occupy the engine and its queue; vm-1's wait behind them.
    ask1(0, second, "/sift/");
    ask1(1, second, "/sift/");
    ask1(2, second, "/sift/");
    ask1(3, first, "/sift/");
    ask1(4, first, "/once/");
    ask1(5, first, "/sift/");
    sleepMs(500);
    const auto stopAt = nowMs();
    if (trouble) {
        record.line("operator: SIGTERM to vm-1");
        first.signal(SIGTERM);
        while (!first.ended() && nowMs() < stopAt + GraceMs) {
            sleepMs(10);
        }
        if (first.ended()) {
            record.line("vm-1 has ended by itself, %.0f ms after SIGTERM, wait status %d", nowMs() - stopAt,
                        first.status());
        } else {
            record.line("vm-1 still runs at the end of grace_s: SIGKILL");
            first.stopNow();
        }
    }
    for (auto &client : clients) {
        client.join();
    }
    std::set<std::string> arrived;
    for (const auto &arrival : engine.arrivals()) {
        arrived.insert(arrival.attemptId);
    }
    int lost = 0;
    for (const auto &entry : asked) {
        const bool counts = trouble && entry.vm == "vm-1" && !entry.answer.complete
            && entry.endedAt <= stopAt + GraceMs + 1000 && entry.endedAt > entry.sentAt + LossSlackMs
            && entry.endedAt < entry.sentAt + 15'000 - 100 && !arrived.contains(entry.id);
        if (counts) {
            ++lost;
            record.line(
                "LOST: request %s was sent %.0f ms before SIGTERM, read whole, never passed on to a worker; its "
                "connection ended %.0f ms after SIGTERM without an answer",
                entry.id.c_str(), stopAt - entry.sentAt, entry.endedAt - stopAt);
        }
    }
    for (const auto &entry : asked) {
        if (!trouble && !entry.answer.complete) {
            ++lost;
            record.line("LOST: request %s ended without an answer", entry.id.c_str());
        }
    }
    record.line("result: %d requests without an answer; the rule %s", lost, lost > 0 ? "is broken" : "held");
    first.stopNow();
    second.stopNow();
    std::fflush(nullptr);
    ::_exit(lost > 0 ? 1 : 0);
}
