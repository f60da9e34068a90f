//----------------------------------------------------------------------------------------------------------------------
// Review: a worker that drains is killed while it answers streams that have no length and no chunks.
// Usage: early-end PROGRAM FOLDER RECORD
// The workers are processes of their own: early-end worker ID PORT RECORD START
//----------------------------------------------------------------------------------------------------------------------

#include "fleet.h"

using namespace review;

namespace
{

constexpr int Events = 40;
constexpr double EventMs = 100;
constexpr double ReadMs = 40; // For a prompt of 5,000 tokens.
constexpr int Clients = 12;

std::string configuration()
{
    return "{\"version\":7,\"routes\":[{\"name\":\"fare\",\"host\":\"fares.example\",\"path_prefix\":\"/fare/\","
           "\"service\":\"deckhand-lm\",\"kind\":\"streaming\",\"resumable\":true,\"sticky\":true,\"public\":true,"
           "\"timeout_ms\":10000,\"slo_ms\":300,\"gap_aim_ms\":250,\"max_attempts\":2,\"priority\":1}],\"services\":[{"
           "\"name\":\"deckhand-lm\",\"health_path\":\"/health\",\"max_conns\":264,\"engine\":{\"step_ms\":1.02,"
           "\"per_seq_ms\":0.00226,\"context_per_k\":0.00431,\"read_per_s\":206000,\"pairs_per_m\":0.138,\"hop_ms\":"
           "0.075,\"chunk\":2048,\"stride\":43,\"slots\":16,\"kv_cache_tokens\":232000,\"usual\":{\"prompt\":5000,"
           "\"answer\":1360}}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
           "\"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}}";
}

std::string entry(int port, const std::string &state)
{
    return "{\"service\":\"deckhand-lm\",\"address\":\"127.0.0.1:" + std::to_string(port)
        + "\",\"zone\":\"hall-a\",\"version\":\"1\",\"slots\":16,\"state\":\"" + state
        + "\",\"cold_remaining_ms\":0,\"call_seq\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
          "\"adapters\":[]}]}";
}

//--- The worker process
//-------------------------------------------------------------------------------------------------

/// Waits; \returns false if the caller closed the connection.
bool waitWhileOpen(int fd, double ms)
{
    const auto until = nowMs() + ms;
    while (nowMs() < until) {
        pollfd waiting{fd, POLLIN, 0};
        ::poll(&waiting, 1, static_cast<int>(until - nowMs()) + 1);
        char byte = 0;
        if (waiting.revents != 0 && ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0) {
            return false;
        }
    }
    return true;
}

/// Answers a stream whose end is the end of its connection, as PROTOCOL.md and RULES.md allow.
void serveStreams(int fd, const std::string &id, Record &record)
{
    Reader reader(fd);
    const auto request = reader.read(60'000, false);
    const auto expected = request.header("target-instance");
    const auto attempt = request.header("attempt-id");
    if (request.complete && !expected.empty() && expected != id) {
        sendAll(fd,
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt + "\r\nInstance-Id: " + id
                    + "\r\nContent-Length: 0\r\n\r\n");
    } else if (request.complete && request.first.starts_with("POST /v1/order")) {
        sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 10\r\n\r\n{\"free\":0}");
    } else if (request.complete && waitWhileOpen(fd, ReadMs)
               && sendAll(fd,
                          "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Signature: " + id
                              + ".1\r\nVersions: 1\r\nContent-Type: text/event-stream\r\n\r\n")) {
        record.line("worker %s: request %s arrives and runs, Last-Event-Id \"%s\"", id.c_str(), attempt.c_str(),
                    request.header("last-event-id").c_str());
        int sent = 0;
        const auto last = request.header("last-event-id");
        for (int i = last.empty() ? 1 : std::atoi(last.c_str()) + 1; i <= Events; ++i) {
            const auto event = "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + " of "
                + std::to_string(Events) + "\n\n";
            if (!waitWhileOpen(fd, EventMs) || !sendAll(fd, event)) {
                break;
            }
            sent = i;
        }
        record.line("worker %s: request %s ends after event %d", id.c_str(), attempt.c_str(), sent);
    }
    ::shutdown(fd, SHUT_WR);
    ::close(fd);
}

[[noreturn]] void runWorker(const std::string &id, int port, const std::string &recordPath, long long start)
{
    started = Clock::time_point(Clock::duration(start));
    Record record(recordPath, false);
    const Server server("127.0.0.1", port, [&](int fd) { serveStreams(fd, id, record); });
    for (;;) {
        ::pause();
    }
}

/// A worker as a process of its own.
struct WorkerProcess
{
    std::string id;
    int port = 0;
    pid_t pid = -1;

    void start(const std::string &program, const std::string &recordPath)
    {
        const int fd = listenOn("127.0.0.1", port); // Finds a free port.
        ::close(fd);
        pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::execl(program.c_str(), program.c_str(), "worker", id.c_str(), std::to_string(port).c_str(),
                    recordPath.c_str(), std::to_string(started.time_since_epoch().count()).c_str(),
                    static_cast<char *>(nullptr));
            ::_exit(127);
        }
    }

    void kill()
    {
        if (pid > 0) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
            pid = -1;
        }
    }
};

struct Asked
{
    std::string id;
    Message answer;
};

/// Number of events of an answer; -1 if one is missing, comes twice or is not whole.
int countEvents(const std::string &body)
{
    int count = 0;
    for (std::size_t at = 0; at < body.size();) {
        const auto end = body.find("\n\n", at);
        int id = 0;
        if (end == std::string::npos || std::sscanf(body.c_str() + at, "id: %d", &id) != 1 || id != count + 1) {
            return -1;
        }
        ++count;
        at = end + 2;
    }
    return count;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc == 6 && std::string(argv[1]) == "worker") {
        runWorker(argv[2], std::atoi(argv[3]), argv[4], std::atoll(argv[5]));
    }
    if (argc != 4) {
        return 2;
    }
    const std::string program = argv[1];
    const std::string folder = argv[2];
    Record record(argv[3]);
    const bool trouble = hasTrouble();
    // Shows what the daemon does if the worker that is killed has not said that it drains.
    const bool drains = setting("DRAINS", "1") != "0";
    record.line("start: disruption %s%s", trouble ? "on" : "off", drains ? "" : ", without draining");
    Store store;
    store.put("config", "main", configuration());
    // One of six is within the share of srv_crash in the site file, 0.17.
    std::vector<WorkerProcess> workers{{.id = "w-1"}, {.id = "w-2"}, {.id = "w-3"},
                                       {.id = "w-4"}, {.id = "w-5"}, {.id = "w-6"}};
    for (auto &worker : workers) {
        worker.start(argv[0], argv[3]);
        store.put("servers", worker.id, entry(worker.port, "ready"));
    }
    const std::vector<std::string> hosts{"127.0.0.1"};
    const auto ports = freePorts(hosts);
    Daemon daemon(program, folder, "vm-1", hosts[0]);
    daemon.start(settingsOf(daemon, ports, hosts, store.port(), Bounds{}));
    const auto endAll = [&] {
        for (auto &worker : workers) {
            worker.kill();
        }
        daemon.stopNow();
    };
    if (!awaitReady(daemon, ports.readiness)) {
        record.line("vm-1 does not become ready");
        endAll();
        ::_exit(2);
    }
    sleepMs(4000);
    std::vector<Asked> asked(Clients);
    std::mutex mutex;
    std::map<std::string, int> streams; ///< By signature.
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&, i] {
            auto &own = asked[static_cast<std::size_t>(i)];
            own.id = "f" + std::to_string(i + 1);
            const int fd = connectTo(daemon.host(), ports.caller);
            Reader reader(fd);
            reader.onHead = [&](const Message &head) {
                const std::lock_guard lock(mutex);
                ++streams[head.header("server-signature")];
            };
            const std::string body(1200, 'p');
            record.line("client: request %s is sent", own.id.c_str());
            own.answer = ask(fd, reader,
                             "POST /fare/1 HTTP/1.1\r\nHost: fares.example\r\nAttempt-Id: " + own.id
                                 + "\r\nModel: m\r\nToken-Usage: 5000,1720\r\nPrompt-Prefix: 5c1e07a2:40," + own.id
                                 + ":4960\r\nDeadline-Ms: 10000\r\nContent-Length: " + std::to_string(body.size())
                                 + "\r\n\r\n" + body,
                             12'000);
            ::close(fd);
            record.line("client: request %s: %s, signature %s, %s, %d events", own.id.c_str(), own.answer.first.c_str(),
                        own.answer.header("server-signature").c_str(),
                        own.answer.complete ? "complete" : own.answer.end.c_str(), countEvents(own.answer.body));
        });
        sleepMs(50);
    }
    sleepMs(500);
    auto *victim = &workers.front(); // The one with the most streams.
    {
        const std::lock_guard lock(mutex);
        for (auto &worker : workers) {
            victim = streams[worker.id + ".1"] > streams[victim->id + ".1"] ? &worker : victim;
        }
    }
    if (drains) {
        store.put("servers", victim->id, entry(victim->port, "draining"));
        record.line("%s: draining, acknowledged by the store", victim->id.c_str());
    }
    sleepMs(1000);
    if (trouble) {
        victim->kill();
        record.line("%s crashes: SIGKILL of its process", victim->id.c_str());
    }
    for (auto &client : clients) {
        client.join();
    }
    int broken = 0;
    int whole = 0;
    for (const auto &own : asked) {
        const int events = countEvents(own.answer.body);
        whole += own.answer.complete && events == Events ? 1 : 0;
        if (own.answer.complete && own.answer.status() == 200 && events != Events) {
            ++broken;
            record.line("MIXED, ORDER: request %s ends as complete after %d of %d events", own.id.c_str(), events,
                        Events);
        }
    }
    record.line("result: %d of %d streams whole, %d ended early and look complete; the rule %s", whole, Clients, broken,
                broken > 0 ? "is broken" : "held");
    endAll();
    std::fflush(nullptr);
    ::_exit(broken > 0 ? 1 : 0);
}
