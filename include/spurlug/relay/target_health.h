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
    Silent, ///< No answer within several times the usual response time.
    Broken, ///< The connection failed after the request was sent.
    Garbled, ///< The received bytes are not a valid response to the request.
    Error, ///< The response reports a failure of the target.
    Busy, ///< The target did not start the work.
};

/// \brief Parameters of the ejection of failing targets.
struct EjectionRule
{
    /// Weight of the newest result in the moving average of failures; about the last eight results count.
    double weight = 0.13;
    /// Share of failures above which a target is ejected. Healthy plain services may fail one request in seven.
    double errorShare = 0.45;
    int inARow = 3; ///< Consecutive failures after which a target is ejected whatever the share.
    /// Duration of the first ejection; doubles with each consecutive one.
    core::Duration first = absl::Milliseconds(1500);
    core::Duration longest = absl::Seconds(8);
};

/// \brief Results of one target as a state machine without I/O.
class TargetHealth
{
public:
    void succeeded(core::Time now) noexcept;
    void failed(TargetFault fault, const EjectionRule &rule, core::Time now) noexcept;

    /// \brief Whether the target is ejected now.
    [[nodiscard]] bool ejected(core::Time now) const noexcept
    {
        return now < m_ejectedUntil;
    }

    /// \brief Whether the last ejection was due to a failed connection or a timeout and the target has not answered
    /// since.
    [[nodiscard]] bool unreachable() const noexcept
    {
        return m_unreachable && onProbation();
    }

    /// \brief Whether the target was ejected and has not answered since. It then gets one request at a time.
    [[nodiscard]] bool onProbation() const noexcept
    {
        return m_ejections > 0;
    }

    /// \brief Moving average of failures, 0 to 1.
    [[nodiscard]] double failureShare() const noexcept
    {
        return m_share;
    }

private:
    void eject(const EjectionRule &rule, core::Time now) noexcept;

    double m_share = 0;
    int m_inARow = 0;
    int m_ejections = 0;
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
        EnumName<Fault>{Fault::Unreachable, "unreachable"},
        EnumName<Fault>{Fault::Silent, "silent"},
        EnumName<Fault>{Fault::Broken, "broken"},
        EnumName<Fault>{Fault::Garbled, "garbled"},
        EnumName<Fault>{Fault::Error, "error"},
        EnumName<Fault>{Fault::Busy, "busy"},
    };
};

} // namespace spurlug::core
