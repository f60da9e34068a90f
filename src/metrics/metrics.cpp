//----------------------------------------------------------------------------------------------------------------------
// spurlug: counters, gauges and timers of a daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/metrics/metrics.h"

#include "spurlug/core/text.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <vector>

namespace spurlug::metrics
{

namespace acc = boost::accumulators;

namespace
{

constexpr std::array Probabilities{0.5, 0.95, 0.99};

template<typename Enum>
std::size_t indexOf(Enum value) noexcept
{
    return static_cast<std::size_t>(value);
}

void appendLine(std::string &text, std::string_view name, std::string_view labels, double value)
{
    core::append(text, "spurlug_", name, labels, " ", value, "\n");
}

std::string label(std::string_view key, std::string_view value)
{
    return core::cat("{", key, "=\"", value, "\"}");
}

template<core::NamedEnum Enum, typename Values>
void appendByName(std::string &text, std::string_view name, std::string_view key, const Values &values)
{
    core::append(text, "# TYPE spurlug_", name, " counter\n");
    for (const auto &row : core::EnumNames<Enum>::table) {
        appendLine(text, name, label(key, row.name), static_cast<double>(values[indexOf(row.value)].load()));
    }
}

} // namespace

Timer firstTokenTimer(std::int64_t tokens) noexcept
{
    constexpr std::int64_t MediumPromptTokens = 4'000;
    constexpr std::int64_t LargePromptTokens = 16'000;
    constexpr std::int64_t HugePromptTokens = 100'000;
    if (tokens >= HugePromptTokens) {
        return Timer::FirstToken100k;
    }
    if (tokens >= LargePromptTokens) {
        return Timer::FirstToken16k;
    }
    return tokens >= MediumPromptTokens ? Timer::FirstToken4k : Timer::FirstToken1k;
}

struct Metrics::Quantiles
{
    using Set = acc::accumulator_set<
        double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::extended_p_square_quantile>>;
    Set set{acc::extended_p_square_probabilities = Probabilities};
};

Metrics::Metrics()
{
    for (const auto &row : core::EnumNames<Timer>::table) {
        m_timers[row.value] = std::make_unique<Quantiles>();
    }
}

Metrics::~Metrics() = default;

void Metrics::count(Counter counter, std::int64_t by) noexcept
{
    m_counters[indexOf(counter)] += by;
}

void Metrics::countRefusal(core::Reason reason) noexcept
{
    ++m_refusals[indexOf(reason)];
}

void Metrics::countRetry(core::Reason reason) noexcept
{
    ++m_retries[indexOf(reason)];
}

void Metrics::countEnd(core::Outcome outcome, core::Reason reason) noexcept
{
    ++m_outcomes[indexOf(outcome)];
    if (outcome != core::Outcome::Completed) {
        ++m_failures[indexOf(reason)];
    }
}

void Metrics::addSample(Timer timer, core::Duration span)
{
    absl::MutexLock lock(&m_mutex);
    m_timers.at(timer)->set(absl::ToDoubleSeconds(span));
}

void Metrics::setGauge(const std::string &name, double value)
{
    absl::MutexLock lock(&m_mutex);
    m_gauges[name] = value;
}

std::int64_t Metrics::value(Counter counter) const noexcept
{
    return m_counters[indexOf(counter)];
}

std::int64_t Metrics::refusals(core::Reason reason) const noexcept
{
    return m_refusals[indexOf(reason)];
}

std::int64_t Metrics::retries(core::Reason reason) const noexcept
{
    return m_retries[indexOf(reason)];
}

std::string Metrics::prometheusText() const
{
    std::string text;
    for (const auto &row : core::EnumNames<Counter>::table) {
        core::append(text, "# TYPE spurlug_", row.name, "_total counter\n");
        appendLine(text, core::cat(row.name, "_total"), "", static_cast<double>(value(row.value)));
    }
    appendByName<core::Reason>(text, "refusals_total", "reason", m_refusals);
    appendByName<core::Reason>(text, "retries_total", "reason", m_retries);
    appendByName<core::Reason>(text, "failures_total", "reason", m_failures);
    appendByName<core::Outcome>(text, "requests_ended_total", "outcome", m_outcomes);
    absl::MutexLock lock(&m_mutex);
    for (const auto &[timer, quantiles] : m_timers) {
        const auto name = core::nameOf(timer);
        core::append(text, "# TYPE spurlug_", name, " summary\n");
        const auto count = acc::count(quantiles->set);
        for (const double probability : Probabilities) {
            const double value
                = count == 0 ? 0 : acc::quantile(quantiles->set, acc::quantile_probability = probability);
            appendLine(text, name, label("quantile", core::cat(probability)), value);
        }
        appendLine(text, core::cat(name, "_sum"), "", acc::sum(quantiles->set));
        appendLine(text, core::cat(name, "_count"), "", static_cast<double>(count));
    }
    for (const auto &[name, value] : m_gauges) {
        core::append(text, "# TYPE spurlug_", name, " gauge\n");
        appendLine(text, name, "", value);
    }
    return text;
}

} // namespace spurlug::metrics
