//----------------------------------------------------------------------------------------------------------------------
// spurlug: choice of the source of configuration and target list
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/source_selector.h"

#include "spurlug/core/rendezvous.h"

#include <algorithm>

namespace spurlug::control
{

namespace
{

/// Interval between queries. It adds up to a third of a second to the age of a proof; API keys are accepted for
/// 3.75 s without a newer proof.
constexpr auto QueryInterval = absl::Milliseconds(300);
constexpr auto AnswerTimeout = absl::Milliseconds(120); ///< A round trip takes some ms; small VMs answer in 50 ms.
constexpr auto SkipDuration = absl::Seconds(2);
/// A source whose data is older than this is skipped. The data of a reader gets as old as two of its long polls of the
/// directory, 1.2 s.
constexpr auto MaxSourceAge = absl::Milliseconds(1700);
/// Minimum age of the other daemons' data at which this daemon reads the directory itself.
constexpr auto MinTakeoverAge = absl::Milliseconds(2000);
/// A starting daemon does not read the directory itself for this long: it learns of a reader within some tens of ms if
/// there is one.
constexpr auto StartupGrace = absl::Milliseconds(300);
/// A starting daemon gets the first answer to its heartbeats within this time if any other daemon is up; it then knows
/// the reader.
constexpr auto FirstHeartbeatTimeout = absl::Milliseconds(40);
constexpr int TimeoutsWhenIsolated = 3; ///< Usually readers of three failure domains.
/// Upper bound of the random delay added to MinTakeoverAge, per daemon of the fleet; it spreads their calls.
constexpr auto TakeoverDelayPerDaemon = absl::Milliseconds(8);

} // namespace

SourceSelector::SourceSelector(const Roster &roster, std::string failureDomain, int readersPerDomain,
                               std::uint64_t seed, core::Time startedAt)
    : m_roster(roster)
    , m_failureDomain(std::move(failureDomain))
    , m_readersPerDomain(static_cast<std::size_t>(readersPerDomain))
    , m_random(seed)
    , m_startedAt(startedAt)
    , m_freshAt(startedAt - MinTakeoverAge + StartupGrace)
    , m_takeoverAge(MinTakeoverAge)
{ }

bool SourceSelector::isolated() const noexcept
{
    return m_timeouts >= TimeoutsWhenIsolated;
}

bool SourceSelector::isReader() const
{
    return m_roster.holdsLocally(Role::DirectoryReader, m_readersPerDomain);
}

bool SourceSelector::readsDirectory(core::Time now) const
{
    if (m_roster.size() <= 1 && now - m_startedAt < FirstHeartbeatTimeout) {
        return false;
    }
    return isReader() || now - m_freshAt > m_takeoverAge;
}

std::vector<Member> SourceSelector::candidates() const
{
    auto all = m_roster.holdersIn(m_failureDomain, Role::DirectoryReader, m_readersPerDomain);
    // Daemons of one failure domain try the other domains in different orders, which spreads the load of a lost domain.
    const auto domains = core::rankByRendezvous(m_roster.self(), m_roster.failureDomains());
    for (const auto &domain : domains) {
        if (domain != m_failureDomain) {
            const auto readers = m_roster.holdersIn(domain, Role::DirectoryReader, 1);
            all.insert(all.end(), readers.begin(), readers.end());
        }
    }
    return all;
}

std::optional<Member> SourceSelector::chooseSource(core::Time now) const
{
    for (auto &member : candidates()) {
        const auto skipped = m_skippedUntil.find(member.vm);
        const bool isSkipped = skipped != m_skippedUntil.end() && now < skipped->second;
        if (member.vm != m_roster.self() && !isSkipped) {
            return std::move(member);
        }
    }
    return std::nullopt;
}

void SourceSelector::skipSource(const std::string &vm, core::Time now)
{
    m_skippedUntil[vm] = now + SkipDuration;
}

std::optional<SourceQuery> SourceSelector::nextQuery(core::Time lastDirectoryContact, core::Time now)
{
    if (isReader() && now - lastDirectoryContact <= MaxSourceAge) {
        return std::nullopt; // This daemon's own data is recent.
    }
    if (m_query.pending && now - m_query.sentAt >= AnswerTimeout) {
        m_query.pending = false;
        ++m_timeouts;
        skipSource(m_query.vm, now);
    } else if (now - m_query.sentAt < QueryInterval) {
        return std::nullopt;
    }
    auto chosen = chooseSource(now);
    if (!chosen) {
        return std::nullopt;
    }
    m_query = {chosen->vm, m_query.number + 1, now, true};
    return SourceQuery{std::move(*chosen), m_query.number};
}

std::optional<core::Time> SourceSelector::handleReply(const FreshnessReply &reply, core::Time now)
{
    if (!m_query.pending || reply.number != m_query.number || reply.vm != m_query.vm) {
        return std::nullopt;
    }
    m_query.pending = false;
    m_timeouts = 0;
    const auto sentAt = m_query.sentAt;
    const auto freshAt = sentAt - reply.directoryContactAge;
    if (now - freshAt > MaxSourceAge) {
        skipSource(reply.vm, now);
        m_query.sentAt = absl::InfinitePast(); // The next source is asked at once.
    }
    if (freshAt > m_freshAt) {
        m_freshAt = freshAt;
        const auto maxDelay = TakeoverDelayPerDaemon * static_cast<double>(m_roster.size());
        m_takeoverAge = MinTakeoverAge + maxDelay * std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    return sentAt;
}

} // namespace spurlug::control
