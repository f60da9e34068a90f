//----------------------------------------------------------------------------------------------------------------------
// spurlug: polling of the targets assigned to this daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/targets/observer.h"

#include "spurlug/core/rendezvous.h"

#include <absl/synchronization/blocking_counter.h>
#include <algorithm>
#include <utility>

namespace spurlug::targets
{

namespace
{

constexpr std::size_t MaxObservedTargets = 2; // More only if there are more than twice as many targets as daemons.
constexpr std::size_t PollThreads = 4;
constexpr std::size_t MaxQueuedPolls = 1024;

} // namespace

Observer::Observer(membership::Fleet &fleet, TargetTable &table, metrics::Metrics &metrics,
                   CurrentConfiguration configuration, std::string failureDomain, core::Duration interval)
    : m_fleet(fleet)
    , m_table(table)
    , m_metrics(metrics)
    , m_configuration(std::move(configuration))
    , m_failureDomain(std::move(failureDomain))
    , m_interval(interval)
    , m_pool(PollThreads, MaxQueuedPolls)
    , m_poller(std::make_unique<core::PeriodicThread>("observer", [this] { return pollRound(); }))
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

std::vector<config::TargetSpec> Observer::assignedTargets() const
{
    const auto configuration = m_configuration();
    std::vector<config::TargetSpec> local;
    std::vector<std::string> ids;
    if (!configuration) {
        return local;
    }
    for (const auto &pool : configuration->pools) {
        for (const auto &spec : pool.targets) {
            if (spec.failureDomain == m_failureDomain) {
                local.push_back(spec);
                ids.push_back(spec.id);
            }
        }
    }
    const auto assignments = core::assignByRendezvous(ids, m_fleet.roleHolders(core::now()), MaxObservedTargets);
    std::erase_if(local, [&](const auto &spec) {
        const auto assignment = assignments.find(spec.id);
        return assignment == assignments.end() || assignment->second != m_fleet.self();
    });
    return local;
}

core::Duration Observer::pollRound()
{
    const auto started = core::now();
    updateReaders(assignedTargets());
    absl::BlockingCounter pending(static_cast<int>(m_readers.size()));
    for (const auto &[id, reader] : m_readers) {
        m_pool.submit([this, id = id, reader = reader.get(), &pending] {
            poll(id, *reader);
            pending.DecrementCount();
        });
    }
    pending.Wait();
    return std::max(m_interval - (core::now() - started), absl::ZeroDuration());
}

void Observer::updateReaders(const std::vector<config::TargetSpec> &specs)
{
    Readers readers;
    for (const auto &spec : specs) {
        auto known = m_readers.find(spec.id);
        const bool reusable = known != m_readers.end() && known->second->address() == spec.address;
        readers[spec.id] = reusable ? std::move(known->second) : std::make_unique<LoadReader>(spec.address);
    }
    m_readers = std::move(readers);
    absl::MutexLock lock(&m_mutex);
    std::erase_if(m_observed, [this](const auto &item) { return !m_readers.contains(item.first); });
}

void Observer::poll(const std::string &id, LoadReader &reader)
{
    const auto readAt = core::now();
    const auto report = reader.read();
    m_metrics.count(metrics::Counter::LoadPolls);
    m_metrics.count(metrics::Counter::LoadPollBytes, reader.lastTransferBytes());
    ObservedTarget observed{report.value_or(LoadReport{}), readAt};
    if (!report) {
        observed.report.condition = TargetCondition::Unreachable;
    }
    m_table.recordReport(targetHash(id), observed.report, readAt);
    absl::MutexLock lock(&m_mutex);
    m_observed[id] = observed;
}

} // namespace spurlug::targets
