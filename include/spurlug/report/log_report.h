//----------------------------------------------------------------------------------------------------------------------
// spurlug: request statistics from the logs of relay daemons
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

/// \brief Statistics of the requests that arrived on one route within one interval.
struct RouteStatistics
{
    std::int64_t requests = 0;
    std::int64_t inTime = 0; ///< Completed within the objectives for the first event and the gaps between events.
    std::int64_t lateFirstEvent = 0; ///< Completed, but the first event was late.
    std::int64_t longGap = 0; ///< Completed with the first event in time, but with too long a gap between events.
    std::int64_t failed = 0; ///< Not completed, or answered with a server error.
    Counts failureReasons; ///< Requests that were not completed, by reason.
    Counts attemptFailures; ///< Failed attempts, by reason.
    /// Of completed requests with one attempt: time from sending to first event, divided by the expected time.
    std::vector<double> firstEventRatios;
    /// Of requests with one attempt and a first event: time from arrival to that event, less the time predicted at
    /// sending.
    std::vector<double> predictionErrorsMs;
    Counts predictedLate; ///< Requests that a scheduler refused by prediction, by kind of prompt.
    std::vector<double> predictedMs; ///< Of each such request: predicted time to the first event.
    std::vector<double> waitingAhead; ///< Of each such request: requests that it would have waited behind.
    std::vector<double> longestGapsMs; ///< Longest gap of each completed request.
    double prefillMs = 0; ///< Engine time for prefill.
    double wastedPrefillMs = 0; ///< The part of `prefillMs` for requests that were not completed.
};

/// \brief Computes request statistics from the structured logs of one or more daemons.
class LogReport
{
public:
    /// \param interval Length of the intervals that figures are grouped by.
    explicit LogReport(core::Duration interval);

    /// \brief Adds one line; text before its JSON object is ignored, and so are lines without one.
    void add(std::string_view line);
    /// \brief Adds all lines of a file.
    void addAll(std::istream &lines);

    /// \brief Figures by route and start of the interval.
    [[nodiscard]] std::map<std::string, std::map<core::Time, RouteStatistics>> statistics() const;
    /// \brief A human-readable table: one line per route and interval, with the failure reasons below it.
    [[nodiscard]] std::string text() const;

private:
    struct Attempt
    {
        double waitedMs = 0; ///< Time from the arrival of the request until this attempt was sent.
        double expectedMs = 0;
        double prefillMs = 0;
    };

    /// Refusal of a request by prediction.
    struct Refusal
    {
        std::string kind; ///< Of the prompt.
        double predictedMs = 0;
        double waitingAhead = 0;
    };

    struct Request
    {
        std::vector<Attempt> attempts;
        std::string digest; ///< Its first 16 hex digits.
        std::vector<std::string> failedAttemptReasons; ///< Reason of each failed attempt.
        core::Time endedAt = absl::InfinitePast();
        std::string route;
        std::string outcome;
        std::string reason;
        std::int64_t status = 0;
        double firstEventMs = -1;
        double totalMs = 0;
        double longestGapMs = 0;
        double objectiveMs = 0;
        double gapObjectiveMs = 0; ///< 0: there is no objective for gaps.
    };

    void countPredictions(const Request &request, RouteStatistics &figures) const;
    void count(const Request &request, RouteStatistics &figures) const;

    const core::Duration m_interval;
    std::unordered_map<std::string, Request> m_requests;
    std::unordered_map<std::string, Refusal> m_refusals; ///< The last one of each digest.
};

/// \brief The lines about a request, sorted by time: its path through several daemons.
[[nodiscard]] std::vector<std::string> linesOfRequest(std::string_view requestId, std::istream &lines);

} // namespace spurlug::report
