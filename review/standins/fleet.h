//----------------------------------------------------------------------------------------------------------------------
// Stand-ins for the review: the platform's store, workers, clients, a proxy, and the start of relay daemons.
// Everything speaks what PROTOCOL.md says. Only POSIX calls and the C++ library are used.
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <arpa/inet.h>
#include <atomic>
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
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;

/// Times in the record count from here. A process that another one starts takes over its value.
inline Clock::time_point started = Clock::now();

/// Milliseconds since the start of the play.
inline double nowMs()
{
    return std::chrono::duration<double, std::milli>(Clock::now() - started).count();
}

inline void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline void sleepUntil(double ms)
{
    sleepMs(std::max(0.0, ms - nowMs()));
}

/// record.txt: one line for each thing that was sent, answered or run.
class Record
{
public:
    /// \param isNew False: adds to the file, as the processes do that the player starts.
    explicit Record(const std::string &path, bool isNew = true)
    {
        if (isNew) {
            std::fclose(std::fopen(path.c_str(), "w"));
        }
        m_file = std::fopen(path.c_str(), "a"); // Each line is one write at the end of the file.
    }

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%9.1f ", nowMs());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

//--- Sockets and HTTP -------------------------------------------------------------------------------------------------

inline sockaddr_in socketAddress(const std::string &host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &host, int &port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    auto address = socketAddress(host, port);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

inline int connectTo(const std::string &host, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = socketAddress(host, port);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
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
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

inline void resetAndClose(int fd)
{
    const linger hard{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(fd);
}

struct Message
{
    std::string first; ///< Request line or status line.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    bool complete = false; ///< Whether the whole message arrived.
    bool headArrived = false;
    std::string end; ///< How the connection ended, if the message is not complete.

    [[nodiscard]] std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }

    [[nodiscard]] int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
};

/// Reads messages from a connection.
class Reader
{
public:
    /// \param bytesPerMs How fast to read; null or 0: as fast as the bytes come.
    explicit Reader(int fd, const std::atomic<double> *bytesPerMs = nullptr)
        : m_fd(fd)
        , m_bytesPerMs(bytesPerMs)
    { }

    /// Called when the head of a message has been read.
    std::function<void(const Message &)> onHead;

    /// \param timeoutMs For the whole message.
    Message read(double timeoutMs, bool isAnswer)
    {
        Message message;
        const auto until = nowMs() + timeoutMs;
        std::size_t headEnd = 0;
        while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until, message)) {
                return message;
            }
        }
        parseHead(m_buffer.substr(0, headEnd), message);
        m_buffer.erase(0, headEnd + 4);
        message.headArrived = true;
        if (onHead) {
            onHead(message);
        }
        if (message.header("transfer-encoding") == "chunked") {
            readChunks(until, message);
        } else if (!message.header("content-length").empty()) {
            const auto length = std::stoul(message.header("content-length"));
            while (m_buffer.size() < length) {
                if (!more(until, message)) {
                    message.body = m_buffer;
                    return message;
                }
            }
            message.body = m_buffer.substr(0, length);
            m_buffer.erase(0, length);
            message.complete = true;
        } else {
            message.complete = !isAnswer; // Every answer in these scenarios has a length or chunks.
        }
        return message;
    }

private:
    bool more(double until, Message &message)
    {
        pollfd waiting{m_fd, POLLIN, 0};
        const auto left = until - nowMs();
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left) + 1) <= 0) {
            message.end = "no answer in time";
            return false;
        }
        char bytes[16384];
        const auto n = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (const double speed = m_bytesPerMs != nullptr ? m_bytesPerMs->load() : 0; n > 0 && speed > 0) {
            sleepMs(static_cast<double>(n) / speed);
        }
        if (n <= 0) {
            message.end = n == 0 ? "closed" : "reset";
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    static void parseHead(const std::string &head, Message &message)
    {
        std::size_t at = 0;
        bool isFirst = true;
        while (at <= head.size()) {
            auto end = head.find("\r\n", at);
            end = end == std::string::npos ? head.size() : end;
            const auto line = head.substr(at, end - at);
            at = end + 2;
            if (std::exchange(isFirst, false)) {
                message.first = line;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto name = line.substr(0, colon);
            for (auto &c : name) {
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            }
            const auto value = line.find_first_not_of(" \t", colon + 1);
            message.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
    }

    void readChunks(double until, Message &message)
    {
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = m_buffer.find("\r\n")) == std::string::npos) {
                if (!more(until, message)) {
                    return;
                }
            }
            const auto size = std::stoul(m_buffer.substr(0, lineEnd), nullptr, 16);
            while (m_buffer.size() < lineEnd + 2 + size + 2) {
                if (!more(until, message)) {
                    return;
                }
            }
            message.body += m_buffer.substr(lineEnd + 2, size);
            m_buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                message.complete = true;
                return;
            }
        }
    }

    const int m_fd;
    const std::atomic<double> *m_bytesPerMs;
    std::string m_buffer;
};

/// Accepts connections and serves each in a thread of its own.
class Server
{
public:
    using Handler = std::function<void(int fd)>;

    Server(const std::string &host, int port, Handler handler)
        : m_port(port)
        , m_fd(listenOn(host, m_port))
        , m_handler(std::move(handler))
    {
        std::thread([this] {
            for (;;) {
                const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    if (m_closed || m_fd < 0) {
                        return;
                    }
                    continue;
                }
                const int one = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                std::thread([this, fd] { m_handler(fd); }).detach();
            }
        }).detach();
    }

    [[nodiscard]] int port() const
    {
        return m_port;
    }

    /// Nothing listens at the address any more.
    void stopListening()
    {
        m_closed = true;
        ::shutdown(m_fd, SHUT_RDWR);
        ::close(m_fd);
    }

private:
    int m_port;
    int m_fd;
    Handler m_handler;
    std::atomic<bool> m_closed = false;
};

//--- The platform's store ---------------------------------------------------------------------------------------------

/// Serves lists and watches of objects. The operator and the workers write to it by `put` and `remove`.
class Store
{
public:
    Store()
        : m_server("127.0.0.1", 0, [this](int fd) { serve(fd); })
    { }

    [[nodiscard]] int port() const
    {
        return m_server.port();
    }

    /// \returns When the store acknowledged the change.
    double put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(m_mutex);
        auto &object = m_objects[kind][name];
        if (object.spec != spec) { // A write that changes nothing causes no event.
            object = {spec, ++m_revision};
            m_history.push_back({m_revision, kind, json(name, object), false});
            m_changed.notify_all();
        }
        return nowMs();
    }

    double remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        auto object = m_objects[kind][name];
        m_objects[kind].erase(name);
        m_history.push_back({++m_revision, kind, json(name, object), true});
        m_changed.notify_all();
        return nowMs();
    }

private:
    struct Object
    {
        std::string spec;
        long revision = 0;
    };
    struct Change
    {
        long revision;
        std::string kind;
        std::string object;
        bool gone;
    };

    static std::string json(const std::string &name, const Object &object)
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(object.revision)
            + ",\"deleting\":false},\"spec\":" + object.spec + "}";
    }

    static long parameter(const std::string &query, const std::string &name)
    {
        const auto at = query.find(name + "=");
        return at == std::string::npos ? -1 : std::stol(query.substr(at + name.size() + 1));
    }

    void serve(int fd)
    {
        Reader reader(fd);
        for (;;) {
            const auto request = reader.read(3'600'000, false);
            if (!request.complete) {
                break;
            }
            const auto target = request.first.substr(4, request.first.rfind(' ') - 4);
            const auto question = target.find('?');
            const auto query = question == std::string::npos ? std::string() : target.substr(question + 1);
            const auto path = target.substr(0, question);
            const std::string prefix = "/v1/objects/";
            const auto kind = path.size() > prefix.size() ? path.substr(prefix.size()) : std::string();
            const auto from = parameter(query, "watch");
            sleepMs(4); // The store takes 4 ms for an answer.
            const auto body
                = from < 0 ? list(kind) : watch(kind, from, static_cast<double>(parameter(query, "wait_ms")));
            if (!sendAll(fd,
                         "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                break;
            }
        }
        ::close(fd);
    }

    std::string list(const std::string &kind)
    {
        const std::lock_guard lock(m_mutex);
        std::string items;
        for (const auto &[name, object] : m_objects[kind]) {
            items += (items.empty() ? "" : ",") + json(name, object);
        }
        return "{\"items\":[" + items + "],\"more\":false,\"at\":" + std::to_string(m_revision) + "}";
    }

    std::string watch(const std::string &kind, long from, double waitMs)
    {
        const auto until = nowMs() + waitMs;
        std::unique_lock lock(m_mutex);
        for (;;) {
            std::string events;
            for (const auto &change : m_history) {
                if (change.revision > from && change.kind == kind) {
                    events += std::string(events.empty() ? "" : ",") + "{\"object\":" + change.object
                        + ",\"gone\":" + (change.gone ? "true" : "false") + "}";
                }
            }
            if (!events.empty() || nowMs() >= until) {
                return "{\"events\":[" + events + "],\"at\":" + std::to_string(m_revision) + "}";
            }
            m_changed.wait_for(lock, std::chrono::duration<double, std::milli>(until - nowMs() + 0.5));
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Change> m_history;
    long m_revision = 100;
    Server m_server;
};

//--- A path whose open connections can go silent
//------------------------------------------------------------------------

class Proxy
{
public:
    explicit Proxy(int targetPort)
        : m_targetPort(targetPort)
        , m_server("127.0.0.1", 0, [this](int fd) { serve(fd); })
    { }

    [[nodiscard]] int port() const
    {
        return m_server.port();
    }

    /// The connections that are open now pass nothing on from here on, in both directions, and are not closed. New ones
    /// work. \returns How many went silent.
    int silence()
    {
        const std::lock_guard lock(m_mutex);
        int count = 0;
        for (const auto &connection : m_open) {
            count += connection->silent.exchange(true) ? 0 : 1;
        }
        return count;
    }

private:
    struct Connection
    {
        std::atomic<bool> silent = false;
    };

    void serve(int client)
    {
        const int target = connectTo("127.0.0.1", m_targetPort);
        const auto connection = std::make_shared<Connection>();
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(connection);
        }
        char bytes[16384];
        for (;;) {
            pollfd ends[2] = {{client, POLLIN, 0}, {target, POLLIN, 0}};
            ::poll(ends, 2, 20);
            if (connection->silent) {
                sleepMs(20);
                continue; // Until the end of the program.
            }
            bool ended = false;
            for (int i = 0; i < 2; ++i) {
                if (ends[i].revents == 0) {
                    continue;
                }
                const auto n = ::recv(ends[i].fd, bytes, sizeof bytes, 0);
                ended = ended || n <= 0 || !sendAll(ends[1 - i].fd, std::string(bytes, static_cast<std::size_t>(n)));
            }
            if (ended) {
                break;
            }
        }
        ::close(client);
        ::close(target);
        const std::lock_guard lock(m_mutex);
        m_open.erase(connection);
    }

    const int m_targetPort;
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_open;
    Server m_server;
};

//--- Workers
//------------------------------------------------------------------------------------------------------------

struct Arrival
{
    std::string attemptId;
    double atMs = 0;
    std::string first; ///< Request line.
    std::string body;
};

/// A worker: turns requests away when all slots are taken or when they are for another instance.
class Worker
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string zone;
        int slots = 1;
        bool keepsBodies = false; ///< Whether `arrivals` has the bodies.
        const std::atomic<double> *readBytesPerMs = nullptr; ///< Null or 0: reads as fast as the bytes come.
        /// Plain services: the time of the work.
        std::function<double()> workMs;
        /// Engines: prompts are read at this speed and the answer comes in events.
        bool isEngine = false;
        long memoryTokens = 0;
        double readTokensPerMs = 206;
        double pairsMsPerMillion = 0.138;
        double eventMs = 88;
        int events = 15;
    };

    Worker(Store &store, Record &record, Options options)
        : m_store(store)
        , m_record(record)
        , m_options(std::move(options))
        , m_server("127.0.0.1", 0, [this](int fd) { serve(fd); })
    { }

    double enter(const std::string &state)
    {
        m_draining = state != "ready";
        return m_store.put("servers", m_options.id,
                           "{\"service\":\"" + m_options.service
                               + "\",\"address\":\"127.0.0.1:" + std::to_string(m_server.port()) + "\",\"zone\":\""
                               + m_options.zone + "\",\"version\":\"1\",\"slots\":" + std::to_string(m_options.slots)
                               + ",\"state\":\"" + state
                               + "\",\"cold_remaining_ms\":0,\"call_seq\":0,\"stage\":\"both\",\"models\":[{"
                                 "\"name\":\"m\",\"version\":1,\"adapters\":[]}]}");
    }

    /// The process ends: its entry goes and its connections end.
    void end()
    {
        m_ended = true;
        m_server.stopListening();
        m_store.remove("servers", m_options.id);
    }

    [[nodiscard]] std::vector<Arrival> arrivals()
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }

    /// Requests whose head has arrived, whole or not.
    [[nodiscard]] std::set<std::string> passedOn()
    {
        const std::lock_guard lock(m_mutex);
        return m_passedOn;
    }

    /// Requests that were at work when the worker ended.
    [[nodiscard]] std::set<std::string> brokenOff()
    {
        const std::lock_guard lock(m_mutex);
        return m_brokenOff;
    }

    [[nodiscard]] const std::string &id() const
    {
        return m_options.id;
    }

private:
    bool answer(int fd, const Message &request, const std::string &status, const std::string &headers,
                const std::string &body) const
    {
        const auto id = request.header("attempt-id");
        return sendAll(fd,
                       "HTTP/1.1 " + status + "\r\n" + (id.empty() ? "" : "Attempt-Id: " + id + "\r\n")
                           + "Versions: 1\r\n" + (m_draining ? "Connection: close\r\n" : "") + headers
                           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /// Waits while the request is at work. \returns False if the worker ended or the caller closed the connection.
    bool work(int fd, double ms)
    {
        const auto until = nowMs() + ms;
        while (nowMs() < until) {
            pollfd waiting{fd, POLLIN, 0};
            ::poll(&waiting, 1, static_cast<int>(std::min(until - nowMs(), 5.0)));
            char byte = 0;
            const bool closed = waiting.revents != 0 && ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
            if (m_ended || closed) {
                return false;
            }
        }
        return true;
    }

    void serve(int fd)
    {
        Reader reader(fd, m_options.readBytesPerMs);
        reader.onHead = [this](const Message &request) {
            const std::lock_guard lock(m_mutex);
            m_passedOn.insert(request.header("attempt-id"));
        };
        if (m_options.readBytesPerMs != nullptr) {
            const int window = 65536; // Bytes that are not read hold the sender up, as on links with small windows.
            ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        }
        for (;;) {
            const auto request = reader.read(60'000, false);
            if (!request.complete || m_ended) {
                break;
            }
            if (!handle(fd, request) || m_draining) {
                break;
            }
        }
        if (m_ended) {
            resetAndClose(fd);
        } else {
            ::shutdown(fd, SHUT_WR);
            ::close(fd);
        }
    }

    bool handle(int fd, const Message &request)
    {
        if (request.first.starts_with("GET /health")) {
            return answer(fd, request, m_draining ? "503 Service Unavailable" : "200 OK",
                          "Instance-Id: " + m_options.id + "\r\n", "");
        }
        const auto expected = request.header("target-instance");
        if (!expected.empty() && expected != m_options.id) {
            return answer(fd, request, "421 Misdirected Request", "Instance-Id: " + m_options.id + "\r\n", "");
        }
        if (request.first.starts_with("POST /v1/order")) {
            return answer(fd, request, "200 OK", "Content-Type: application/json\r\n", "{\"free\":0}");
        }
        const auto id = request.header("attempt-id");
        const auto tokens = std::atol(request.header("token-usage").c_str());
        {
            const std::lock_guard lock(m_mutex);
            m_arrivals.push_back({id, nowMs(), request.first, m_options.keepsBodies ? request.body : std::string()});
            const bool full = m_running >= m_options.slots
                || (m_options.isEngine && m_usedTokens + tokens > m_options.memoryTokens);
            if (full) {
                m_record.line("worker %s: request %s arrives, turned away (full)", m_options.id.c_str(), id.c_str());
            } else {
                m_record.line("worker %s: request %s arrives and runs, Deadline-Ms %s", m_options.id.c_str(),
                              id.c_str(), request.header("deadline-ms").c_str());
                ++m_running;
                m_usedTokens += tokens;
            }
            if (full) {
                return answer(fd, request, "503 Service Unavailable", "Not-Executed: 1\r\n", "");
            }
        }
        const bool ok = m_options.isEngine ? stream(fd, request, static_cast<double>(tokens)) : plain(fd, request);
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_usedTokens -= tokens;
        if (m_ended && !ok) {
            m_brokenOff.insert(id);
        }
        m_record.line("worker %s: request %s %s", m_options.id.c_str(), id.c_str(),
                      ok            ? "done"
                          : m_ended ? "broken off: the worker ended"
                                    : "dropped: its connection closed");
        return ok;
    }

    bool plain(int fd, const Message &request)
    {
        return work(fd, m_options.workMs())
            && answer(fd, request, "200 OK", "Server-Signature: " + m_options.id + ".1\r\n", std::string(800, 'x'));
    }

    bool stream(int fd, const Message &request, double tokens)
    {
        const auto readMs
            = tokens / m_options.readTokensPerMs + tokens * tokens / 2 / 1e6 * m_options.pairsMsPerMillion;
        if (!work(fd, readMs)) {
            return false;
        }
        if (!sendAll(fd,
                     "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("attempt-id") + "\r\nServer-Signature: "
                         + m_options.id + ".1\r\nVersions: 1\r\nContent-Type: text/event-stream\r\n"
                         + "Transfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        const auto last = request.header("last-event-id");
        for (int i = last.empty() ? 1 : std::atoi(last.c_str()) + 1; i <= m_options.events; ++i) {
            if (!work(fd, m_options.eventMs)) {
                return false;
            }
            const auto event = "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!sendAll(fd, size + event + "\r\n")) {
                return false;
            }
        }
        return sendAll(fd, "0\r\n\r\n");
    }

    Store &m_store;
    Record &m_record;
    const Options m_options;
    std::atomic<bool> m_ended = false;
    std::atomic<bool> m_draining = false;
    std::mutex m_mutex;
    int m_running = 0;
    long m_usedTokens = 0;
    std::vector<Arrival> m_arrivals;
    std::set<std::string> m_brokenOff;
    std::set<std::string> m_passedOn;
    Server m_server;
};

//--- Daemons
//------------------------------------------------------------------------------------------------------------

/// Ports that are free on all loopback addresses that daemons use, as ports are alike on all machines.
struct Ports
{
    int caller = 0;
    int readiness = 0;
    int control = 0;
    int peer = 0;
    int metrics = 0;
};

inline Ports freePorts(const std::vector<std::string> &hosts)
{
    Ports ports;
    std::vector<int> fds;
    for (int *port : {&ports.caller, &ports.readiness, &ports.control, &ports.peer, &ports.metrics}) {
        for (bool free = false; !free;) {
            *port = 0;
            std::vector<int> tried{listenOn(hosts.front(), *port)};
            free = tried.front() >= 0;
            for (std::size_t i = 1; free && i < hosts.size(); ++i) {
                tried.push_back(listenOn(hosts[i], *port));
                free = tried.back() >= 0;
            }
            fds.insert(fds.end(), tried.begin(), tried.end());
        }
    }
    for (const int fd : fds) {
        if (fd >= 0) {
            ::close(fd);
        }
    }
    return ports;
}

/// One process of `target/spurlugd --relay`, as the deploy file starts it.
class Daemon
{
public:
    Daemon(std::string program, std::string folder, std::string vm, std::string host)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_vm(std::move(vm))
        , m_host(std::move(host))
    { }

    ~Daemon()
    {
        stopNow();
    }

    void start(const std::string &settings)
    {
        m_settings = m_folder + "/" + m_vm + ".json";
        std::FILE *file = std::fopen(m_settings.c_str(), "w");
        std::fputs(settings.c_str(), file);
        std::fclose(file);
        const auto log = m_folder + "/" + m_vm + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Nothing stays behind if this program ends early.
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl(m_program.c_str(), m_program.c_str(), "--relay", "--settings", m_settings.c_str(),
                    static_cast<char *>(nullptr));
            ::_exit(127);
        }
    }

    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    /// \returns Whether the process has ended.
    bool ended()
    {
        if (m_pid > 0 && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            m_pid = -1;
        }
        return m_pid < 0;
    }

    void stopNow()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, &m_status, 0);
            m_pid = -1;
        }
    }

    [[nodiscard]] int status() const
    {
        return m_status;
    }

    /// Memory of the process, MB; 0 if it has ended.
    [[nodiscard]] double memoryMb() const
    {
        std::FILE *file = m_pid > 0 ? std::fopen(("/proc/" + std::to_string(m_pid) + "/statm").c_str(), "r") : nullptr;
        long total = 0;
        long resident = 0;
        if (file != nullptr) {
            if (std::fscanf(file, "%ld %ld", &total, &resident) != 2) {
                resident = 0;
            }
            std::fclose(file);
        }
        return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
    }

    [[nodiscard]] const std::string &vm() const
    {
        return m_vm;
    }

    [[nodiscard]] const std::string &host() const
    {
        return m_host;
    }

private:
    const std::string m_program;
    const std::string m_folder;
    const std::string m_vm;
    const std::string m_host;
    std::string m_settings;
    pid_t m_pid = -1;
    int m_status = 0;
};

/// Bounds as they stand in the sheet of a deployment.
struct Bounds
{
    int drainMs = 2000;
    int graceMs = 8000;
    int retrySlack = 100;
};

inline std::string settingsOf(const Daemon &daemon, const Ports &ports, const std::vector<std::string> &seeds,
                              int storePort, const Bounds &bounds)
{
    const auto at = [&](int port) { return "\"" + daemon.host() + ":" + std::to_string(port) + "\""; };
    std::string seedList;
    for (const auto &seed : seeds) {
        seedList += (seedList.empty() ? "\"" : ",\"") + seed + ":" + std::to_string(ports.control) + "\"";
    }
    return "{\"vm\":\"" + daemon.vm() + "\",\"failureDomain\":\"hall-a\",\"failureDomains\":[\"hall-a\"],"
        + "\"region\":\"coast\",\"callerAddress\":" + at(ports.caller) + ",\"readinessAddress\":" + at(ports.readiness)
        + ",\"controlAddress\":" + at(ports.control) + ",\"peerAddress\":" + at(ports.peer) + ",\"metricsAddress\":"
        + at(ports.metrics) + ",\"store\":\"127.0.0.1:" + std::to_string(storePort) + "\",\"seeds\":[" + seedList
        + "],\"processorShare\":0.25,\"bounds\":{\"drainMs\":" + std::to_string(bounds.drainMs)
        + ",\"targetHeartbeatMs\":1200,\"revokeMs\":5000,\"failClosed\":true,\"graceMs\":"
        + std::to_string(bounds.graceMs) + ",\"retryRatio\":0.2,\"retryWindowMs\":10000,\"retrySlack\":"
        + std::to_string(bounds.retrySlack) + ",\"longestHoldMs\":20000,\"freeAfterMs\":4000}}\n";
}

/// Waits until the daemon says that it is ready. \returns False if it does not within 10 s.
inline bool awaitReady(Daemon &daemon, int port)
{
    const auto until = nowMs() + 10'000;
    while (nowMs() < until && !daemon.ended()) {
        const int fd = connectTo(daemon.host(), port);
        if (fd >= 0) {
            sendAll(fd, "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
            const auto answer = Reader(fd).read(1000, true);
            ::close(fd);
            if (answer.status() == 200) {
                return true;
            }
        }
        sleepMs(50);
    }
    return false;
}

/// Sends one request on an open connection and waits for its answer.
inline Message ask(int fd, Reader &reader, const std::string &request, double timeoutMs)
{
    Message answer;
    if (!sendAll(fd, request)) {
        answer.end = "the connection was closed before the request was sent";
        return answer;
    }
    return reader.read(timeoutMs, true);
}

inline std::string setting(const char *name, const std::string &otherwise)
{
    const char *value = std::getenv(name);
    return value != nullptr && *value != '\0' ? value : otherwise;
}

/// Whether the disruption is to be played.
inline bool hasTrouble()
{
    return setting("TROUBLE", "1") != "0";
}

} // namespace review
