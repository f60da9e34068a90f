//----------------------------------------------------------------------------------------------------------------------
// spurlug: ejection of failing targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/enum_names.h"
#include "spurlug/core/time.h"

#include <cstdint>

namespace spurlug::relay
{

/// \brief How a target failed.
enum class TargetFault
{
    Unreachable, ///< No connection could be established.
    Timeout, ///< No answer within several times the usual response time.
    ConnectionLost, ///< The connection failed after the request was sent.
    MalformedResponse, ///< The received bytes are not a valid response to the request.
    ErrorResponse, ///< The response reports a failure of the target.
    Busy, ///< The target did not start the work.
};

/// \brief Parameters of the ejection of failing targets.
struct EjectionPolicy
{
    /// Weight of the newest result in the moving average of failures; about the last eight results count.
    double newestWeight = 0.13;
    /// Share of failures above which a target is ejected. Healthy plain services may fail one request in seven.
    double maxFailureShare = 0.45;
    int maxConsecutiveFailures = 3; ///< Consecutive failures after which a target is ejected whatever the share.
    /// Duration of the first ejection; doubles with each consecutive one.
    core::Duration initialDuration = absl::Milliseconds(1500);
    core::Duration maxDuration = absl::Seconds(8);
    /// Whether a single failed connection does not eject a target that has answered recently: a lost packet looks the
    /// same as a dead target.
    bool byEvidence = false;
    /// How long an answer proves that a target is reachable. Outcomes of other daemons arrive within a report interval,
    /// which is half a second at most.
    core::Duration evidenceLifetime = absl::Seconds(1);
    int maxFailedConnections = 2; ///< Consecutive ones that eject a target in spite of an answer within that time.
};

/// \brief Results of one target as a state machine without I/O.
class TargetHealth
{
public:
    /// \brief Notes that the target completed a request.
    void noteSuccess(core::Time now) noexcept;
    /// \brief Notes the first event of an answer: the target is reachable and works. Ends the probation, but leaves the
    /// failures counted, because a target may break every answer after its first event.
    void noteFirstEvent(core::Time now) noexcept;
    /// \returns True if the failure did not eject the target only because it has answered recently.
    bool noteFailure(TargetFault fault, const EjectionPolicy &policy, core::Time now) noexcept;

    /// \brief Whether the target is ejected now.
    [[nodiscard]] bool isEjected(core::Time now) const noexcept
    {
        return now < m_ejectedUntil;
    }

    /// \brief Whether the last ejection was due to a failed connection or a timeout and the target has not answered
    /// since.
    [[nodiscard]] bool isUnreachable() const noexcept
    {
        return m_unreachable && isOnProbation();
    }

    /// \brief Whether to report the target to the scheduler as unreachable. By evidence, this ends with the ejection:
    /// a scheduler that grants the target to nobody while it is reported would never learn that it is back.
    [[nodiscard]] bool reportsUnreachable(const EjectionPolicy &policy, core::Time now) const noexcept
    {
        return isUnreachable() && (!policy.byEvidence || isEjected(now));
    }

    /// \brief Whether the target was ejected and has not answered since. It then gets one request at a time.
    [[nodiscard]] bool isOnProbation() const noexcept
    {
        return m_onProbation;
    }

    /// \brief When the target last answered; InfinitePast if never.
    [[nodiscard]] core::Time lastSuccessAt() const noexcept
    {
        return m_lastSuccessAt;
    }

    /// \brief Whether the target has answered so recently that it counts as reachable.
    [[nodiscard]] bool answeredRecently(const EjectionPolicy &policy, core::Time now) const noexcept
    {
        return now - m_lastSuccessAt <= policy.evidenceLifetime;
    }

    /// \brief Moving average of failures, 0 to 1.
    [[nodiscard]] double failureShare() const noexcept
    {
        return m_failureShare;
    }

private:
    void eject(const EjectionPolicy &policy, core::Time now) noexcept;

    double m_failureShare = 0;
    int m_consecutiveFailures = 0;
    int m_consecutiveEjections = 0;
    int m_failedConnections = 0; ///< Since the last answer.
    bool m_onProbation = false;
    bool m_unreachable = false; ///< Whether the last ejection was due to a failed connection or a timeout.
    core::Time m_ejectedUntil = absl::InfinitePast();
    core::Time m_lastSuccessAt = absl::InfinitePast();
};

} // namespace spurlug::relay

namespace spurlug::core
{

template<>
struct EnumNames<relay::TargetFault>
{
    using Fault = relay::TargetFault;
    static constexpr std::array table{
        EnumName<Fault>{Fault::Unreachable, "unreachable"}, EnumName<Fault>{Fault::Timeout, "silent"},
        EnumName<Fault>{Fault::ConnectionLost, "broken"},   EnumName<Fault>{Fault::MalformedResponse, "garbled"},
        EnumName<Fault>{Fault::ErrorResponse, "error"},     EnumName<Fault>{Fault::Busy, "busy"},
    };
};

} // namespace spurlug::core
