//----------------------------------------------------------------------------------------------------------------------
// spurlug: this daemon's part of the fleet's bound on repeated sends
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

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
    /// Part of its own share that a daemon spends: the rest covers requests that the bound does not count.
    double margin = 0.8;
};

/// \brief Counts requests and repeated sends of each service over a sliding window.
///
/// A daemon spends `ratio` x its own requests + its part of the slack: summed over all daemons that is within the
/// bound, without a message between them. A daemon that restarts begins with an empty ledger, so it gets half a part.
class RetryLedger
{
public:
    explicit RetryLedger(RetryBound bound);

    /// \brief Notes a caller's request.
    void request(const std::string &service, core::Time now);

    /// \brief Takes one repeated send.
    /// \param daemons Daemons that share the slack; at least 1.
    /// \returns False when this daemon's part is spent.
    [[nodiscard]] bool take(const std::string &service, std::size_t daemons, core::Time now);

private:
    struct Counts
    {
        std::deque<core::Time> requests;
        std::deque<core::Time> repeats;
    };

    void forget(Counts &counts, core::Time now) const;

    const RetryBound m_bound;
    std::map<std::string, Counts> m_services;
};

} // namespace spurlug::relay
