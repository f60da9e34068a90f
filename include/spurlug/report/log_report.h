//----------------------------------------------------------------------------------------------------------------------
// spurlug: what the logs of relaying daemons tell of a span of time
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

/// \brief How the requests fared that arrived on one route within one interval.
struct RouteFigures
{
    std::int64_t requests = 0;
    std::int64_t inTime = 0; ///< Whole, first event within the aim, no pause beyond what counts as in time.
    std::int64_t lateFirst = 0; ///< Whole, but the first event was late.
    std::int64_t longPause = 0; ///< Whole and begun in time, but with a pause that was too long.
    std::int64_t notWhole = 0;
    Counts ends; ///< Requests that were not whole, by reason.
    Counts resends; ///< Attempts that failed, by reason.
    std::vector<double> firstToExpected; ///< Of each whole stream: first event, measured from its sending / expected.
    std::vector<double> pausesMs; ///< Longest pause of each whole stream.
    double readMs = 0; ///< Engine time given to reading prompts.
    double readInVainMs = 0; ///< The part of it that went to requests that were not whole.
};

/// \brief Adds up structured logs of one or many daemons.
class LogReport
{
public:
    /// \param interval Length of the spans that figures are given for.
    explicit LogReport(core::Duration interval);

    /// \brief Takes one line; whatever stands before its JSON object is passed over, as are lines without one.
    void add(std::string_view line);
    /// \brief Takes all lines of a file.
    void addAll(std::istream &lines);

    /// \brief Figures by route and begin of the interval.
    [[nodiscard]] std::map<std::string, std::map<core::Time, RouteFigures>> figures() const;
    /// \brief A table for people: one line a route and interval, the causes below it.
    [[nodiscard]] std::string text() const;

private:
    struct Attempt
    {
        double waitedMs = 0; ///< From the request's arrival until it was sent.
        double expectedMs = 0;
        double readMs = 0;
    };

    struct Request
    {
        std::vector<Attempt> attempts;
        std::vector<std::string> failures; ///< Reasons, an attempt each.
        core::Time endedAt = absl::InfinitePast();
        std::string route;
        std::string outcome;
        std::string reason;
        std::int64_t status = 0;
        double firstMs = -1;
        double totalMs = 0;
        double longestPauseMs = 0;
        double aimMs = 0;
        double pauseAimMs = 0; ///< 0: pauses do not count.
    };

    static void count(const Request &request, RouteFigures &figures);

    const core::Duration m_interval;
    std::unordered_map<std::string, Request> m_requests;
};

/// \brief The lines that name a request, in the order of their times: its way through several daemons.
[[nodiscard]] std::vector<std::string> linesOf(std::string_view request, std::istream &lines);

} // namespace spurlug::report
