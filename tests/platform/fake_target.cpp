//----------------------------------------------------------------------------------------------------------------------
// spurlug: a fake of the platform's targets for tests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "fake_target.h"

#include "spurlug/core/text.h"

#include <nlohmann/json.hpp>

namespace spurlug::test
{

namespace
{

using Fault = Behaviour::Fault;

core::Time soon()
{
    return core::now() + absl::Seconds(2);
}

net::Response plain(int status, std::string body)
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

const std::vector<net::Request> &FakeTarget::ran() const noexcept
{
    return m_ran;
}

const std::vector<Arrival> &FakeTarget::arrivals() const noexcept
{
    return m_arrivals;
}

int FakeTarget::abandoned() const noexcept
{
    return m_abandoned;
}

const std::map<std::string, std::int64_t> &FakeTarget::held() const noexcept
{
    return m_held;
}

void FakeTarget::stop()
{
    m_listener.stop();
}

void FakeTarget::beginAnew(std::string id)
{
    m_id = std::move(id);
    ++m_life;
    m_held.clear();
}

int FakeTarget::misdirectedOrders() const noexcept
{
    return m_misdirectedOrders;
}

void FakeTarget::crash()
{
    m_crashed = true;
    m_listener.stop();
    for (const auto &connection : m_connections) {
        connection->reset();
    }
}

bool FakeTarget::crashed() const noexcept
{
    return m_crashed;
}

net::Task<> FakeTarget::serve(net::asio::ip::tcp::socket socket)
{
    const auto connection = core::makeCounted<net::ServerConnection>(m_loop, std::move(socket));
    m_connections.insert(connection);
    bool goesOn = true;
    while (goesOn) {
        auto result = co_await connection->read({});
        goesOn = result.request.has_value();
        if (goesOn) {
            goesOn = co_await answer(connection, std::move(*result.request));
        }
    }
    m_connections.erase(connection);
}

net::Response FakeTarget::order(const net::Request &request)
{
    const auto body = nlohmann::json::parse(request.body);
    const std::string id = body.at("id");
    if (body.at("op") == "reserve") {
        m_held[id] = body.at("tokens");
    } else {
        m_held.erase(id);
    }
    return plain(200, R"({"free":100000})");
}

void FakeTarget::sayNotices(net::ResponseHead &head) const
{
    if (leaving) {
        head.headers.add("Server-Leaving", "1");
    }
    if (!cold.empty()) {
        head.headers.add("Cold-Remaining-Ms", cold);
    }
    if (!limit.empty()) {
        head.headers.add("Server-Limit", limit);
    }
}

net::ResponseHead FakeTarget::head(const net::Request &request, const Behaviour &how) const
{
    net::ResponseHead head;
    head.status = how.status;
    const bool wrongId = how.fault == Fault::WrongId;
    head.headers.add("Attempt-Id", wrongId ? std::string_view("another") : request.headers.value("Attempt-Id"));
    if (how.fault != Fault::NoSignature) {
        head.headers.add("Server-Signature", core::cat("signed-", m_id));
    }
    if (how.fault == Fault::Encoded) {
        head.headers.add("Content-Encoding", "gzip");
    }
    if (how.events > 0) {
        head.headers.add("Content-Type", "text/event-stream");
    }
    sayNotices(head);
    return head;
}

net::Task<bool> FakeTarget::stream(core::Ref<net::ServerConnection> connection, const net::Request &request,
                                   const Behaviour &how)
{
    const bool begun = co_await connection->writeHead(head(request, how), true, soon());
    if (!begun) {
        ++m_abandoned;
        co_return false;
    }
    const auto *after = request.headers.find("Last-Event-Id");
    const int first = after != nullptr ? std::stoi(*after) + 1 : 0;
    for (int id = first; id < how.events; ++id) {
        if (id == how.skipAt) {
            continue;
        }
        const auto event = core::cat("id: ", id, "\ndata: token ", id, "\n\n");
        if (how.breakAfter >= 0 && id >= how.breakAfter) {
            const bool half = co_await connection->writeChunk(event.substr(0, event.size() / 2), soon());
            static_cast<void>(half); // The connection ends here either way.
            co_await net::sleepFor(absl::Milliseconds(5));
            connection->reset();
            co_return false;
        }
        const bool taken = co_await connection->writeChunk(event, soon());
        if (!taken) {
            ++m_abandoned;
            co_return false;
        }
        co_await net::sleepFor(how.gap);
    }
    const bool ended = co_await connection->writeEnd(soon());
    co_return ended;
}

net::Task<bool> FakeTarget::answer(core::Ref<net::ServerConnection> connection, net::Request request)
{
    m_arrivals.push_back({core::now(), std::string(request.headers.value("Sent-To")), request.target});
    if (request.target == "/v1/order") {
        const auto *named = request.headers.find("Target-Instance");
        const bool misdirected = named != nullptr && *named != m_id;
        m_misdirectedOrders += misdirected ? 1 : 0;
        auto ordered = misdirected ? plain(421, "") : order(request);
        sayNotices(ordered.head);
        const bool written = co_await connection->write(std::move(ordered), true, soon());
        co_return written;
    }
    if (request.headers.value("Target-Instance") != m_id) {
        auto misdirected = plain(421, "");
        misdirected.head.headers.add("Attempt-Id", request.headers.value("Attempt-Id"));
        const bool written = co_await connection->write(std::move(misdirected), true, soon());
        co_return written;
    }
    auto how = behaviour;
    if (!script.empty()) {
        how = script.front();
        script.erase(script.begin());
    }
    if (how.fault == Fault::Shed) {
        auto shed = plain(503, "");
        shed.head.headers.add("Attempt-Id", request.headers.value("Attempt-Id"));
        shed.head.headers.add("Not-Executed", "1");
        if (!how.retryAfter.empty()) {
            shed.head.headers.add("Retry-After", how.retryAfter);
        }
        sayNotices(shed.head);
        const bool written = co_await connection->write(std::move(shed), true, soon());
        co_return written;
    }
    m_ran.push_back(request);
    if (!crashesOn.empty() && request.body == crashesOn) {
        co_await net::sleepFor(crashAfter);
        crash();
        co_return false;
    }
    bool gone = false;
    connection->watch([&gone] { gone = true; });
    const auto life = m_life;
    const auto until = core::now() + (how.fault == Fault::Hang ? core::Duration(absl::Seconds(30)) : how.work);
    while ((core::now() < until || life != m_life) && !gone) {
        co_await net::sleepFor(absl::Milliseconds(2));
    }
    connection->stopWatching();
    if (gone) {
        ++m_abandoned;
        co_return false;
    }
    if (how.fault == Fault::LoseAnswer) {
        connection->close();
        co_return false;
    }
    if (how.fault == Fault::ResetAnswer) {
        connection->reset();
        co_return false;
    }
    if (how.events > 0) {
        const bool goesOn = co_await stream(connection, request, how);
        co_return goesOn;
    }
    if (how.fault == Fault::CutBody) {
        const bool begun = co_await connection->writeHead(head(request, how), true, soon());
        bool half = begun;
        if (begun) {
            half = co_await connection->writeChunk(how.body.substr(0, how.body.size() / 2), soon());
        }
        static_cast<void>(half); // The connection ends here either way.
        co_await net::sleepFor(absl::Milliseconds(5));
        connection->reset();
        co_return false;
    }
    if (how.fault == Fault::BusyUnsaid) {
        how.status = 503;
    }
    net::Response response{head(request, how), how.body};
    const bool written = co_await connection->write(std::move(response), true, soon());
    co_return written;
}

} // namespace spurlug::test
