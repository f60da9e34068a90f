//----------------------------------------------------------------------------------------------------------------------
// spurlug: this daemon's part of the fleet's bound on repeated sends
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/enum_names.h"
#include "spurlug/core/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace spurlug::relay
{

/// \brief The bound that all daemons together keep for each service.
struct RetryBound
{
    double ratio = 0.2; ///< Repeated sends for each request.
    core::Duration window = absl::Seconds(10); ///< Any span of this length counts.
    double slack = 100; ///< Repeated sends beyond the ratio.
    /// Part of the ratio that a daemon spends for the requests of its own last window. In any window all daemons then
    /// spend for the requests of two windows at most, wherever their callers were meanwhile, and the bound counts the
    /// larger one.
    double margin = 0.5;
};

/// \brief What a repeated send is charged to.
enum class RepeatCharge
{
    Ratio, ///< This daemon's own requests.
    Slack, ///< Its part of the fleet's slack.
    Refused, ///< Its part of both is spent.
};

/// \brief What a daemon knows of its fleet.
struct FleetKnowledge
{
    /// Most daemons of its failure domain that it, or any of them that it heard, ever knew of at once.
    std::size_t largest = 1;
    bool hearsOthers = false; ///< Whether it hears any other daemon now.
    bool hasOthers = false; ///< Whether its settings name other daemons.
    core::Duration life = absl::ZeroDuration(); ///< Since it started.
    std::size_t domains = 1; ///< Failure domains of the fleet, whether heard or not.
};

/// \brief Part of the fleet's slack that one daemon may spend in a window.
///
/// Each failure domain has the same part of the slack, whoever hears it: cuts between domains leave the sum as it is,
/// and a daemon needs to know its own domain only. Nobody tells it how large that is, and what it spent in an earlier
/// life is forgotten. So one that has just started, or hears nobody, spends nothing; until it has lived for a window it
/// spends a small part of what it may spend later. Learning takes 3 s of a life, so a window of 10 s sees three young
/// ones at most. A domain that falls into two sides from its start spends twice its part; one such domain is allowed
/// for.
[[nodiscard]] double slackShare(const FleetKnowledge &fleet, core::Duration window) noexcept;

/// \brief Requests and repeated sends of one daemon within a window.
struct RepeatUse
{
    std::size_t requests = 0;
    std::size_t repeats = 0;
};

/// \brief Counts requests and repeated sends of each service over a sliding window.
///
/// A daemon spends `margin` x `ratio` x its own requests + its part of the slack: summed over all daemons that is
/// within the bound, without a message between them.
class RetryLedger
{
public:
    explicit RetryLedger(RetryBound bound);

    /// \brief Notes a caller's request.
    void request(const std::string &service, core::Time now);

    /// \brief Takes one repeated send.
    /// \param slackShare Part of the fleet's slack that this daemon may spend, 0 to 1.
    [[nodiscard]] RepeatCharge take(const std::string &service, double slackShare, core::Time now);

    [[nodiscard]] const RetryBound &bound() const noexcept
    {
        return m_bound;
    }
    /// \brief What this daemon counts of a service within the window.
    [[nodiscard]] RepeatUse use(const std::string &service, core::Time now);

private:
    struct Counts
    {
        std::deque<core::Time> requests;
        std::deque<core::Time> repeats;
    };

    void forget(Counts &counts, core::Time now) const;

    RetryBound m_bound;
    std::map<std::string, Counts> m_services;
};

} // namespace spurlug::relay

namespace spurlug::core
{

template<>
struct EnumNames<relay::RepeatCharge>
{
    using Charge = relay::RepeatCharge;
    static constexpr std::array table{
        EnumName<Charge>{Charge::Ratio, "ratio"},
        EnumName<Charge>{Charge::Slack, "slack"},
        EnumName<Charge>{Charge::Refused, "refused"},
    };
};

} // namespace spurlug::core
