//----------------------------------------------------------------------------------------------------------------------
// spurlug: a fake of the platform's targets for tests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "fake_target.h"

#include "spurlug/core/text.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

namespace spurlug::test
{

namespace
{

using Fault = Behaviour::Fault;

constexpr std::size_t MaxBodyBytes = 16 << 20;

core::Time writeDeadline()
{
    return core::now() + absl::Seconds(2);
}

net::Response makeResponse(int status, std::string body)
{
    net::Response response;
    response.head.status = status;
    response.body = std::move(body);
    return response;
}

} // namespace

FakeTarget::FakeTarget(net::Loop &loop, std::string id)
    : m_loop(loop)
    , m_id(std::move(id))
    , m_listener(loop, {"127.0.0.1", 0})
{
    net::asio::co_spawn(loop, m_listener.run([this](net::asio::ip::tcp::socket socket) {
        net::asio::co_spawn(m_loop, serve(std::move(socket)), net::asio::detached);
    }),
                        net::asio::detached);
}

const std::string &FakeTarget::id() const noexcept
{
    return m_id;
}

const core::Address &FakeTarget::address() const noexcept
{
    return m_listener.address();
}

const std::vector<net::Request> &FakeTarget::startedRequests() const noexcept
{
    return m_startedRequests;
}

const std::vector<core::Time> &FakeTarget::startTimes() const noexcept
{
    return m_startTimes;
}

const std::vector<Arrival> &FakeTarget::arrivals() const noexcept
{
    return m_arrivals;
}

int FakeTarget::abandonedRequests() const noexcept
{
    return m_abandonedRequests;
}

const std::map<std::string, std::int64_t> &FakeTarget::reservations() const noexcept
{
    return m_reservations;
}

void FakeTarget::stopListening()
{
    m_listener.stop();
}

void FakeTarget::replaceIncarnation(std::string id)
{
    m_id = std::move(id);
    ++m_incarnation;
    m_reservations.clear();
}

int FakeTarget::misdirectedMemoryRequests() const noexcept
{
    return m_misdirectedMemoryRequests;
}

void FakeTarget::crash()
{
    m_crashed = true;
    m_listener.stop();
    for (const auto &connection : m_connections) {
        connection->reset();
    }
}

void FakeTarget::resetConnections()
{
    for (const auto &connection : m_connections) {
        connection->reset();
    }
}

void FakeTarget::hangConnections()
{
    m_hungConnections.insert(m_connections.begin(), m_connections.end());
}

net::Task<> FakeTarget::awaitClose(core::Ref<net::ServerConnection> connection)
{
    bool closed = false;
    connection->watch([&closed] { closed = true; });
    while (!closed) {
        co_await net::sleepFor(absl::Milliseconds(5));
    }
    connection->stopWatching();
    ++m_abandonedRequests;
}

bool FakeTarget::crashesProcess(const net::Request &request) const
{
    if (!crashingBody.empty() && request.body == crashingBody) {
        return true;
    }
    const auto parts = request.headers.value("Prompt-Prefix");
    const auto sharedParts = parts.substr(0, parts.rfind(',') == std::string_view::npos ? 0 : parts.rfind(','));
    return std::any_of(crashingParts.begin(), crashingParts.end(), [&](const std::string &part) {
        return core::cat(",", sharedParts).find(core::cat(",", part, ":")) != std::string::npos;
    });
}

bool FakeTarget::hasCrashed() const noexcept
{
    return m_crashed;
}

net::Task<> FakeTarget::serveRaw(net::asio::ip::tcp::socket socket)
{
    std::string request(16 << 10, '\0');
    const auto buffer = net::asio::buffer(request);
    const auto [readError, size] = co_await socket.async_read_some(buffer, net::Awaited);
    request.resize(size);
    constexpr std::string_view IdField = "Attempt-Id: ";
    const auto idAt = request.find(IdField);
    if (readError || idAt == std::string::npos) {
        co_return; // Nothing was sent: a check of the target.
    }
    const auto idFrom = idAt + IdField.size();
    const auto id = request.substr(idFrom, request.find('\r', idFrom) - idFrom);
    auto raw = behaviour.rawAnswer;
    constexpr std::string_view IdPlace = "{id}";
    for (auto at = raw.find(IdPlace); at != std::string::npos; at = raw.find(IdPlace)) {
        raw.replace(at, IdPlace.size(), id);
    }
    m_arrivals.push_back({core::now(), {}, {}});
    if (behaviour.processingTime > absl::ZeroDuration()) {
        co_await net::sleepFor(behaviour.processingTime);
    }
    const auto answerBuffer = net::asio::buffer(raw);
    if (behaviour.rawEndDelay == absl::ZeroDuration()) {
        boost::system::error_code error;
        net::asio::write(socket, answerBuffer, error); // It blocks, so that the bytes and the end arrive together.
        if (error) {
            co_return;
        }
    } else {
        const auto [error, written] = co_await net::asio::async_write(socket, answerBuffer, net::Awaited);
        if (error) {
            co_return;
        }
    }
    const auto endlessPart = behaviour.endlessPart;
    while (!endlessPart.empty()) {
        const auto partBuffer = net::asio::buffer(endlessPart);
        const auto [error, size] = co_await net::asio::async_write(socket, partBuffer, net::Awaited);
        if (error) {
            co_return;
        }
    }
    if (behaviour.rawEndDelay > absl::ZeroDuration()) {
        co_await net::sleepFor(behaviour.rawEndDelay);
    }
    if (behaviour.rawEnd == Behaviour::RawEnd::Reset) {
        socket.set_option(net::asio::socket_base::linger(true, 0));
        socket.close(); // The destructor would close the connection in order.
        co_return;
    }
    const auto listens = behaviour.listensAfterCrash;
    if (behaviour.crashesAfterRawAnswer && listens == absl::ZeroDuration()) {
        crash();
    }
    boost::system::error_code ignored; // The other side may have closed the connection.
    socket.shutdown(net::asio::ip::tcp::socket::shutdown_send, ignored);
    if (behaviour.crashesAfterRawAnswer && listens > absl::ZeroDuration()) {
        co_await net::sleepFor(listens);
        crash();
    }
    while (behaviour.rawEnd == Behaviour::RawEnd::HalfClose) {
        co_await net::sleepFor(absl::Milliseconds(20));
    }
}

net::Task<> FakeTarget::serve(net::asio::ip::tcp::socket socket)
{
    if (!behaviour.rawAnswer.empty()) {
        co_await serveRaw(std::move(socket));
        co_return;
    }
    const auto connection = core::makeRef<net::ServerConnection>(m_loop, std::move(socket));
    m_connections.insert(connection);
    bool keepsConnection = true;
    while (keepsConnection) {
        net::ReadLimits limits;
        limits.maxBodyBytes = MaxBodyBytes;
        auto result = co_await connection->read(limits);
        keepsConnection = result.request.has_value();
        if (keepsConnection) {
            keepsConnection = co_await answer(connection, std::move(*result.request));
        }
    }
    m_connections.erase(connection);
    m_hungConnections.erase(connection);
}

net::Response FakeTarget::applyMemoryRequest(const net::Request &request)
{
    const auto body = nlohmann::json::parse(request.body);
    const std::string id = body.at("id");
    if (body.at("op") == "reserve") {
        m_reservations[id] = body.at("tokens");
    } else {
        m_reservations.erase(id);
    }
    return makeResponse(200, R"({"free":100000})");
}

void FakeTarget::addNoticeHeaders(net::ResponseHead &head) const
{
    if (draining) {
        head.headers.add("Server-Leaving", "1");
    }
    if (!remainingWarmUp.empty()) {
        head.headers.add("Cold-Remaining-Ms", remainingWarmUp);
    }
    if (!rateLimit.empty()) {
        head.headers.add("Server-Limit", rateLimit);
    }
}

net::ResponseHead FakeTarget::makeHead(const net::Request &request, const Behaviour &responseBehaviour) const
{
    net::ResponseHead head;
    head.status = responseBehaviour.status;
    const bool wrongId = responseBehaviour.fault == Fault::WrongId;
    head.headers.add("Attempt-Id", wrongId ? std::string_view("another") : request.headers.value("Attempt-Id"));
    if (responseBehaviour.fault != Fault::NoSignature) {
        head.headers.add("Server-Signature", core::cat("signed-", m_id));
    }
    if (responseBehaviour.fault == Fault::Encoded) {
        head.headers.add("Content-Encoding", "gzip");
    }
    if (responseBehaviour.eventCount > 0) {
        head.headers.add("Content-Type", "text/event-stream");
    }
    addNoticeHeaders(head);
    return head;
}

net::Task<bool> FakeTarget::stream(core::Ref<net::ServerConnection> connection, const net::Request &request,
                                   const Behaviour &responseBehaviour)
{
    const bool headWritten
        = co_await connection->writeHead(makeHead(request, responseBehaviour), true, writeDeadline());
    if (!headWritten) {
        ++m_abandonedRequests;
        co_return false;
    }
    const auto *lastEventId = request.headers.find("Last-Event-Id");
    const int first = lastEventId != nullptr ? std::stoi(*lastEventId) + 1 : 0;
    for (int id = first; id < responseBehaviour.eventCount; ++id) {
        if (id == responseBehaviour.omittedEvent) {
            continue;
        }
        const auto event = core::cat("id: ", id, "\ndata: token ", id, "\n\n");
        if (responseBehaviour.resetAtEvent >= 0 && id >= responseBehaviour.resetAtEvent) {
            const bool half = co_await connection->writePart(event.substr(0, event.size() / 2), writeDeadline());
            static_cast<void>(half); // The connection ends here either way.
            co_await net::sleepFor(absl::Milliseconds(5));
            connection->reset();
            co_return false;
        }
        if (m_hungConnections.contains(connection)) {
            co_await awaitClose(connection);
            co_return false;
        }
        const bool written = co_await connection->writePart(event, writeDeadline());
        if (!written) {
            ++m_abandonedRequests;
            co_return false;
        }
        co_await net::sleepFor(responseBehaviour.eventInterval);
    }
    const bool written = co_await connection->writeEnd(writeDeadline());
    co_return written;
}

net::Task<bool> FakeTarget::answer(core::Ref<net::ServerConnection> connection, net::Request request)
{
    m_arrivals.push_back({core::now(), std::string(request.headers.value("Sent-To")), request.target});
    if (request.target == "/v1/order") {
        const auto *namedTarget = request.headers.find("Target-Instance");
        const bool misdirected = namedTarget != nullptr && *namedTarget != m_id;
        m_misdirectedMemoryRequests += misdirected ? 1 : 0;
        auto memoryResponse = misdirected ? makeResponse(421, "") : applyMemoryRequest(request);
        addNoticeHeaders(memoryResponse.head);
        const bool written = co_await connection->write(std::move(memoryResponse), true, writeDeadline());
        co_return written;
    }
    if (request.headers.value("Target-Instance") != m_id) {
        auto misdirected = makeResponse(421, "");
        misdirected.head.headers.add("Attempt-Id", request.headers.value("Attempt-Id"));
        const bool written = co_await connection->write(std::move(misdirected), true, writeDeadline());
        co_return written;
    }
    auto responseBehaviour = behaviour;
    if (!script.empty()) {
        responseBehaviour = script.front();
        script.erase(script.begin());
    }
    if (responseBehaviour.fault == Fault::Shed) {
        auto shed = makeResponse(503, "");
        shed.head.headers.add("Attempt-Id", request.headers.value("Attempt-Id"));
        shed.head.headers.add("Not-Executed", "1");
        if (!responseBehaviour.retryAfter.empty()) {
            shed.head.headers.add("Retry-After", responseBehaviour.retryAfter);
        }
        addNoticeHeaders(shed.head);
        const bool written = co_await connection->write(std::move(shed), true, writeDeadline());
        co_return written;
    }
    m_startedRequests.push_back(request);
    m_startTimes.push_back(core::now());
    if (crashesProcess(request)) {
        co_await net::sleepFor(crashDelay);
        crash();
        co_return false;
    }
    bool disconnected = false;
    connection->watch([&disconnected] { disconnected = true; });
    const auto incarnation = m_incarnation;
    const auto until = core::now()
        + (responseBehaviour.fault == Fault::Hang ? core::Duration(absl::Seconds(30))
                                                  : responseBehaviour.processingTime);
    while ((core::now() < until || incarnation != m_incarnation) && !disconnected) {
        co_await net::sleepFor(absl::Milliseconds(2));
    }
    connection->stopWatching();
    if (disconnected) {
        ++m_abandonedRequests;
        co_return false;
    }
    if (m_hungConnections.contains(connection)) {
        co_await awaitClose(connection);
        co_return false;
    }
    if (responseBehaviour.fault == Fault::DropAnswer) {
        connection->close();
        co_return false;
    }
    if (responseBehaviour.fault == Fault::ResetAnswer) {
        connection->reset();
        co_return false;
    }
    if (responseBehaviour.eventCount > 0) {
        const bool keepsConnection = co_await stream(connection, request, responseBehaviour);
        co_return keepsConnection;
    }
    if (responseBehaviour.fault == Fault::TruncateBody) {
        const bool headWritten
            = co_await connection->writeHead(makeHead(request, responseBehaviour), true, writeDeadline());
        bool half = headWritten;
        if (headWritten) {
            half = co_await connection->writePart(responseBehaviour.body.substr(0, responseBehaviour.body.size() / 2),
                                                  writeDeadline());
        }
        static_cast<void>(half); // The connection ends here either way.
        co_await net::sleepFor(absl::Milliseconds(5));
        connection->reset();
        co_return false;
    }
    if (responseBehaviour.fault == Fault::AmbiguousBusy) {
        responseBehaviour.status = 503;
    }
    net::Response response{makeHead(request, responseBehaviour), responseBehaviour.body};
    const bool written = co_await connection->write(std::move(response), true, writeDeadline());
    co_return written;
}

} // namespace spurlug::test
