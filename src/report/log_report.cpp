//----------------------------------------------------------------------------------------------------------------------
// spurlug: request statistics from the logs of relay daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/report/log_report.h"

#include "spurlug/core/http_status.h"
#include "spurlug/core/text.h"
#include "spurlug/report/log_line.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>
#include <set>

namespace spurlug::report
{

namespace
{

constexpr std::size_t SchedulerDigestLength = 16; ///< Hex digits; schedulers know the first 8 bytes of a digest.
constexpr std::string_view PredictedLate = "predicted_late"; ///< Reason of a request that was refused by prediction.

/// Returns the value below which `share` of the samples lie; 0 when there are no samples.
double quantile(std::vector<double> samples, double share)
{
    if (samples.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(rank), samples.end());
    return samples[rank];
}

} // namespace

LogReport::LogReport(core::Duration interval)
    : m_interval(interval)
{ }

void LogReport::add(std::string_view line)
{
    const auto object = parseLogLine(line);
    if (!object) {
        return;
    }
    const auto event = object->value("event", "");
    if (event == "placement_refused") { // Written by a scheduler, which knows only the digest of the request.
        m_refusals[object->value("digest", "")] = {object->value("kind", ""), object->value("expectedMs", 0.0),
                                                   object->value("aheadInTime", 0.0) + object->value("aheadLate", 0.0)};
        return;
    }
    if (!object->contains("request")) {
        return;
    }
    auto &request = m_requests[object->value("request", "")];
    if (event == "request_sent") {
        request.attempts.push_back(
            {object->value("waitedMs", 0.0), object->value("expectedMs", 0.0), object->value("readMs", 0.0)});
    } else if (event == "attempt_failed") {
        request.failedAttemptReasons.push_back(object->value("reason", ""));
    } else if (event == "request_ended") {
        request.endedAt = lineTime(*object);
        request.digest = object->value("digest", "").substr(0, SchedulerDigestLength);
        request.route = object->value("route", "");
        request.outcome = object->value("outcome", "");
        request.reason = object->value("reason", "");
        request.status = object->value("status", std::int64_t{0});
        request.firstEventMs = object->value("firstMs", -1.0);
        request.totalMs = object->value("totalMs", 0.0);
        request.longestGapMs = object->value("longestGapMs", 0.0);
        request.objectiveMs = object->value("aimMs", 0.0);
        request.gapObjectiveMs = object->value("gapAimMs", 0.0);
    }
}

void LogReport::addAll(std::istream &lines)
{
    std::string line;
    while (std::getline(lines, line)) {
        add(line);
    }
}

void LogReport::countPredictions(const Request &request, RouteStatistics &figures) const
{
    const auto refusal = request.reason == PredictedLate ? m_refusals.find(request.digest) : m_refusals.end();
    if (refusal != m_refusals.end()) {
        ++figures.predictedLate[refusal->second.kind];
        figures.predictedMs.push_back(refusal->second.predictedMs);
        figures.waitingAhead.push_back(refusal->second.waitingAhead);
    }
    if (request.attempts.size() == 1 && request.firstEventMs >= 0 && request.attempts.front().expectedMs > 0) {
        const auto &attempt = request.attempts.front();
        figures.predictionErrorsMs.push_back(request.firstEventMs - attempt.waitedMs - attempt.expectedMs);
    }
}

void LogReport::count(const Request &request, RouteStatistics &figures) const
{
    ++figures.requests;
    countPredictions(request, figures);
    for (const auto &reason : request.failedAttemptReasons) {
        ++figures.attemptFailures[reason];
    }
    const bool completed = request.outcome == "completed" && request.status < core::http_status::FirstServerError;
    for (const auto &attempt : request.attempts) {
        figures.prefillMs += attempt.prefillMs;
        figures.wastedPrefillMs += completed ? 0 : attempt.prefillMs;
    }
    if (!completed) {
        ++figures.failed;
        ++figures.failureReasons[request.reason];
        return;
    }
    const bool lateFirst = request.firstEventMs > request.objectiveMs;
    const bool hasLongGap = request.gapObjectiveMs > 0 && request.longestGapMs > request.gapObjectiveMs;
    ++(lateFirst ? figures.lateFirstEvent : hasLongGap ? figures.longGap : figures.inTime);
    figures.longestGapsMs.push_back(request.longestGapMs);
    if (request.attempts.size() == 1 && request.attempts.front().expectedMs > 0) {
        const auto &attempt = request.attempts.front();
        // Computed from durations, not from the times of the lines: the wall clock may jump between two lines.
        figures.firstEventRatios.push_back((request.firstEventMs - attempt.waitedMs) / attempt.expectedMs);
    }
}

std::map<std::string, std::map<core::Time, RouteStatistics>> LogReport::statistics() const
{
    std::map<std::string, std::map<core::Time, RouteStatistics>> byRoute;
    for (const auto &[id, request] : m_requests) {
        if (request.endedAt == absl::InfinitePast()) {
            continue; // The request has not ended yet, or its end was logged in a file that was not added.
        }
        const auto arrivedAt = request.endedAt - absl::Milliseconds(request.totalMs);
        const auto intervalStart = absl::Floor(arrivedAt - absl::UnixEpoch(), m_interval);
        count(request, byRoute[request.route][absl::UnixEpoch() + intervalStart]);
    }
    return byRoute;
}

std::string LogReport::text() const
{
    constexpr double LowQuantile = 0.1;
    constexpr double MedianQuantile = 0.5;
    constexpr double HighQuantile = 0.9;
    constexpr double MsPerSecond = 1000;
    const bool predicts = !m_refusals.empty()
        || std::any_of(m_requests.begin(), m_requests.end(),
                       [](const auto &item) { return item.second.reason == PredictedLate; });
    std::string text;
    for (const auto &[route, intervals] : statistics()) {
        core::append(text, "route ", route.empty() ? "(none)" : route, "\n");
        core::append(text, "  begin     asked in-time late-first long-pause not-whole  first/expected p10 p50 p90",
                     "  pause p50 p90 ms  read s  in vain\n");
        for (const auto &[begin, row] : intervals) {
            core::append(text,
                         absl::StrFormat(
                             "  %s  %5d %7d %10d %10d %9d  %18.2f %3.2f %3.2f  %9.0f %3.0f  %9.2f %7.0f%%\n",
                             absl::FormatTime("%H:%M:%S", begin, absl::UTCTimeZone()), row.requests, row.inTime,
                             row.lateFirstEvent, row.longGap, row.failed, quantile(row.firstEventRatios, LowQuantile),
                             quantile(row.firstEventRatios, MedianQuantile),
                             quantile(row.firstEventRatios, HighQuantile), quantile(row.longestGapsMs, MedianQuantile),
                             quantile(row.longestGapsMs, HighQuantile), row.prefillMs / MsPerSecond,
                             row.prefillMs > 0 ? row.wastedPrefillMs / row.prefillMs * 100 : 0));
            if (predicts && !row.predictionErrorsMs.empty()) {
                core::append(text,
                             absl::StrFormat("            first event less predicted, ms: p10 %.0f p50 %.0f p90 %.0f\n",
                                             quantile(row.predictionErrorsMs, LowQuantile),
                                             quantile(row.predictionErrorsMs, MedianQuantile),
                                             quantile(row.predictionErrorsMs, HighQuantile)));
            }
            if (!row.predictedLate.empty()) {
                core::append(text, "            refused by prediction:", formatCounts(row.predictedLate),
                             absl::StrFormat(
                                 "; predicted ms p50 %.0f p90 %.0f, waiting ahead p50 %.0f p90 %.0f\n",
                                 quantile(row.predictedMs, MedianQuantile), quantile(row.predictedMs, HighQuantile),
                                 quantile(row.waitingAhead, MedianQuantile), quantile(row.waitingAhead, HighQuantile)));
            }
            if (!row.failureReasons.empty()) {
                core::append(text, "            not whole:", formatCounts(row.failureReasons), "\n");
            }
            if (!row.attemptFailures.empty()) {
                core::append(text, "            attempts failed:", formatCounts(row.attemptFailures), "\n");
            }
        }
    }
    return text;
}

std::vector<std::string> linesOfRequest(std::string_view requestId, std::istream &lines)
{
    std::vector<std::pair<core::Time, std::string>> found;
    std::set<std::string> digests; // Of the request, as schedulers write them.
    std::multimap<std::string, std::pair<core::Time, std::string>> refusals; // By digest.
    std::string line;
    while (std::getline(lines, line)) {
        const auto object = parseLogLine(line);
        if (!object) {
            continue;
        }
        const auto digest = object->value("digest", "").substr(0, SchedulerDigestLength);
        if (object->value("request", "") == requestId) {
            found.emplace_back(lineTime(*object), line);
            digests.insert(digest);
        } else if (object->value("event", "") == "placement_refused") {
            refusals.emplace(digest, std::pair(lineTime(*object), line));
        }
    }
    for (auto &[digest, refusal] : refusals) {
        if (!digest.empty() && digests.contains(digest)) {
            found.push_back(std::move(refusal));
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<std::string> ordered;
    for (auto &[time, text] : found) {
        ordered.push_back(std::move(text));
    }
    return ordered;
}

} // namespace spurlug::report
