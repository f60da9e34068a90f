//----------------------------------------------------------------------------------------------------------------------
// spurlug: a stand-in for the platform's targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/time.h"
#include "spurlug/net/http_message.h"
#include "spurlug/net/io.h"
#include "spurlug/net/listener.h"
#include "spurlug/net/server_connection.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spurlug::test
{

/// \brief What a target does with a request.
struct Behaviour
{
    enum class Fault
    {
        None,
        Shed, ///< 503 with the word that it did not begin.
        Hang, ///< Takes the request and says nothing.
        LoseAnswer, ///< Runs the request and closes the connection.
        ResetAnswer, ///< Runs the request and resets the connection.
        CutBody, ///< Half an answer, then a reset.
        WrongId, ///< An answer to another request.
        NoSignature,
        Encoded,
        Garbage, ///< Bytes that are no answer.
        BusyUnsaid, ///< 503 without the word that it did not begin.
    };

    Fault fault = Fault::None;
    int status = 200;
    core::Duration work = absl::ZeroDuration(); ///< Before the head.
    std::string body = "the answer";
    int events = 0; ///< More than 0: a stream of so many events.
    core::Duration gap = absl::Milliseconds(5); ///< Between events.
    int breakAfter = -1; ///< Resets the connection inside the event after this many of them.
    int skipAt = -1; ///< Leaves this event out.
    bool unframed = false; ///< The body ends with the connection.
    std::string retryAfter; ///< Of a 503, as it stands in the answer; empty: not told.
};

/// \brief A request that reached a target, run or not.
struct Arrival
{
    core::Time at;
    std::string daemon; ///< As the caller named it in `Sent-To`.
    std::string path;
};

/// \brief One process of a service: records what it ran and follows a script.
class FakeTarget
{
public:
    FakeTarget(net::Loop &loop, std::string id);

    Behaviour behaviour;
    std::vector<Behaviour> script; ///< For the next requests, before `behaviour`.
    bool leaving = false; ///< It says in all its answers that it ends soon.
    std::string cold; ///< How much longer it is cold, as it stands in all its answers; empty: not told.
    std::string limit; ///< Rate that it names in all its answers; empty: none.
    std::string crashesOn; ///< Body of a request that ends the process once it runs; empty: none does.
    core::Duration crashAfter = absl::Milliseconds(10); ///< From the begin of such a run.

    [[nodiscard]] const std::string &id() const noexcept;
    [[nodiscard]] const core::Address &address() const noexcept;
    /// \brief Requests that were begun.
    [[nodiscard]] const std::vector<net::Request> &ran() const noexcept;
    /// \brief All that reached it, orders included; health checks there are none.
    [[nodiscard]] const std::vector<Arrival> &arrivals() const noexcept;
    /// \brief Orders that named another life than the one that got them.
    [[nodiscard]] int misdirectedOrders() const noexcept;
    /// \brief Requests whose connection ended before their answer did.
    [[nodiscard]] int abandoned() const noexcept;
    /// \brief Reservations that are held, tokens by id.
    [[nodiscard]] const std::map<std::string, std::int64_t> &held() const noexcept;
    /// \brief Stops listening: connections are refused.
    void stop();
    /// \brief Ends the process: nothing listens any more, and all connections are reset.
    void crash();
    /// \brief Ends its life without a word: what it works on is never answered and its connections stay open. A new
    /// life listens at the same address, without anything of the earlier one.
    void beginAnew(std::string id);
    [[nodiscard]] bool crashed() const noexcept;

private:
    [[nodiscard]] net::Task<> serve(net::asio::ip::tcp::socket socket);
    [[nodiscard]] net::Task<bool> answer(core::Ref<net::ServerConnection> connection, net::Request request);
    [[nodiscard]] net::Task<bool> stream(core::Ref<net::ServerConnection> connection, const net::Request &request,
                                         const Behaviour &how);
    [[nodiscard]] net::Response order(const net::Request &request);
    void sayNotices(net::ResponseHead &head) const;
    [[nodiscard]] net::ResponseHead head(const net::Request &request, const Behaviour &how) const;

    net::Loop &m_loop;
    std::string m_id;
    int m_life = 1; ///< Counted from 1.
    net::Listener m_listener;
    std::vector<net::Request> m_ran;
    std::vector<Arrival> m_arrivals;
    int m_abandoned = 0;
    int m_misdirectedOrders = 0;
    bool m_crashed = false;
    std::set<core::Ref<net::ServerConnection>> m_connections; ///< Those that are open.
    std::map<std::string, std::int64_t> m_held;
};

} // namespace spurlug::test
