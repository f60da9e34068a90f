//----------------------------------------------------------------------------------------------------------------------
// Review: a request inside the body of another one, whose framing is not one of those that the pages allow.
// Usage: smuggled PROGRAM FOLDER RECORD
//----------------------------------------------------------------------------------------------------------------------

#include "fleet.h"

using namespace review;

namespace
{

std::string configuration()
{
    return "{\"version\":7,\"routes\":[{\"name\":\"hold\",\"host\":\"booking.example\",\"path_prefix\":\"/hold/\","
           "\"service\":\"booking-app\",\"kind\":\"unsafe\",\"timeout_ms\":2000,\"slo_ms\":300,\"max_attempts\":1,"
           "\"priority\":2}],\"tenants\":[{\"name\":\"islanders\",\"api_keys\":[\"k1\"]}],\"services\":[{\"name\":"
           "\"booking-app\",\"health_path\":\"/health\",\"max_conns\":96}],\"limits\":{\"max_header_bytes\":16384,"
           "\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}}";
}

std::string head(const std::string &id, const std::string &framing)
{
    return "POST /hold/" + id + " HTTP/1.1\r\nHost: booking.example\r\nAttempt-Id: " + id
        + "\r\nAuthorization: Bearer k1\r\nDeadline-Ms: 4000\r\n" + framing + "\r\n";
}

struct Sent
{
    std::string first; ///< Request line.
    std::string body;
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
    std::vector<std::unique_ptr<Worker>> workers;
    for (const auto *id : {"w-1", "w-2"}) {
        workers.push_back(std::make_unique<Worker>(
            store, record,
            Worker::Options{
                .id = id, .service = "booking-app", .zone = "hall-a", .slots = 6, .keepsBodies = true, .workMs = [] {
                    return 60.0;
                }}));
        workers.back()->enter("ready");
    }
    const std::vector<std::string> hosts{"127.0.0.1"};
    const auto ports = freePorts(hosts);
    Daemon daemon(program, folder, "vm-1", hosts[0]);
    daemon.start(settingsOf(daemon, ports, hosts, store.port(), Bounds{}));
    if (!awaitReady(daemon, ports.readiness)) {
        record.line("vm-1 does not become ready");
        daemon.stopNow();
        ::_exit(2);
    }
    sleepMs(4000);

    std::map<std::string, Sent> sent;
    // The text that other requests carry in their bodies. No client sends it as a request.
    const auto inner = head("smuggled", "Content-Length: 0\r\n");
    int number = 0;
    // Every request is sent twice over: once with a length, which must hold always, and once with the framing of the
    // case.
    for (const auto *coding : {"identity", "gzip", "x-other"}) {
        for (const bool framed : {true, false}) {
            const auto id = "r" + std::to_string(++number);
            const bool hasLength = framed || !trouble;
            const auto framing = hasLength ? "Content-Length: " + std::to_string(inner.size()) + "\r\n"
                                           : std::string("Transfer-Encoding: ") + coding + "\r\n";
            const auto request = head(id, framing);
            sent[id] = {request.substr(0, request.find("\r\n")), inner};
            const int fd = connectTo(daemon.host(), ports.caller);
            Reader reader(fd);
            record.line("client: request %s is sent with %s", id.c_str(),
                        framing.substr(0, framing.size() - 2).c_str());
            const auto answer = ask(fd, reader, request + inner, 3000);
            record.line("client: request %s: %s", id.c_str(),
                        answer.headArrived ? answer.first.c_str() : answer.end.c_str());
            const auto second = reader.read(500, true);
            if (second.headArrived) {
                record.line("client: another answer follows on the connection: %s, Attempt-Id %s", second.first.c_str(),
                            second.header("attempt-id").c_str());
            }
            ::close(fd);
            sleepMs(100);
        }
    }
    sleepMs(500);
    int broken = 0;
    for (const auto &worker : workers) {
        for (const auto &arrival : worker->arrivals()) {
            const auto found = sent.find(arrival.attemptId);
            if (found == sent.end()) {
                ++broken;
                record.line("UNASKED: %s runs \"%s\" with Attempt-Id %s, which no client sent as a request",
                            worker->id().c_str(), arrival.first.c_str(), arrival.attemptId.c_str());
            } else if (arrival.first != found->second.first || arrival.body != found->second.body) {
                ++broken;
                record.line("UNASKED: %s runs request %s with a body of %zu bytes; its client sent %zu",
                            worker->id().c_str(), arrival.attemptId.c_str(), arrival.body.size(),
                            found->second.body.size());
            }
        }
    }
    record.line("result: %d runs that were not asked for in this form; the rule %s", broken,
                broken > 0 ? "is broken" : "held");
    daemon.stopNow();
    std::fflush(nullptr);
    ::_exit(broken > 0 ? 1 : 0);
}
