//----------------------------------------------------------------------------------------------------------------------
// spurlug: a fake of the platform's store for tests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "fake_store.h"

#include "spurlug/core/text.h"
#include "spurlug/net/server_connection.h"

namespace spurlug::test
{

namespace
{

constexpr std::string_view ObjectsPath = "/v1/objects/";

std::int64_t queryParameter(const std::string &query, const std::string &key)
{
    const auto at = query.find(key + "=");
    return at == std::string::npos ? -1 : std::stoll(query.substr(at + key.size() + 1));
}

std::string queryText(const std::string &query, const std::string &key)
{
    const auto at = query.find(key + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + key.size() + 1;
    const auto escaped = query.substr(begin, query.find('&', begin) - begin);
    std::string text;
    for (std::size_t i = 0; i < escaped.size(); ++i) {
        const bool isEscape = escaped[i] == '%' && i + 2 < escaped.size();
        text += isEscape ? static_cast<char>(std::stoi(escaped.substr(i + 1, 2), nullptr, 16)) : escaped[i];
        i += isEscape ? 2 : 0;
    }
    return text;
}

net::Response jsonResponse(int status, const nlohmann::json &body)
{
    net::Response response;
    response.head.status = status;
    response.head.headers.add("Content-Type", "application/json");
    response.body = body.dump();
    return response;
}

} // namespace

FakeStore::FakeStore(net::Loop &loop)
    : m_loop(loop)
    , m_listener(loop, {"127.0.0.1", 0})
{
    net::asio::co_spawn(loop, m_listener.run([this](net::asio::ip::tcp::socket socket) {
        net::asio::co_spawn(m_loop, serve(std::move(socket)), net::asio::detached);
    }),
                        net::asio::detached);
}

nlohmann::json FakeStore::objectJson(const std::string &name, const Object &object) const
{
    if (!object.rawBytes.empty()) {
        return core::cat("text-", object.revision);
    }
    return {{"metadata", {{"name", name}, {"revision", object.revision}, {"deleting", false}}}, {"spec", object.spec}};
}

void FakeStore::put(const std::string &kind, const std::string &name, const nlohmann::json &spec)
{
    auto &object = m_objects[kind][name];
    object = {spec, ++m_revision, {}};
    m_history.push_back({m_revision, kind, {{"gone", false}, {"object", objectJson(name, object)}}});
}

void FakeStore::putRaw(const std::string &kind, const std::string &name, const std::string &bytes)
{
    put(kind, name, nullptr);
    auto &stored = m_objects[kind][name];
    stored.rawBytes = bytes;
    const auto placeholder = objectJson(name, stored);
    m_rawObjects[placeholder.dump()] = bytes;
    m_history.back().event["object"] = placeholder;
}

std::string FakeStore::insertRawObjects(std::string body) const
{
    for (const auto &[placeholder, text] : m_rawObjects) {
        for (auto at = body.find(placeholder); at != std::string::npos; at = body.find(placeholder, at + text.size())) {
            body.replace(at, placeholder.size(), text);
        }
    }
    return body;
}

void FakeStore::remove(const std::string &kind, const std::string &name)
{
    const auto object = m_objects[kind][name];
    m_objects[kind].erase(name);
    m_history.push_back({++m_revision, kind, {{"gone", true}, {"object", objectJson(name, object)}}});
}

void FakeStore::takeSnapshot()
{
    m_snapshot = {m_objects, m_history, m_revision};
}

void FakeStore::restoreSnapshot()
{
    m_objects = m_snapshot.objects;
    m_history = m_snapshot.history;
    m_revision = m_snapshot.revision;
    ++m_era;
}

void FakeStore::silenceConnections()
{
    m_silentConnections = m_connectionCount;
}

void FakeStore::silenceWatches(const std::string &kind)
{
    m_silentWatches[kind] = m_connectionCount;
}

void FakeStore::cutWatches(const std::string &kind)
{
    m_cutWatches[kind] = m_connectionCount;
}

void FakeStore::dropHistory()
{
    m_history.clear();
    m_oldestRevision = ++m_revision;
}

const core::Address &FakeStore::address() const noexcept
{
    return m_listener.address();
}

const std::map<std::string, int> &FakeStore::callCounts() const noexcept
{
    return m_callCounts;
}

net::Response FakeStore::answerWith(nlohmann::json body) const
{
    if (editAnswer) {
        editAnswer(body);
    }
    return jsonResponse(200, body);
}

std::int64_t FakeStore::connectionCount() const noexcept
{
    return m_connectionCount;
}

net::Response FakeStore::list(const std::string &kind, const std::string &afterName) const
{
    auto items = nlohmann::json::array();
    bool hasMore = false;
    if (const auto found = m_objects.find(kind); found != m_objects.end()) {
        for (const auto &[name, object] : found->second) {
            if (name <= afterName) {
                continue;
            }
            hasMore = items.size() >= pageItems;
            if (hasMore) {
                break;
            }
            items.push_back(objectJson(name, object));
        }
    }
    return answerWith({{"items", std::move(items)}, {"more", hasMore}, {"at", m_revision}});
}

net::Task<std::optional<net::Response>> FakeStore::watch(std::string kind, std::int64_t fromRevision,
                                                         core::Duration wait, std::int64_t connection)
{
    const auto until = core::now() + wait;
    for (;;) {
        if (connection <= m_cutWatches[kind]) {
            co_return std::nullopt;
        }
        if (connection <= m_silentWatches[kind]) {
            co_await net::sleepFor(absl::Seconds(1));
            continue;
        }
        if (fromRevision < m_oldestRevision || fromRevision > m_revision) {
            co_return jsonResponse(410, {{"error", "history is gone"}});
        }
        auto events = nlohmann::json::array();
        for (const auto &change : m_history) {
            if (change.revision > fromRevision && change.kind == kind) {
                events.push_back(change.event);
            }
        }
        if (!events.empty() || core::now() >= until) {
            co_return answerWith({{"events", std::move(events)}, {"at", m_revision}});
        }
        co_await net::sleepFor(absl::Milliseconds(2));
    }
}

net::Task<std::optional<net::Response>> FakeStore::answer(net::Request request, std::int64_t connection)
{
    const auto queryStart = request.target.find('?');
    const auto path = request.target.substr(0, queryStart);
    const auto query = queryStart == std::string::npos ? std::string() : request.target.substr(queryStart + 1);
    ++m_callCounts[path];
    if (failure == StoreFailure::Unavailable) {
        co_return jsonResponse(503, {{"error", "busy"}});
    }
    if (failure == StoreFailure::RateLimited) {
        co_return jsonResponse(429, {{"error", "too many calls"}});
    }
    const auto kind = path.substr(std::min(path.size(), ObjectsPath.size()));
    const auto watchedRevision = queryParameter(query, "watch");
    if (watchedRevision < 0) {
        co_return list(kind, queryText(query, "since_rev"));
    }
    const auto wait = absl::Milliseconds(queryParameter(query, "wait_ms"));
    auto response = co_await watch(kind, watchedRevision, wait, connection);
    co_return response;
}

net::Task<> FakeStore::serve(net::asio::ip::tcp::socket socket)
{
    net::ServerConnection connection(m_loop, std::move(socket));
    const auto number = ++m_connectionCount;
    for (;;) {
        auto result = co_await connection.read({});
        if (!result.request) {
            co_return;
        }
        if (failure == StoreFailure::ConnectionReset) {
            connection.reset();
            co_return;
        }
        auto answered = co_await answer(std::move(*result.request), number);
        if (!answered) {
            connection.reset();
            co_return;
        }
        auto &response = *answered;
        response.body = insertRawObjects(std::move(response.body));
        response.head.headers.add("Store-Era", core::cat(m_era));
        while (failure == StoreFailure::Unresponsive) {
            co_await net::sleepFor(absl::Milliseconds(10));
        }
        while (number <= m_silentConnections) {
            co_await net::sleepFor(absl::Seconds(1));
        }
        const bool written = co_await connection.write(std::move(response), true, core::now() + absl::Seconds(1));
        if (!written) {
            co_return;
        }
    }
}

} // namespace spurlug::test
