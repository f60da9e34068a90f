// Shared parts of the stand-ins of the second review: a store, callers, a record, and child processes.
// Only POSIX and the C++ standard library are used. All sockets are on loopback.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <utility>
#include <unistd.h>
#include <vector>

namespace kit
{

using Clock = std::chrono::steady_clock;

inline long nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

inline void sleepMs(long ms)
{
    if (ms > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    }
}

inline std::string format(const char *pattern, ...)
{
    char text[8192];
    va_list args;
    va_start(args, pattern);
    std::vsnprintf(text, sizeof text, pattern, args);
    va_end(args);
    return text;
}

/// Lines of `record.txt`, with the time in ms since the clock of the machine started.
class Record
{
public:
    explicit Record(const std::string &path, bool append = false)
        : m_file(std::fopen(path.c_str(), append ? "a" : "w"))
        , m_start(nowMs())
    { }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        if (m_file != nullptr) {
            std::fprintf(m_file, "%ld %s\n", nowMs() - m_start, text.c_str());
            std::fflush(m_file);
        }
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
    long m_start;
};

// ---- sockets ----

inline sockaddr_in addressOf(const std::string &host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

inline int listenOn(int &port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    auto address = addressOf("127.0.0.1", port);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t length = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    port = ntohs(address.sin_port);
    return fd;
}

/// A port that is free for TCP and UDP on these hosts now.
inline int freePort(const std::vector<std::string> &hosts = {"127.0.0.1"})
{
    static std::map<int, bool> given;
    for (;;) {
        int port = 0;
        ::close(listenOn(port));
        bool isFree = !given[port];
        for (const auto &host : hosts) {
            const auto address = addressOf(host, port);
            const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            isFree = isFree && ::bind(tcp, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
                && ::bind(udp, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
            ::close(tcp);
            ::close(udp);
        }
        if (isFree) {
            given[port] = true;
            return port;
        }
    }
}

inline int connectTo(const std::string &host, int port, int receiveBuffer = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    const auto address = addressOf(host, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto done = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (done <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(done);
    }
    return true;
}

/// Reads some bytes. Returns 1 for bytes, 0 for the end of the connection, -1 for an error, -2 for a timeout.
inline int readSome(int fd, std::string &to, long untilMs, std::size_t most = 65536)
{
    for (;;) {
        const long left = untilMs - nowMs();
        if (left <= 0) {
            return -2;
        }
        pollfd entry{fd, POLLIN, 0};
        const int ready = ::poll(&entry, 1, static_cast<int>(left));
        if (ready == 0) {
            return -2;
        }
        if (ready < 0) {
            continue;
        }
        std::string buffer(most, '\0');
        const auto got = ::recv(fd, buffer.data(), buffer.size(), 0);
        if (got > 0) {
            to.append(buffer, 0, static_cast<std::size_t>(got));
            return 1;
        }
        return got == 0 ? 0 : -1;
    }
}

// ---- HTTP ----

struct Message
{
    std::string start; ///< Request or status line.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    int status() const
    {
        return start.size() > 9 ? std::atoi(start.c_str() + 9) : 0;
    }
};

inline bool parseHead(const std::string &head, Message &message)
{
    std::size_t at = head.find("\r\n");
    if (at == std::string::npos) {
        return false;
    }
    message.start = head.substr(0, at);
    at += 2;
    while (at < head.size()) {
        const auto end = head.find("\r\n", at);
        if (end == std::string::npos || end == at) {
            break;
        }
        const auto colon = head.find(':', at);
        std::string name = head.substr(at, colon - at);
        for (auto &c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        auto value = colon + 1;
        while (value < end && head[value] == ' ') {
            ++value;
        }
        message.headers[name] = head.substr(value, end - value);
        at = end + 2;
    }
    return true;
}

/// Reads a request with its length. `rest` keeps what follows it. False at the end of the connection.
inline bool readRequest(int fd, std::string &rest, Message &request, long untilMs)
{
    request = {};
    std::size_t headEnd = std::string::npos;
    while ((headEnd = rest.find("\r\n\r\n")) == std::string::npos) {
        if (readSome(fd, rest, untilMs) != 1) {
            return false;
        }
    }
    if (!parseHead(rest.substr(0, headEnd + 2), request)) {
        return false;
    }
    const auto length = static_cast<std::size_t>(std::atol(request.header("content-length").c_str()));
    while (rest.size() < headEnd + 4 + length) {
        if (readSome(fd, rest, untilMs) != 1) {
            return false;
        }
    }
    request.body = rest.substr(headEnd + 4, length);
    rest.erase(0, headEnd + 4 + length);
    return true;
}

/// What a caller saw of an answer.
struct Answer
{
    Message head;
    bool hasHead = false;
    bool complete = false; ///< Whether the framing says that the answer is whole.
    std::string end; ///< How it ended: "complete", "closed", "reset", "timeout", "no connection".
    long firstByteMs = 0;
    long endMs = 0;
};

/// Reads an answer. `pace` is called before each read and may sleep; `most` limits the bytes of each read.
inline Answer readAnswer(int fd, std::string &rest, long untilMs, const std::function<void(std::size_t)> &pace = {},
                         std::size_t most = 65536)
{
    Answer answer;
    const auto more = [&]() {
        if (pace) {
            pace(rest.size());
        }
        const int result = readSome(fd, rest, untilMs, most);
        if (result == 1 && answer.firstByteMs == 0) {
            answer.firstByteMs = nowMs();
        }
        if (result != 1) {
            answer.end = result == 0 ? "closed" : result == -1 ? "reset" : "timeout";
            answer.endMs = nowMs();
        }
        return result;
    };
    std::size_t headEnd = std::string::npos;
    while ((headEnd = rest.find("\r\n\r\n")) == std::string::npos) {
        if (more() != 1) {
            return answer;
        }
    }
    parseHead(rest.substr(0, headEnd + 2), answer.head);
    answer.hasHead = true;
    rest.erase(0, headEnd + 4);
    auto &body = answer.head.body;
    const auto whole = [&] {
        answer.complete = true;
        answer.end = "complete";
        answer.endMs = nowMs();
        return answer;
    };
    if (answer.head.header("transfer-encoding") == "chunked") {
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = rest.find("\r\n")) == std::string::npos) {
                if (more() != 1) {
                    return answer;
                }
            }
            const auto length = static_cast<std::size_t>(std::strtoul(rest.c_str(), nullptr, 16));
            while (rest.size() < lineEnd + 2 + length + 2) {
                if (more() != 1) {
                    body += rest.substr(std::min(rest.size(), lineEnd + 2));
                    return answer;
                }
            }
            body += rest.substr(lineEnd + 2, length);
            rest.erase(0, lineEnd + 2 + length + 2);
            if (length == 0) {
                return whole();
            }
        }
    }
    if (!answer.head.header("content-length").empty()) {
        const auto length = static_cast<std::size_t>(std::atol(answer.head.header("content-length").c_str()));
        while (rest.size() < length) {
            if (more() != 1) {
                body = rest;
                return answer;
            }
        }
        body = rest.substr(0, length);
        rest.erase(0, length);
        return whole();
    }
    int result = 1;
    while ((result = more()) == 1) {
    }
    body = rest;
    rest.clear();
    if (result == 0) {
        return whole();
    }
    return answer;
}

// ---- the platform's store ----

/// Objects by kind and name, with lists and watches as PROTOCOL.md describes them. Writes are made by the case itself,
/// in place of the operator and of the workers.
class Store
{
public:
    /// One path from a machine to the store, with a port of its own, so that a case can cut it.
    struct Path
    {
        int port = 0;
        std::atomic<bool> cut = false; ///< Calls get no answer, as behind a silent partition.
        std::atomic<bool> turnedAway = false; ///< Each call is answered with 503 at once.
        std::atomic<long> calls = 0;
        std::atomic<long> configAnsweredAt = 0; ///< When a watch of the configuration was last answered.
    };

    /// Opens a path; null if that fails.
    Path *openPath()
    {
        auto *path = new Path; // Used by threads that are never joined.
        const int listener = listenOn(path->port);
        if (listener < 0) {
            return nullptr;
        }
        std::thread([this, listener, path] {
            for (;;) {
                const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                std::thread([this, fd, path] { serve(fd, *path); }).detach();
            }
        }).detach();
        return path;
    }
    bool start()
    {
        m_path = openPath();
        return m_path != nullptr;
    }
    int port() const
    {
        return m_path->port;
    }
    /// Writes an object; returns when the store has acknowledged it.
    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(m_mutex);
        const auto revision = ++m_revision;
        const auto object = "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(revision)
            + ",\"made\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":{}}";
        m_objects[kind][name] = object;
        m_events.push_back({revision, kind, "{\"object\":" + object + ",\"gone\":false}"});
        m_changed.notify_all();
    }
    /// Turns a machine away: its waiting watches and all further calls get 503.
    void turnAway(Path &path, bool away)
    {
        const std::lock_guard lock(m_mutex);
        path.turnedAway = away;
        m_changed.notify_all();
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_objects[kind].find(name);
        if (found == m_objects[kind].end()) {
            return;
        }
        const auto revision = ++m_revision;
        m_events.push_back({revision, kind, "{\"object\":" + found->second + ",\"gone\":true}"});
        m_objects[kind].erase(found);
        m_changed.notify_all();
    }

private:
    struct Event
    {
        long revision;
        std::string kind;
        std::string text;
    };

    static std::string query(const std::string &target, const std::string &name)
    {
        const auto mark = target.find('?');
        if (mark == std::string::npos) {
            return "";
        }
        std::string rest = "&" + target.substr(mark + 1);
        const auto at = rest.find("&" + name + "=");
        if (at == std::string::npos) {
            return "";
        }
        const auto from = at + name.size() + 2;
        return rest.substr(from, rest.find('&', from) - from);
    }

    void serve(int fd, Path &path)
    {
        std::string rest;
        Message request;
        while (readRequest(fd, rest, request, nowMs() + 120000)) {
            const auto from = request.start.find(' ') + 1;
            const auto target = request.start.substr(from, request.start.find(' ', from) - from);
            const std::string prefix = "/v1/objects/";
            int status = 404;
            std::string body = "{}";
            if (request.start.rfind("GET ", 0) == 0 && target.rfind(prefix, 0) == 0) {
                const auto kind = target.substr(prefix.size(), target.find('?') - prefix.size());
                status = 200;
                body = answerRead(kind, target, path);
            }
            sleepMs(4);
            ++path.calls;
            while (path.cut) {
                sleepMs(10);
            }
            if (path.turnedAway) {
                status = 503;
                body = "{}";
            }
            if (target.find("config?watch") != std::string::npos) {
                path.configAnsweredAt = nowMs();
            }
            if (!sendAll(fd,
                         "HTTP/1.1 " + std::to_string(status) + " OK\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                break;
            }
        }
        ::close(fd);
    }

    std::string answerRead(const std::string &kind, const std::string &target, const Path &path)
    {
        std::unique_lock lock(m_mutex);
        const auto watch = query(target, "watch");
        if (watch.empty()) {
            std::string items;
            const auto since = query(target, "since_rev");
            for (const auto &[name, object] : m_objects[kind]) {
                if (name > since) {
                    items += (items.empty() ? "" : ",") + object;
                }
            }
            return "{\"items\":[" + items + "],\"more\":false,\"at\":" + std::to_string(m_revision) + "}";
        }
        const long revision = std::atol(watch.c_str());
        const auto until = Clock::now() + std::chrono::milliseconds(std::atol(query(target, "wait_ms").c_str()));
        for (;;) {
            std::string events;
            for (const auto &event : m_events) {
                if (event.revision > revision && event.kind == kind) {
                    events += (events.empty() ? "" : ",") + event.text;
                }
            }
            if (path.turnedAway || !events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                return "{\"events\":[" + events + "],\"at\":" + std::to_string(m_revision) + "}";
            }
        }
    }

    Path *m_path = nullptr;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    long m_revision = 10;
    std::map<std::string, std::map<std::string, std::string>> m_objects;
    std::vector<Event> m_events;
};

inline std::string serverEntry(const std::string &service, int port, const std::string &zone, int slots,
                               const std::string &state = "ready")
{
    return format("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"1\",\"slots\":%d,"
                  "\"state\":\"%s\",\"cold_remaining_ms\":0,\"call_seq\":0}",
                  service.c_str(), port, zone.c_str(), slots, state.c_str());
}

// ---- processes ----

/// Starts a program; its output goes to a file.
inline pid_t startProcess(const std::vector<std::string> &arguments, const std::string &output)
{
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // No process outlives its case.
        const int fd = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(fd, 1);
        ::dup2(fd, 2);
        std::vector<char *> list;
        for (const auto &argument : arguments) {
            list.push_back(const_cast<char *>(argument.c_str()));
        }
        list.push_back(nullptr);
        ::execv(list[0], list.data());
        ::_exit(127);
    }
    return pid;
}

inline std::string readFile(const std::string &path)
{
    std::string text;
    if (std::FILE *file = std::fopen(path.c_str(), "r")) {
        char buffer[65536];
        std::size_t got = 0;
        while ((got = std::fread(buffer, 1, sizeof buffer, file)) > 0) {
            text.append(buffer, got);
        }
        std::fclose(file);
    }
    return text;
}

/// All child processes of a case; they are killed when it ends.
class Children
{
public:
    ~Children()
    {
        for (const auto pid : m_pids) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
    }
    pid_t start(const std::vector<std::string> &arguments, const std::string &output)
    {
        const auto pid = startProcess(arguments, output);
        m_pids.push_back(pid);
        return pid;
    }
    /// Kills one and waits until it is gone.
    void killNow(pid_t pid)
    {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        std::erase(m_pids, pid);
    }

private:
    std::vector<pid_t> m_pids;
};

/// One spurlugd, started as deploy/system.toml starts it. Each has a loopback address of its own, as each machine has
/// its own address; ports are alike on all of them.
struct Daemon
{
    std::string name;
    std::string zone;
    std::string host = {};
    pid_t pid = 0;
};

/// The daemons of a small deployment, with the bounds of the sheet of tidewater.
class Fleet
{
public:
    /// \param zones The zone of each daemon.
    Fleet(const std::vector<std::string> &zones, std::vector<int> storePorts, std::string folder, Children &children)
        : m_folder(std::move(folder))
        , m_children(children)
        , m_storePorts(std::move(storePorts))
    {
        std::vector<std::string> hosts;
        const int net = 16 + static_cast<int>(::getpid() % 200);
        for (std::size_t i = 0; i < zones.size(); ++i) {
            Daemon daemon{format("front-%zu", i + 1), zones[i]};
            daemon.host = format("127.%d.0.%zu", net, i + 1);
            hosts.push_back(daemon.host);
            daemons.push_back(daemon);
        }
        caller = freePort(hosts);
        readiness = freePort(hosts);
        control = freePort(hosts);
        peer = freePort(hosts);
        metrics = freePort(hosts);
        for (auto &daemon : daemons) {
            start(daemon);
        }
    }

    /// Starts a daemon, for the first time or again.
    void start(Daemon &daemon)
    {
        std::map<std::string, bool> zones;
        std::string zoneList;
        std::string seeds;
        for (const auto &other : daemons) {
            if (!std::exchange(zones[other.zone], true)) {
                zoneList += (zoneList.empty() ? "" : ",") + ("\"" + other.zone + "\"");
            }
            seeds += (seeds.empty() ? "" : ",") + format("\"%s:%d\"", other.host.c_str(), control);
        }
        const auto path = m_folder + "/" + daemon.name + ".json";
        const char *ip = daemon.host.c_str();
        const auto index = std::min(static_cast<std::size_t>(&daemon - daemons.data()), m_storePorts.size() - 1);
        const int storePort = m_storePorts[index];
        std::FILE *file = std::fopen(path.c_str(), "w");
        std::fprintf(file,
                     "{\"vm\":\"%s\",\"failureDomain\":\"%s\",\"failureDomains\":[%s],\"region\":\"coast-west\","
                     "\"callerAddress\":\"%s:%d\",\"readinessAddress\":\"%s:%d\",\"controlAddress\":\"%s:%d\","
                     "\"peerAddress\":\"%s:%d\",\"metricsAddress\":\"%s:%d\",\"store\":\"127.0.0.1:%d\",\"seeds\":[%s],"
                     "\"processorShare\":\"0.25\",\"memoryMb\":\"260\",\"bounds\":{\"drainMs\":\"2000\","
                     "\"targetHeartbeatMs\":\"1200\",\"revokeMs\":\"5000\",\"failClosed\":\"true\","
                     "\"graceSeconds\":\"8\",\"retryRatio\":\"0.2\",\"retryWindowSeconds\":\"10\","
                     "\"retrySlack\":\"100\",\"longestHoldMs\":\"20000\",\"evacuateMs\":\"\",\"freeAfterMs\":\"4000\"}}",
                     daemon.name.c_str(), daemon.zone.c_str(), zoneList.c_str(), ip, caller, ip, readiness, ip, control, ip,
                     peer, ip, metrics, storePort, seeds.c_str());
        std::fclose(file);
        daemon.pid = m_children.start({"target/spurlugd", "--relay", "--settings", path},
                                      m_folder + "/" + daemon.name + ".log");
    }

    int askReadiness(const Daemon &daemon) const
    {
        const int fd = connectTo(daemon.host, readiness);
        if (fd < 0) {
            return 0;
        }
        sendAll(fd, "GET /v1/ready HTTP/1.1\r\nHost: " + daemon.host + "\r\nConnection: close\r\n\r\n");
        std::string rest;
        const auto answer = readAnswer(fd, rest, nowMs() + 1000);
        ::close(fd);
        return answer.hasHead ? answer.head.status() : 0;
    }

    bool awaitReady(long timeoutMs) const
    {
        const long until = nowMs() + timeoutMs;
        for (const auto &daemon : daemons) {
            while (askReadiness(daemon) != 200) {
                if (nowMs() > until) {
                    return false;
                }
                sleepMs(50);
            }
        }
        return true;
    }

    std::vector<Daemon> daemons;
    int caller = 0;
    int readiness = 0;
    int control = 0;
    int peer = 0;
    int metrics = 0;

private:
    const std::string m_folder;
    Children &m_children;
    const std::vector<int> m_storePorts; ///< Of each daemon; the last one serves the rest.
};

/// The body that a worker of these stand-ins gives to an attempt.
inline std::string wholeBody(const std::string &attempt, std::size_t bytes)
{
    std::string body;
    while (body.size() < bytes) {
        body += attempt + format(":%08zu\n", body.size());
    }
    body.resize(bytes);
    return body;
}

/// The events of a stream.
constexpr long EventCount = 20;

inline std::string eventOf(const std::string &attempt, long number)
{
    return format("id: %ld\ndata: %s-%ld\n\n", number, attempt.c_str(), number);
}

inline std::string wholeStream(const std::string &attempt)
{
    std::string stream;
    for (long number = 1; number <= EventCount; ++number) {
        stream += eventOf(attempt, number);
    }
    return stream;
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace kit
