//----------------------------------------------------------------------------------------------------------------------
// spurlug: whether a target is left out for a while because it fails
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/enum_names.h"
#include "spurlug/core/time.h"

#include <cstdint>

namespace spurlug::relay
{

/// \brief What a target did wrong.
enum class TargetFault
{
    Unreachable, ///< No connection.
    Silent, ///< No answer in the time that others take several times over.
    Broken, ///< The connection failed after the request was sent.
    Garbled, ///< Bytes that are no answer to the request.
    Error, ///< An answer that says the target failed.
    Busy, ///< It did not begin the work.
};

/// \brief When a failing target is left out, and for how long.
struct EjectionRule
{
    /// Weight of the newest result in the running share of failures: about the last eight results count.
    double weight = 0.13;
    double errorShare
        = 0.45; ///< Share of failures that ejects; plain services may fail one in seven when they are well.
    int inARow = 3; ///< Failures in a row that eject, whatever the share.
    core::Duration first = absl::Milliseconds(1500); ///< Doubles with each ejection in a row.
    core::Duration longest = absl::Seconds(8);
};

/// \brief Running record of one target's results: a pure state machine.
class TargetHealth
{
public:
    void succeeded(core::Time now) noexcept;
    void failed(TargetFault fault, const EjectionRule &rule, core::Time now) noexcept;

    /// \brief Whether the target is left out now.
    [[nodiscard]] bool ejected(core::Time now) const noexcept
    {
        return now < m_ejectedUntil;
    }

    /// \brief Whether it was ejected because it could not be reached or kept silent, and has not answered since.
    [[nodiscard]] bool unreachable() const noexcept
    {
        return m_unreachable && onProbation();
    }

    /// \brief Whether it was ejected and has not answered since: it gets one request at a time.
    [[nodiscard]] bool onProbation() const noexcept
    {
        return m_ejections > 0;
    }

    /// \brief Running share of failures, 0 to 1.
    [[nodiscard]] double failureShare() const noexcept
    {
        return m_share;
    }

private:
    void eject(const EjectionRule &rule, core::Time now) noexcept;

    double m_share = 0;
    int m_inARow = 0;
    int m_ejections = 0;
    bool m_unreachable = false; ///< Why it was ejected last.
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
