//----------------------------------------------------------------------------------------------------------------------
// spurlug: reads the load of the targets that this daemon observes
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/targets/observer.h"

#include "spurlug/core/rendezvous.h"
#include "spurlug/core/text.h"
#include "spurlug/targets/engine_control.h"

#include <absl/synchronization/blocking_counter.h>
#include <algorithm>
#include <utility>

namespace spurlug::targets
{

namespace
{

constexpr std::size_t PollThreads = 4;
constexpr std::size_t MostQueuedPolls = 1024;

} // namespace

Observer::Observer(membership::Fleet &fleet, TargetTable &table, CurrentConfiguration configuration,
                   std::string failureDomain, core::Duration interval)
    : m_fleet(fleet)
    , m_table(table)
    , m_configuration(std::move(configuration))
    , m_failureDomain(std::move(failureDomain))
    , m_interval(interval)
    , m_pool(PollThreads, MostQueuedPolls)
    , m_poller(std::make_unique<core::Periodic>("observer", [this] { return pollRound(); }))
{ }

Observer::~Observer()
{
    m_poller.reset();
}

std::vector<membership::ObservedLoad> Observer::ownLoads(core::Time now) const
{
    std::vector<membership::ObservedLoad> loads;
    absl::MutexLock lock(&m_mutex);
    for (const auto &[id, observed] : m_observed) {
        loads.push_back({targetHash(id), observed.report, now - observed.readAt});
    }
    return loads;
}

std::vector<config::TargetSpec> Observer::assigned() const
{
    std::vector<config::TargetSpec> specs;
    const auto configuration = m_configuration();
    if (!configuration) {
        return specs;
    }
    const auto now = core::now();
    const auto take = [&](const config::TargetSpec &spec) {
        if (spec.failureDomain == m_failureDomain
            && m_fleet.holder(core::cat("target:", spec.id), now) == m_fleet.self()) {
            specs.push_back(spec);
        }
    };
    for (const auto &pool : configuration->pools) {
        std::for_each(pool.targets.begin(), pool.targets.end(), take);
    }
    return specs;
}

core::Duration Observer::pollRound()
{
    const auto started = core::now();
    const auto specs = assigned();
    {
        absl::MutexLock lock(&m_mutex);
        std::erase_if(m_observed, [&](const auto &item) {
            return std::none_of(specs.begin(), specs.end(), [&](const auto &spec) { return spec.id == item.first; });
        });
    }
    absl::BlockingCounter pending(static_cast<int>(specs.size()));
    for (const auto &spec : specs) {
        m_pool.run([this, &spec, &pending] {
            poll(spec);
            pending.DecrementCount();
        });
    }
    pending.Wait();
    return std::max(m_interval - (core::now() - started), absl::ZeroDuration());
}

void Observer::poll(const config::TargetSpec &spec)
{
    const auto readAt = core::now();
    const auto report = EngineControl(spec.address).load();
    Observed observed{report.value_or(LoadReport{}), readAt};
    if (!report) {
        observed.report.condition = TargetCondition::Unreachable;
    }
    m_table.report(targetHash(spec.id), observed.report, readAt);
    absl::MutexLock lock(&m_mutex);
    m_observed[spec.id] = observed;
}

} // namespace spurlug::targets
