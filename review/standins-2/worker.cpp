// Stand-in of a worker of a plain service, as PROTOCOL.md describes it.
// worker --port P --id ID --log FILE --bytes N --framing length|none --first BYTES --pause MS
// It answers each request with `wholeBody`; the first BYTES at once and the rest after MS. Under /lm/ it answers with a
// stream of events without a length, whatever --framing says.
#include "kit.h"

int main(int count, char **values)
{
    std::map<std::string, std::string> options;
    for (int i = 1; i + 1 < count; i += 2) {
        options[values[i]] = values[i + 1];
    }
    const auto id = options["--id"];
    const auto bytes = static_cast<std::size_t>(std::atol(options["--bytes"].c_str()));
    const auto first = static_cast<std::size_t>(std::atol(options["--first"].c_str()));
    const long pause = std::atol(options["--pause"].c_str());
    const bool framed = options["--framing"] != "none";
    int port = std::atoi(options["--port"].c_str());
    const int listener = kit::listenOn(port);
    if (listener < 0) {
        return 2;
    }
    const int log = ::open(options["--log"].c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    for (;;) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            return 2;
        }
        std::thread([=] {
            std::string rest;
            kit::Message request;
            while (kit::readRequest(fd, rest, request, kit::nowMs() + 9000)) {
                const auto attempt = request.header("attempt-id");
                const auto named = request.header("target-instance");
                if (request.start.rfind("GET /health", 0) == 0) {
                    kit::sendAll(fd, "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                if (!named.empty() && named != id) {
                    kit::sendAll(fd, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt
                                     + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                const auto line = kit::format("run %s by %s at %ld\n", attempt.c_str(), id.c_str(), kit::nowMs());
                if (::write(log, line.data(), line.size()) < 0) {
                    return;
                }
                if (request.start.find("/lm/") != std::string::npos) {
                    bool sent = kit::sendAll(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Signature: 3e1b.07." + id
                                                     + "\r\nVersions: 1\r\nContent-Type: text/event-stream\r\n"
                                                       "Connection: close\r\n\r\n");
                    const long after = std::atol(request.header("last-event-id").c_str());
                    for (long event = after + 1; sent && event <= kit::EventCount; ++event) {
                        kit::sleepMs(15);
                        sent = kit::sendAll(fd, kit::eventOf(attempt, event));
                    }
                    break;
                }
                const auto body = kit::wholeBody(attempt, bytes);
                const auto framing = framed ? kit::format("Content-Length: %zu\r\n", bytes)
                                            : std::string("Connection: close\r\n");
                const bool sent = kit::sendAll(fd,
                                               "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt
                                                   + "\r\nServer-Signature: 3e1b.07." + id
                                                   + "\r\nVersions: 1\r\nContent-Type: text/plain\r\n" + framing
                                                   + "\r\n" + body.substr(0, first));
                kit::sleepMs(pause);
                if (!sent || !kit::sendAll(fd, body.substr(first)) || !framed) {
                    break;
                }
            }
            ::close(fd);
        }).detach();
    }
}
