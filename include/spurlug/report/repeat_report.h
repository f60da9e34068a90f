//----------------------------------------------------------------------------------------------------------------------
// spurlug: repeated sends of a whole fleet against their bound, from its logs
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

/// \brief The window in which a service came nearest to the bound on repeated sends.
struct RepeatFigures
{
    core::Time begin = absl::InfinitePast(); ///< Of the window.
    std::int64_t repeats = 0; ///< Sends beyond the first of their request, of all daemons.
    /// Requests of that window, of the one before it, or of the one half a window before it: the most of the three.
    std::int64_t requests = 0;
    double allowed = 0; ///< Repeats.
    Counts causes; ///< Of the repeats: why the attempt before failed.
    Counts charges; ///< Of the repeats: what they were charged to.
};

/// \brief Sums repeated sends over the logs of all daemons of a fleet. No daemon knows this sum: each keeps to its own
/// part. The bound is the one that daemons log when they start.
class RepeatReport
{
public:
    /// \brief Takes one line; lines that tell nothing of requests or of the bound are passed over.
    void add(std::string_view line);
    /// \brief Takes all lines of a file.
    void addAll(std::istream &lines);

    /// \brief The window nearest to the bound, by service.
    [[nodiscard]] std::map<std::string, RepeatFigures> nearest() const;
    /// \brief Repeats that daemons did not send for the bound's sake.
    [[nodiscard]] std::int64_t refused() const noexcept;
    /// \brief Lines that daemons left out of their logs and that may have told of requests: the sums are too low by
    /// them.
    [[nodiscard]] std::int64_t linesLeftOut() const noexcept;
    /// \brief A table for people.
    [[nodiscard]] std::string text() const;

private:
    struct Repeat
    {
        core::Time at;
        std::string cause;
        std::string charge;
    };

    struct Request
    {
        core::Time arrivedAt = absl::InfiniteFuture();
        std::string service;
        std::string charge; ///< Of the repeat that was decided last.
    };

    struct Service
    {
        std::vector<core::Time> requests;
        std::vector<Repeat> repeats;
    };

    [[nodiscard]] std::map<std::string, Service> services() const;
    [[nodiscard]] RepeatFigures figuresAt(const Service &service, core::Time end) const;

    double m_ratio = 0;
    double m_slack = 0;
    core::Duration m_window = absl::ZeroDuration(); ///< Zero: no daemon told the bound.
    std::unordered_map<std::string, Request> m_requests;
    std::map<std::string, std::vector<Repeat>> m_repeats; ///< By service.
    std::int64_t m_refused = 0;
    std::int64_t m_linesLeftOut = 0;
};

} // namespace spurlug::report
