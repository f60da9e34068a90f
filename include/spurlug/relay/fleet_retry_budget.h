//----------------------------------------------------------------------------------------------------------------------
// spurlug: this daemon's share of the fleet-wide retry budget
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

/// \brief Fleet-wide limit on retries of each service.
struct FleetRetryLimit
{
    double ratio = 0.2; ///< Retries per request.
    core::Duration window = absl::Seconds(10); ///< The limit applies to any time window of this length.
    double slack = 100; ///< Retries allowed in addition to the ratio.
    /// Fraction of the ratio that a daemon may spend on the requests of its own last window. In any window, all daemons
    /// together then spend for at most the requests of two windows, even if callers moved between daemons, and the
    /// limit counts the larger of the two.
    double ownRequestShare = 0.5;
};

/// \brief What a retry is charged to.
enum class RetryCharge
{
    Ratio, ///< The ratio of this daemon's own requests.
    Slack, ///< This daemon's share of the fleet's slack.
    Refused, ///< Both are used up; the retry is refused.
};

/// \brief What a daemon knows about its fleet.
struct FleetView
{
    /// Largest number of daemons in its failure domain that it, or any daemon that it heard, ever knew at once.
    std::size_t domainSize = 1;
    bool hearsPeers = false; ///< Whether it currently hears any other daemon.
    bool hasPeers = false; ///< Whether its settings name other daemons.
    core::Duration uptime = absl::ZeroDuration(); ///< Time since it started.
    std::size_t domainCount = 1; ///< Number of failure domains of the fleet, whether heard or not.
};

/// \brief Fraction of the fleet's slack that one daemon may spend in a window.
///
/// Each failure domain has the same fraction of the slack whether it is heard or not, so partitions between domains do
/// not change the sum, and a daemon needs to know only the size of its own domain. A daemon learns that size after its
/// start and does not remember what it spent before a restart. It therefore spends nothing right after its start or
/// while it hears no other daemon, and only a small fraction until it has run for a whole window. Learning takes 3 s
/// after each start, so a window of 10 s contains at most three such incarnations of one daemon. A domain that is
/// partitioned from its start spends twice its fraction; one such domain is allowed for.
[[nodiscard]] double slackShare(const FleetView &fleet, core::Duration window) noexcept;

/// \brief Requests and retries of one daemon within a window.
struct RetryUsage
{
    std::size_t requests = 0;
    std::size_t retries = 0;
};

/// \brief Counts requests and retries of each service over a sliding window.
///
/// A daemon may spend `ownRequestShare` x `ratio` x its own requests + its fraction of the slack. The sum over all
/// daemons stays within the limit without messages between them.
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(FleetRetryLimit limit);

    /// \brief Records a request of a caller.
    void noteRequest(const std::string &service, core::Time now);

    /// \brief Charges one retry if the budget allows it.
    /// \param slackShare Fraction of the fleet's slack that this daemon may spend, 0 to 1.
    [[nodiscard]] RetryCharge charge(const std::string &service, double slackShare, core::Time now);

    [[nodiscard]] const FleetRetryLimit &limit() const noexcept
    {
        return m_limit;
    }
    /// \brief This daemon's requests and retries of a service within the window.
    [[nodiscard]] RetryUsage usage(const std::string &service, core::Time now);

private:
    struct Counts
    {
        std::deque<core::Time> requests;
        std::deque<core::Time> retries;
    };

    void removeExpired(Counts &counts, core::Time now) const;

    FleetRetryLimit m_limit;
    std::map<std::string, Counts> m_services;
};

} // namespace spurlug::relay

namespace spurlug::core
{

template<>
struct EnumNames<relay::RetryCharge>
{
    using Charge = relay::RetryCharge;
    static constexpr std::array table{
        EnumName<Charge>{Charge::Ratio, "ratio"},
        EnumName<Charge>{Charge::Slack, "slack"},
        EnumName<Charge>{Charge::Refused, "refused"},
    };
};

} // namespace spurlug::core
