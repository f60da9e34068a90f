//----------------------------------------------------------------------------------------------------------------------
// spurlug: a fleet's retries compared with its retry budget, from its logs
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/report/repeat_report.h"

#include "spurlug/core/text.h"
#include "spurlug/report/log_line.h"

#include <absl/strings/str_format.h>
#include <algorithm>

namespace spurlug::report
{

namespace
{

/// Returns how many times of a sorted list are in (after, until].
std::int64_t countIn(const std::vector<core::Time> &times, core::Time after, core::Time until)
{
    return std::upper_bound(times.begin(), times.end(), until) - std::upper_bound(times.begin(), times.end(), after);
}

} // namespace

void RepeatReport::add(std::string_view line)
{
    const auto object = objectIn(line);
    if (!object) {
        return;
    }
    const auto event = object->value("event", "");
    const bool counts = event == "request_sent" || event == "request_ended" || event == "repeat_decided";
    m_linesLeftOut += counts ? object->value("linesLeftOut", std::int64_t{0}) : 0;
    if (event == "log_lines_dropped") {
        m_linesLeftOut += object->value("lines", std::int64_t{0});
    } else if (event == "started") {
        m_ratio = object->value("retryRatio", m_ratio);
        m_slack = object->value("retrySlack", m_slack);
        m_window = absl::Milliseconds(object->value("retryWindowMs", absl::ToDoubleMilliseconds(m_window)));
    }
    if (!object->contains("request")) {
        return;
    }
    const auto at = collectedAt(line, *object);
    auto &request = m_requests[object->value("request", "")];
    if (event == "request_sent") {
        request.service = object->value("service", "");
        request.arrivedAt = std::min(request.arrivedAt, at - absl::Milliseconds(object->value("waitedMs", 0.0)));
        const auto cause = object->value("repeatCause", "");
        if (!cause.empty()) {
            m_repeats[request.service].push_back({at, cause, request.charge});
        }
    } else if (event == "request_ended") {
        request.service = object->value("service", request.service);
        request.arrivedAt = std::min(request.arrivedAt, at - absl::Milliseconds(object->value("totalMs", 0.0)));
    } else if (event == "repeat_decided") {
        request.charge = object->value("charge", "");
        m_refused += request.charge == "refused" ? 1 : 0;
    }
}

void RepeatReport::addAll(std::istream &lines)
{
    std::string line;
    while (std::getline(lines, line)) {
        add(line);
    }
}

std::map<std::string, RepeatReport::Service> RepeatReport::services() const
{
    std::map<std::string, Service> services;
    for (const auto &[id, request] : m_requests) {
        if (!request.service.empty()) {
            services[request.service].requests.push_back(request.arrivedAt);
        }
    }
    for (const auto &[name, repeats] : m_repeats) {
        services[name].repeats = repeats;
    }
    for (auto &[name, service] : services) {
        std::sort(service.requests.begin(), service.requests.end());
        std::sort(service.repeats.begin(), service.repeats.end(),
                  [](const Repeat &left, const Repeat &right) { return left.at < right.at; });
    }
    return services;
}

RepeatFigures RepeatReport::figuresAt(const Service &service, core::Time end) const
{
    RepeatFigures figures;
    figures.begin = end - m_window;
    for (const auto &repeat : service.repeats) {
        if (repeat.at > figures.begin && repeat.at <= end) {
            ++figures.repeats;
            ++figures.causes[repeat.cause];
            ++figures.charges[repeat.charge];
        }
    }
    for (const double windowsBefore : {0.0, 0.5, 1.0}) {
        const auto until = end - m_window * windowsBefore;
        figures.requests = std::max(figures.requests, countIn(service.requests, until - m_window, until));
    }
    figures.allowed = m_ratio * static_cast<double>(figures.requests) + m_slack;
    return figures;
}

std::map<std::string, RepeatFigures> RepeatReport::nearest() const
{
    std::map<std::string, RepeatFigures> nearest;
    for (const auto &[name, service] : services()) {
        double highest = -1;
        for (const auto &repeat : service.repeats) {
            const auto figures = figuresAt(service, repeat.at);
            const double part = static_cast<double>(figures.repeats) / std::max(figures.allowed, 1.0);
            if (part > highest) {
                highest = part;
                nearest[name] = figures;
            }
        }
    }
    return nearest;
}

std::int64_t RepeatReport::refused() const noexcept
{
    return m_refused;
}

std::int64_t RepeatReport::linesLeftOut() const noexcept
{
    return m_linesLeftOut;
}

std::string RepeatReport::text() const
{
    std::string text
        = absl::StrFormat("repeated sends in the %.0f s closest to the budget (%.2f of the requests + %.0f)\n",
                          absl::ToDoubleSeconds(m_window), m_ratio, m_slack);
    for (const auto &[name, figures] : nearest()) {
        core::append(text,
                     absl::StrFormat("  %s from %s: %d repeats of %d requests, allowed %.0f;", name,
                                     absl::FormatTime("%H:%M:%E1S", figures.begin, absl::UTCTimeZone()),
                                     figures.repeats, figures.requests, figures.allowed),
                     countsText(figures.causes), "; charged to", countsText(figures.charges), "\n");
    }
    core::append(text, "  not sent because the budget was spent: ", m_refused, "\n");
    if (m_linesLeftOut > 0) {
        core::append(text, "  lines missing from the logs: ", m_linesLeftOut, " (the sums above are too low)\n");
    }
    return text;
}

} // namespace spurlug::report
