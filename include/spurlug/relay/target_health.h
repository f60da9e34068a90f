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
};

/// \brief Results of one target as a state machine without I/O.
class TargetHealth
{
public:
    void noteSuccess(core::Time now) noexcept;
    void noteFailure(TargetFault fault, const EjectionPolicy &policy, core::Time now) noexcept;

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

    /// \brief Whether the target was ejected and has not answered since. It then gets one request at a time.
    [[nodiscard]] bool isOnProbation() const noexcept
    {
        return m_consecutiveEjections > 0;
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
    bool m_unreachable = false; ///< Whether the last ejection was due to a failed connection or a timeout.
    core::Time m_ejectedUntil = absl::InfinitePast();
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
