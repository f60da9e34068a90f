//----------------------------------------------------------------------------------------------------------------------
// spurlug: a fleet's retries compared with its retry budget, from its logs
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/report/retry_report.h"

#include "spurlug/core/text.h"
#include "spurlug/report/log_line.h"

#include <absl/strings/str_format.h>
#include <algorithm>

namespace spurlug::report
{

namespace
{

/// Returns how many times of a sorted list are in (after, until].
std::int64_t countBetween(const std::vector<core::Time> &times, core::Time after, core::Time until)
{
    return std::upper_bound(times.begin(), times.end(), until) - std::upper_bound(times.begin(), times.end(), after);
}

} // namespace

void RetryReport::add(std::string_view line)
{
    const auto object = parseLogLine(line);
    if (!object) {
        return;
    }
    const auto event = object->value("event", "");
    const bool isRelevant = event == "request_sent" || event == "request_ended" || event == "repeat_decided";
    m_missingLines += isRelevant ? object->value("linesLeftOut", std::int64_t{0}) : 0;
    if (event == "log_lines_dropped") {
        m_missingLines += object->value("lines", std::int64_t{0});
    } else if (event == "started") {
        m_budgetRatio = object->value("retryRatio", m_budgetRatio);
        m_budgetSlack = object->value("retrySlack", m_budgetSlack);
        m_budgetWindow = absl::Milliseconds(object->value("retryWindowMs", absl::ToDoubleMilliseconds(m_budgetWindow)));
    }
    if (!object->contains("request")) {
        return;
    }
    const auto at = collectionTime(line, *object);
    auto &request = m_requests[object->value("request", "")];
    if (event == "request_sent") {
        request.service = object->value("service", "");
        request.arrivedAt = std::min(request.arrivedAt, at - absl::Milliseconds(object->value("waitedMs", 0.0)));
        const auto cause = object->value("repeatCause", "");
        if (!cause.empty()) {
            m_retries[request.service].push_back({at, cause, request.charge});
        }
    } else if (event == "request_ended") {
        request.service = object->value("service", request.service);
        request.arrivedAt = std::min(request.arrivedAt, at - absl::Milliseconds(object->value("totalMs", 0.0)));
    } else if (event == "repeat_decided") {
        request.charge = object->value("charge", "");
        m_refused += request.charge == "refused" ? 1 : 0;
    }
}

void RetryReport::addAll(std::istream &lines)
{
    std::string line;
    while (std::getline(lines, line)) {
        add(line);
    }
}

std::map<std::string, RetryReport::Service> RetryReport::services() const
{
    std::map<std::string, Service> services;
    for (const auto &[id, request] : m_requests) {
        if (!request.service.empty()) {
            services[request.service].requests.push_back(request.arrivedAt);
        }
    }
    for (const auto &[name, retries] : m_retries) {
        services[name].retries = retries;
    }
    for (auto &[name, service] : services) {
        std::sort(service.requests.begin(), service.requests.end());
        std::sort(service.retries.begin(), service.retries.end(),
                  [](const Retry &left, const Retry &right) { return left.at < right.at; });
    }
    return services;
}

RetryStatistics RetryReport::statisticsAt(const Service &service, core::Time end) const
{
    RetryStatistics statistics;
    statistics.windowStart = end - m_budgetWindow;
    for (const auto &repeat : service.retries) {
        if (repeat.at > statistics.windowStart && repeat.at <= end) {
            ++statistics.retries;
            ++statistics.causes[repeat.cause];
            ++statistics.charges[repeat.charge];
        }
    }
    for (const double windowsBefore : {0.0, 0.5, 1.0}) {
        const auto until = end - m_budgetWindow * windowsBefore;
        statistics.requests
            = std::max(statistics.requests, countBetween(service.requests, until - m_budgetWindow, until));
    }
    statistics.allowedRetries = m_budgetRatio * static_cast<double>(statistics.requests) + m_budgetSlack;
    return statistics;
}

std::map<std::string, RetryStatistics> RetryReport::closestToBudget() const
{
    std::map<std::string, RetryStatistics> closest;
    for (const auto &[name, service] : services()) {
        double maxShare = -1;
        for (const auto &repeat : service.retries) {
            const auto figures = statisticsAt(service, repeat.at);
            const double budgetShare = static_cast<double>(figures.retries) / std::max(figures.allowedRetries, 1.0);
            if (budgetShare > maxShare) {
                maxShare = budgetShare;
                closest[name] = figures;
            }
        }
    }
    return closest;
}

std::int64_t RetryReport::refused() const noexcept
{
    return m_refused;
}

std::int64_t RetryReport::missingLines() const noexcept
{
    return m_missingLines;
}

std::string RetryReport::text() const
{
    std::string text
        = absl::StrFormat("repeated sends in the %.0f s closest to the budget (%.2f of the requests + %.0f)\n",
                          absl::ToDoubleSeconds(m_budgetWindow), m_budgetRatio, m_budgetSlack);
    for (const auto &[name, figures] : closestToBudget()) {
        core::append(text,
                     absl::StrFormat("  %s from %s: %d repeats of %d requests, allowed %.0f;", name,
                                     absl::FormatTime("%H:%M:%E1S", figures.windowStart, absl::UTCTimeZone()),
                                     figures.retries, figures.requests, figures.allowedRetries),
                     formatCounts(figures.causes), "; charged to", formatCounts(figures.charges), "\n");
    }
    core::append(text, "  not sent because the budget was spent: ", m_refused, "\n");
    if (m_missingLines > 0) {
        core::append(text, "  lines missing from the logs: ", m_missingLines, " (the sums above are too low)\n");
    }
    return text;
}

} // namespace spurlug::report
