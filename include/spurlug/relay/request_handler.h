//----------------------------------------------------------------------------------------------------------------------
// spurlug: transfers the bytes of one relayed request
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/scheduler_client.h"
#include "spurlug/core/error.h"
#include "spurlug/core/http_status.h"
#include "spurlug/core/text.h"
#include "spurlug/net/server_connection.h"
#include "spurlug/relay/attempt.h"
#include "spurlug/relay/evacuations.h"
#include "spurlug/relay/event_splitter.h"
#include "spurlug/relay/protocol_codec.h"
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

/// A live target accepts a connection within a few ms; the timeout leaves room for a pause of this process of 100 ms.
/// After it, a latency objective of 300 ms still leaves time for another target, which answers a short prompt in about
/// 140 ms.
inline constexpr auto ConnectTimeout = absl::Milliseconds(150);

} // namespace detail

/// \brief Relays one request and its answer. The coroutine `run` does all I/O; RequestProgress makes all decisions.
template<ProtocolCodec D>
class RequestHandler
{
public:
    /// \param bodyMemory Memory of the request's body, which is held as long as this object.
    RequestHandler(RelayContext &context, const D &codec, core::Ref<net::ServerConnection> caller, net::Request request,
                   core::ByteReservation bodyMemory, RequestInfo facts, core::Time arrivedAt);

    /// \brief Relays the request and answers the caller.
    /// \returns Whether the caller's connection can be used for another request.
    [[nodiscard]] net::Task<bool> run();

private:
    /// What to do after an attempt or one of its events.
    enum class NextStep
    {
        Done, ///< Nothing more: the caller has its answer, or disconnected.
        SendAgain, ///< Start another attempt.
        Fail, ///< End the request with an error of the relay.
    };

    /// Authorises the request by the configuration. Waits for a short time if the configuration, or the confirmation
    /// that it is current, is likely to arrive soon.
    /// \returns The refusal if the request must not run.
    [[nodiscard]] net::Task<std::optional<Refusal>> authorise();
    /// Makes attempts until the caller has an answer or the request fails.
    /// \returns False if the caller's connection cannot be used any more.
    [[nodiscard]] net::Task<bool> runAttempts();
    [[nodiscard]] net::Task<NextStep> runAttempt(const ChosenTargets &chosen);
    /// \returns The targets for an attempt; nothing if the request fails, for the reason in `m_failureReason`, or if
    /// the caller disconnected.
    [[nodiscard]] net::Task<std::optional<ChosenTargets>> awaitPlacement();
    /// Reserves KV memory at the helpers that need it.
    /// \returns Whether all of them granted it.
    [[nodiscard]] net::Task<bool> reserveMemory(const ChosenTargets &chosen);
    /// Waits before the request is tried again; ends early if the caller disconnects or the shutdown advances.
    [[nodiscard]] net::Task<> delayRetry(core::Duration delay);
    /// Whether an attempt that starts now can't end before this daemon exits; sets `m_failureReason` if so.
    /// \param chosen The targets of the attempt; null if they are not chosen yet.
    [[nodiscard]] bool missesExit(const ChosenTargets *chosen, core::Time now);
    /// Until when the request may wait for something that it needs to start an attempt.
    [[nodiscard]] core::Time waitUntil(core::Time earliest) const;
    /// Ends an attempt that is still in progress when this daemon is about to exit.
    void abortForExit(core::Time now);
    /// Releases all reservations.
    void releaseReservations();
    /// Whether the incarnation of an engine that holds memory for the prompt has ended.
    [[nodiscard]] bool memoryHelperEnded(const ChosenTargets &chosen) const;
    /// Has an event posted to the request when the incarnation of an engine of the attempt ends.
    void watchIncarnations(const ChosenTargets &chosen);
    /// Starts an attempt.
    void startAttempt(const ChosenTargets &chosen);
    /// Handles the events of the current attempt until it ends.
    [[nodiscard]] net::Task<NextStep> awaitAnswer(const ChosenTargets &chosen);
    /// What a check of a silent target showed.
    enum class TargetCheck
    {
        Reachable,
        PathLost, ///< The target is reachable, but not over the path that the attempt uses.
        Unreachable, ///< The target is at fault.
        Unproven, ///< No path leads to the target, which may be due to the links.
    };
    /// What a check of a target showed whose connection ended.
    enum class EndCheck
    {
        PathLost, ///< The link to the target broke, not the target.
        Ended, ///< The process of the target ended.
        Unknown, ///< It may be either, or neither.
    };
    /// State of an attempt whose target sends nothing.
    struct SilenceState
    {
        core::Time lastActivityAt; ///< When the last bytes arrived, or when the attempt started.
        bool bodyStarted = false; ///< Whether bytes of the answer's body have arrived.
        bool waitsForDeadline = false; ///< No other target can be tried, so the relay waits until the deadline.
        int failedChecks = 0; ///< Number of consecutive checks that found the target unreachable.
    };
    /// Aborts a silent attempt if its target is dead or has been silent for too long.
    /// \returns What to do next if the attempt was aborted.
    [[nodiscard]] net::Task<std::optional<NextStep>> abortIfDead(const ChosenTargets &chosen, SilenceState &silence);
    /// Handles a silent attempt that cannot be retried. If the target is dead, the attempt is aborted at once, so that
    /// other engines do not keep memory reserved for it, unless a stream without reservations has begun. Otherwise the
    /// relay keeps waiting.
    /// \returns What to do next if the attempt was aborted.
    [[nodiscard]] std::optional<NextStep> abortOrWait(SilenceState &silence, TargetCheck check, core::Time now);
    /// Aborts the attempt if it depends on a target whose incarnation ended.
    /// \param aborted Set to whether the attempt was aborted.
    [[nodiscard]] NextStep handleIncarnationEnd(const Target &ended, bool &aborted);
    /// Checks whether a target still accepts connections. An engine is also asked whether it is the expected target; if
    /// another one now uses the address, the incarnation of the expected target has ended.
    [[nodiscard]] net::Task<TargetCheck> checkTarget(core::Ref<Target> target);
    /// Asks a connected engine whether it is the expected target.
    [[nodiscard]] net::Task<> checkIncarnation(core::Ref<Target> target, core::Ref<net::ClientConnection> connection);
    /// Checks whether the process of the target of the current attempt ended. A broken connection does not show that,
    /// a refused one does. The check delays the request by one round trip.
    [[nodiscard]] net::Task<EndCheck> checkAfterEnd(core::Ref<Target> target);
    /// Whether an answer that looks complete may lack its end: nothing but the end of the connection marks the end of
    /// its body, and the process of the target ended too.
    [[nodiscard]] net::Task<bool> endedWithTarget();
    /// Whether the connection of the current attempt may be dead although its target is alive.
    [[nodiscard]] bool isPathSuspect(core::Time now) const;
    /// What a silent target is blamed for.
    [[nodiscard]] static std::optional<TargetFault> silenceFault(TargetCheck check, bool hasHelpers) noexcept;
    /// Handles one event. The `take` functions set \p ended if the attempt is over; only then is the result valid.
    [[nodiscard]] net::Task<NextStep> handleEvent(RequestEvent event, const ChosenTargets &chosen, bool &ended);
    [[nodiscard]] net::Task<NextStep> handleHead(net::ResponseHead head, bool &ended);
    [[nodiscard]] net::Task<NextStep> handleBytes(const std::string &bytes, bool &ended);
    /// Collects a part of a non-stream answer, or passes it on if no more is collected.
    /// \returns Whether the caller can still receive the answer.
    [[nodiscard]] net::Task<bool> handlePart(const std::string &bytes);
    /// Ends the attempt if its incomplete stream event is too large to be collected further.
    /// \param ended Set to whether the attempt was ended.
    [[nodiscard]] NextStep limitPartialEvent(bool &ended);
    /// Ends the attempt because the caller cannot receive the answer.
    void abortForLostCaller();
    [[nodiscard]] net::Task<NextStep> handleEnd(const AttemptEnded &end, const ChosenTargets &chosen);
    /// Passes a complete non-stream answer on to the caller.
    [[nodiscard]] net::Task<NextStep> forwardAnswer();
    /// Passes the head of an answer on to the caller before its body is complete.
    /// \param length Length of the body, if it is known.
    /// \returns Whether it was written.
    [[nodiscard]] net::Task<bool> forwardHead(std::optional<std::uint64_t> length);
    /// Passes a stream event on to the caller, after the head if that is not written yet.
    /// \returns Whether it was written.
    [[nodiscard]] net::Task<bool> forwardEvent(StreamEvent event);
    /// Ends a failed attempt and decides whether to retry.
    [[nodiscard]] NextStep handleFailure(core::Outcome outcome, core::Reason reason, std::optional<TargetFault> fault,
                                         const std::string &detail);
    /// Writes an error answer of the relay.
    /// \returns Whether it was written.
    [[nodiscard]] net::Task<bool> sendRefusal(Refusal refusal);
    /// Whether the request may be processed again after what the caller has already received.
    [[nodiscard]] bool isRepeatable() const;
    /// Decides whether the answer whose head is about to be written announces that the connection stays open.
    [[nodiscard]] bool announceKeepAlive();

    RelayContext &m_context;
    const D &m_codec;
    core::Ref<net::ServerConnection> m_caller;
    const core::ByteReservation m_bodyMemory;
    const net::SharedBody m_requestBody;
    const net::Request m_request; ///< Without its body.
    RequestProgress m_progress;
    core::Ref<RequestInbox> m_inbox;
    ShutdownWatch m_shutdownWatch;
    core::Ref<Attempt> m_attempt;
    std::vector<core::Ref<Reservation>> m_reservations;
    std::vector<std::unique_ptr<IncarnationWatch>> m_incarnationWatches; ///< For the engines of the current attempt.
    /// The scheduler's grant for the chosen targets; nothing if this daemon chose them.
    std::optional<control::PlacementReply> m_grant;
    core::Duration m_reserveDelay = absl::Milliseconds(10); ///< Wait after a refused reservation; doubles each time.
    core::Reason m_failureReason = core::Reason::None; ///< Why the last attempt failed.
    bool m_callerGone = false;
    net::ResponseHead m_head; ///< Head of the current attempt's answer.
    bool m_isStream = false; ///< Whether the current attempt is answered with an event stream.
    std::string m_body; ///< Body of a non-stream answer, as received and not passed on so far.
    core::ByteReservation m_answerMemory; ///< Of `m_body` and `m_events`.
    EventSplitter m_events; ///< Stream events of the current attempt.
    bool m_headForwarded = false; ///< Whether the head of the answer was sent to the caller before its end arrived.
    bool m_forwardsBody = false; ///< Whether the body of a non-stream answer is passed on as it arrives.
    /// Whether the answer announced that the connection stays open. The caller may send its next request at once, so
    /// that a shutdown that begins later does not close the connection after this answer.
    bool m_announcedKeepAlive = false;
    std::optional<std::int64_t> m_lastEventId; ///< ID of the last stream event that the caller has.
};

} // namespace spurlug::relay

#include "spurlug/relay/request_handler_answer_impl.h"
#include "spurlug/relay/request_handler_follow_impl.h"
#include "spurlug/relay/request_handler_impl.h"
