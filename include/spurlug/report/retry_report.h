//----------------------------------------------------------------------------------------------------------------------
// spurlug: a fleet's retries compared with its retry budget, from its logs
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/report/counts.h"

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace spurlug::report
{

/// \brief The window in which a service came closest to the fleet-wide retry budget.
struct RetryStatistics
{
    core::Time windowStart = absl::InfinitePast(); ///< Start of the window.
    std::int64_t retries = 0; ///< Sends of a request after its first one, by all daemons.
    /// Maximum number of requests in this window, the previous one, and the one that starts half a window earlier.
    std::int64_t requests = 0;
    double allowedRetries = 0; ///< Number of retries that the budget allows.
    Counts causes; ///< Reasons of the retries: why the previous attempt failed.
    Counts charges; ///< Parts of the budget that the retries were charged to.
};

/// \brief Sums up retries over the logs of all daemons of a fleet.
///
/// No daemon knows this sum, because each keeps to its own part of the budget. The budget is read from the line that
/// daemons log at start.
class RetryReport
{
public:
    /// \brief Adds one line; lines without data on requests or the budget are ignored.
    void add(std::string_view line);
    /// \brief Adds all lines of a file.
    void addAll(std::istream &lines);

    /// \brief The window closest to the budget, by service.
    [[nodiscard]] std::map<std::string, RetryStatistics> closestToBudget() const;
    /// \brief Retries that daemons did not send because the budget was spent.
    [[nodiscard]] std::int64_t refused() const noexcept;
    /// \brief Lines that are missing from the daemons' logs and may have been about requests: the sums are too low by
    /// them.
    [[nodiscard]] std::int64_t missingLines() const noexcept;
    /// \brief A human-readable table.
    [[nodiscard]] std::string text() const;

private:
    struct Retry
    {
        core::Time at;
        std::string cause;
        std::string charge;
    };

    struct Request
    {
        core::Time arrivedAt = absl::InfiniteFuture();
        std::string service;
        std::string charge; ///< Charge of the retry that was decided last.
    };

    struct Service
    {
        std::vector<core::Time> requests;
        std::vector<Retry> retries;
    };

    [[nodiscard]] std::map<std::string, Service> services() const;
    [[nodiscard]] RetryStatistics statisticsAt(const Service &service, core::Time end) const;

    double m_budgetRatio = 0;
    double m_budgetSlack = 0;
    core::Duration m_budgetWindow = absl::ZeroDuration(); ///< Zero: no log has the budget.
    std::unordered_map<std::string, Request> m_requests;
    std::map<std::string, std::vector<Retry>> m_retries; ///< By service.
    std::int64_t m_refused = 0;
    std::int64_t m_missingLines = 0;
};

} // namespace spurlug::report
