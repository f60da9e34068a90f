//----------------------------------------------------------------------------------------------------------------------
// spurlug: moves the bytes of one relayed request
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/scheduler_client.h"
#include "spurlug/core/error.h"
#include "spurlug/core/http_status.h"
#include "spurlug/core/text.h"
#include "spurlug/net/server_connection.h"
#include "spurlug/relay/attempt.h"
#include "spurlug/relay/dialect.h"
#include "spurlug/relay/evacuations.h"
#include "spurlug/relay/event_splitter.h"
#include "spurlug/relay/request_progress.h"
#include "spurlug/relay/reservation.h"
#include "spurlug/relay/target_notice.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace spurlug::relay
{

namespace detail
{

/// A live target accepts within a few ms, also beside a pause of this process of a tenth of a second. What is left of
/// an aim of 300 ms is enough for another target, which answers a short prompt in some 140 ms.
inline constexpr auto ConnectTimeout = absl::Milliseconds(150);

} // namespace detail

/// \brief One request from a caller to its answer. The coroutine `run` does everything; all decisions are those of
/// RequestProgress.
template<Dialect D>
class RequestRun
{
public:
    RequestRun(RelayContext &context, const D &dialect, core::Ref<net::ServerConnection> caller, net::Request request,
               RequestFacts facts, core::Time arrivedAt);

    /// \brief Serves the request.
    /// \returns Whether the connection can take another one.
    [[nodiscard]] net::Task<bool> run();

private:
    /// What follows an attempt.
    enum class Next
    {
        Done, ///< The caller has its answer, or is gone.
        SendAgain,
        Fail, ///< The relay has the last word.
    };

    /// Looks the request up in the configuration; waits for a new proof of it where one may come within moments.
    /// \returns Why the request must not run, or nothing.
    [[nodiscard]] net::Task<std::optional<Refusal>> authorise();
    [[nodiscard]] net::Task<bool> pursue();
    [[nodiscard]] net::Task<Next> attempt(const ChosenTargets &chosen);
    [[nodiscard]] net::Task<std::optional<ChosenTargets>> chooseOrWait();
    [[nodiscard]] net::Task<bool> reserve(const ChosenTargets &chosen);
    void releaseAll();
    /// Whether the life of an engine that holds memory for the prompt is over.
    [[nodiscard]] bool holderEnded(const ChosenTargets &chosen) const;
    /// Has the request told when the life of an engine of the attempt is over.
    void watchLives(const ChosenTargets &chosen);
    void send(const ChosenTargets &chosen);
    [[nodiscard]] net::Task<Next> follow(const ChosenTargets &chosen);
    /// A silent attempt.
    struct Silence
    {
        core::Time heardAt; ///< When its last bytes came, or when it was sent.
        bool answering = false; ///< Whether some bytes of its answer came.
        bool patient = false; ///< No other target can be tried: it is waited for until the deadline.
        int refusedConnections = 0; ///< Checks in a row at which the target took no connection.
    };
    /// Gives a silent attempt up if its target is dead, or silent for too long.
    /// \returns What follows if it was given up.
    [[nodiscard]] net::Task<std::optional<Next>> leaveIfDead(const ChosenTargets &chosen, Silence &silence);
    /// Ends a silent attempt that may not be sent again: at once where the target is dead, so that memory at other
    /// engines is not held for it, else it is waited for.
    [[nodiscard]] std::optional<Next> endOrWait(Silence &silence, core::Time now);
    /// Gives the attempt up where it cannot end well without a life that is over.
    [[nodiscard]] Next leaveLife(const Target &ended, bool &given);
    /// Whether a target still takes connections. An engine is asked whether it is the one that is meant; where another
    /// life has its address, the target's is over.
    [[nodiscard]] net::Task<bool> reaches(core::Ref<Target> target);
    /// Finds out whether a target of the attempt in progress ended: a connection that broke says nothing of that, one
    /// that is refused does. Costs a way there and back before the request goes on.
    [[nodiscard]] net::Task<> checkForEnd(core::Ref<Target> target);
    [[nodiscard]] net::Task<Next> take(RequestEvent event, const ChosenTargets &chosen, bool &ended);
    [[nodiscard]] net::Task<Next> takeHead(net::ResponseHead head, bool &ended);
    [[nodiscard]] net::Task<Next> takeBytes(const std::string &bytes, bool &ended);
    [[nodiscard]] net::Task<Next> takeEnd(const AttemptEnded &end);
    [[nodiscard]] net::Task<Next> passWhole();
    [[nodiscard]] net::Task<bool> passHead();
    [[nodiscard]] net::Task<bool> passEvent(StreamEvent event);
    [[nodiscard]] Next afterFailure(core::Outcome outcome, core::Reason reason, std::optional<TargetFault> fault,
                                    const std::string &detail);
    [[nodiscard]] net::Task<bool> refuse(Refusal refusal);
    [[nodiscard]] bool mayRepeat() const;
    [[nodiscard]] bool keepsAlive() const;

    RelayContext &m_context;
    const D &m_dialect;
    core::Ref<net::ServerConnection> m_caller;
    const net::Request m_request;
    RequestProgress m_progress;
    core::Ref<RequestInbox> m_inbox;
    core::Ref<Attempt> m_attempt;
    std::vector<core::Ref<Reservation>> m_reservations;
    std::vector<std::unique_ptr<LifeWatch>> m_watches; ///< Of the engines of the attempt in progress.
    std::optional<control::PlacementAnswer> m_grant; ///< What the targets were chosen by; nothing: this daemon alone.
    core::Duration m_reservePause = absl::Milliseconds(10); ///< Doubles while memory is refused.
    core::Reason m_failure = core::Reason::None; ///< Why the last attempt failed.
    bool m_callerGone = false;
    net::ResponseHead m_head; ///< Of the attempt in progress.
    bool m_isStream = false; ///< Whether the attempt in progress answers with events.
    std::string m_body; ///< Of a plain answer, so far.
    EventSplitter m_events; ///< Of the attempt in progress.
    bool m_headPassed = false; ///< Whether the caller has the head of a stream.
    std::optional<std::int64_t> m_lastEvent; ///< The caller has the stream's events up to this one.
};

} // namespace spurlug::relay

#include "spurlug/relay/request_run_answer_impl.h"
#include "spurlug/relay/request_run_follow_impl.h"
#include "spurlug/relay/request_run_impl.h"
