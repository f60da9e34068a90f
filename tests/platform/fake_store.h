//----------------------------------------------------------------------------------------------------------------------
// spurlug: a stand-in for the platform's store
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

/// \brief How the store treats calls.
enum class StoreMood
{
    Well,
    Busy, ///< 503 to every call.
    Limited, ///< 429 to every call.
    Silent, ///< No answer.
    Reset, ///< Each connection is reset.
};

/// \brief Objects with revisions, lists, waits and a history that can be forgotten; written from the platform's pages.
class FakeStore
{
public:
    explicit FakeStore(net::Loop &loop);

    /// \name The operator's and the targets' side
    /// @{
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    /// \brief Stores an object that some other program wrote, as these bytes.
    void putText(const std::string &kind, const std::string &name, const std::string &object);
    void remove(const std::string &kind, const std::string &name);
    /// \brief Keeps a copy of all objects.
    void copy();
    /// \brief Comes back from the copy: what was written since is lost, revisions go on from the copy's.
    void restore();
    /// \brief Drops the history: waits from before now get 410.
    void forgetHistory();
    StoreMood mood = StoreMood::Well;
    /// @}

    [[nodiscard]] const core::Address &address() const noexcept;
    /// \brief Calls that came, by path without the query.
    [[nodiscard]] const std::map<std::string, int> &calls() const noexcept;

private:
    struct Object
    {
        nlohmann::json spec;
        std::int64_t revision = 0;
        std::string text; ///< Stands in answers as it is, if it is not empty.
    };
    struct Change
    {
        std::int64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    /// All that a copy holds.
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
    /// Puts the bytes of `putText` in their places.
    [[nodiscard]] std::string withTexts(std::string body) const;

    net::Loop &m_loop;
    net::Listener m_listener;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::vector<Change> m_history;
    std::int64_t m_revision = 0;
    State m_copy;
    std::int64_t m_era = 1;
    std::int64_t m_oldest = 0; ///< Changes up to this one are forgotten.
    std::map<std::string, int> m_calls;
    std::map<std::string, std::string> m_texts; ///< By what stands for them in answers.
};

} // namespace spurlug::test
