//----------------------------------------------------------------------------------------------------------------------
// spurlug: a fake of the platform's store for tests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/net/http_message.h"
#include "spurlug/net/io.h"
#include "spurlug/net/listener.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace spurlug::test
{

/// \brief How the store answers calls.
enum class StoreMood
{
    Well,
    Busy, ///< Answers 503 to every call.
    Limited, ///< Answers 429 to every call.
    Silent, ///< Sends no answer while this is set.
    Reset, ///< Resets each connection.
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
    void putText(const std::string &kind, const std::string &name, const std::string &object);
    void remove(const std::string &kind, const std::string &name);
    /// \brief Takes a snapshot of all objects, the history and the revision.
    void copy();
    /// \brief Restores the snapshot: later changes are lost, revisions continue from the snapshot's, and a new era
    /// begins.
    void restore();
    /// \brief Drops the history: watches from an earlier revision get 410.
    void forgetHistory();
    StoreMood mood = StoreMood::Well;
    /// @}

    [[nodiscard]] const core::Address &address() const noexcept;
    /// \brief Number of calls per path, without the query.
    [[nodiscard]] const std::map<std::string, int> &calls() const noexcept;

private:
    struct Object
    {
        nlohmann::json spec;
        std::int64_t revision = 0;
        std::string text; ///< Unless empty, answers contain it unchanged instead of the object.
    };
    struct Change
    {
        std::int64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    /// Contents of a snapshot.
    struct State
    {
        std::map<std::string, std::map<std::string, Object>> kinds;
        std::vector<Change> history;
        std::int64_t revision = 0;
    };

    [[nodiscard]] net::Task<> serve(net::asio::ip::tcp::socket socket);
    [[nodiscard]] net::Task<net::Response> answer(net::Request request);
    [[nodiscard]] net::Task<net::Response> watch(std::string kind, std::int64_t from, core::Duration wait);
    [[nodiscard]] net::Response list(const std::string &kind) const;
    [[nodiscard]] nlohmann::json objectJson(const std::string &name, const Object &object) const;
    /// Replaces the placeholders in \a body by the bytes given to `putText`.
    [[nodiscard]] std::string withTexts(std::string body) const;

    net::Loop &m_loop;
    net::Listener m_listener;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::vector<Change> m_history;
    std::int64_t m_revision = 0;
    State m_copy;
    std::int64_t m_era = 1;
    std::int64_t m_oldest = 0; ///< Oldest revision from which a watch can start.
    std::map<std::string, int> m_calls;
    std::map<std::string, std::string> m_texts; ///< Bytes given to `putText`, by their placeholder in answers.
};

} // namespace spurlug::test
