//----------------------------------------------------------------------------------------------------------------------
// spurlug: a fake of the platform's store for tests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/net/http_message.h"
#include "spurlug/net/io.h"
#include "spurlug/net/listener.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spurlug::test
{

/// \brief How the store answers calls.
enum class StoreFailure
{
    None,
    Unavailable, ///< Answers 503 to every call.
    RateLimited, ///< Answers 429 to every call.
    Unresponsive, ///< Sends no answer while this is set.
    ConnectionReset, ///< Resets each connection.
};

/// \brief Implements the platform's documented store: objects with revisions, lists, watches and a history of changes.
class FakeStore
{
public:
    explicit FakeStore(net::Loop &loop);

    /// \name Changes by the operator and by targets
    /// @{
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    /// \brief Stores an object as raw bytes, as another program may have written them.
    void putRaw(const std::string &kind, const std::string &name, const std::string &bytes);
    void remove(const std::string &kind, const std::string &name);
    /// \brief Takes a snapshot of all objects, the history and the revision.
    void takeSnapshot();
    /// \brief Restores the snapshot: later changes are lost, revisions continue from the snapshot's, and a new era
    /// begins.
    void restoreSnapshot();
    /// \brief Sends nothing more over the connections that are open now, and does not close them. New ones work.
    void silenceConnections();
    /// \brief Never answers the watches of a kind that are open now, and does not close them. New ones work.
    void silenceWatches(const std::string &kind);
    /// \brief Resets the connections of the watches of a kind that are open now.
    void cutWatches(const std::string &kind);
    /// \brief Drops the history: watches from an earlier revision get 410.
    void dropHistory();
    StoreFailure failure = StoreFailure::None;
    std::size_t pageItems = 500; ///< Maximum number of objects in one answer to a list call.
    /// If set, it changes the bodies of answers to lists and watches before they are sent.
    std::function<void(nlohmann::json &body)> editAnswer;
    /// @}

    [[nodiscard]] const core::Address &address() const noexcept;
    /// \brief Number of calls per path, without the query.
    [[nodiscard]] const std::map<std::string, int> &callCounts() const noexcept;
    /// \brief Number of connections accepted so far.
    [[nodiscard]] std::int64_t connectionCount() const noexcept;

private:
    struct Object
    {
        nlohmann::json spec;
        std::int64_t revision = 0;
        std::string rawBytes; ///< Unless empty, answers contain it unchanged instead of the object.
    };
    struct Change
    {
        std::int64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    /// Contents of a snapshot.
    struct Snapshot
    {
        std::map<std::string, std::map<std::string, Object>> objects;
        std::vector<Change> history;
        std::int64_t revision = 0;
    };

    [[nodiscard]] net::Task<> serve(net::asio::ip::tcp::socket socket);
    /// \param connection Number of the connection.
    /// \returns Nothing if the connection is to be reset.
    [[nodiscard]] net::Task<std::optional<net::Response>> answer(net::Request request, std::int64_t connection);
    [[nodiscard]] net::Task<std::optional<net::Response>> watch(std::string kind, std::int64_t fromRevision,
                                                                core::Duration wait, std::int64_t connection);
    /// \param afterName Name after which the page starts; empty: the first page.
    [[nodiscard]] net::Response list(const std::string &kind, const std::string &afterName) const;
    [[nodiscard]] net::Response answerWith(nlohmann::json body) const;
    [[nodiscard]] nlohmann::json objectJson(const std::string &name, const Object &object) const;
    /// Replaces the placeholders in \a body by the bytes given to `putRaw`.
    [[nodiscard]] std::string insertRawObjects(std::string body) const;

    net::Loop &m_loop;
    net::Listener m_listener;
    std::int64_t m_connectionCount = 0; ///< Connections accepted so far.
    std::int64_t m_silentConnections = 0; ///< The first of these are silent.
    std::map<std::string, std::int64_t> m_silentWatches; ///< By kind: those on the first of the connections are silent.
    std::map<std::string, std::int64_t> m_cutWatches; ///< By kind: those on the first of the connections are reset.
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Change> m_history;
    std::int64_t m_revision = 0;
    Snapshot m_snapshot;
    std::int64_t m_era = 1;
    std::int64_t m_oldestRevision = 0; ///< Oldest revision from which a watch can start.
    std::map<std::string, int> m_callCounts;
    std::map<std::string, std::string> m_rawObjects; ///< Bytes given to `putRaw`, by their placeholder in answers.
};

} // namespace spurlug::test
