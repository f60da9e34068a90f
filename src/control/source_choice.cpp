//----------------------------------------------------------------------------------------------------------------------
// spurlug: choice of the source of configuration and target list
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/source_choice.h"

#include "spurlug/core/rendezvous.h"

#include <algorithm>

namespace spurlug::control
{

namespace
{

/// Interval between queries. It adds up to a third of a second to the age of a proof; API keys are accepted for
/// 3.75 s without a newer proof.
constexpr auto QuestionPause = absl::Milliseconds(300);
constexpr auto AnswerTimeout = absl::Milliseconds(120); ///< A round trip takes some ms; small VMs answer in 50 ms.
constexpr auto PassedOverFor = absl::Seconds(2);
/// A source whose data is older than this is skipped. The data of a reader gets as old as two of its long polls of the
/// directory, 1.2 s.
constexpr auto OldAfter = absl::Milliseconds(1700);
/// Minimum age of the other daemons' data at which this daemon reads the directory itself.
constexpr auto LeastPatience = absl::Milliseconds(2000);
/// A starting daemon does not read the directory itself for this long: it learns of a reader within some tens of ms if
/// there is one.
constexpr auto StartPatience = absl::Milliseconds(300);
/// A starting daemon gets the first answer to its heartbeats within this time if any other daemon is up; it then knows
/// the reader.
constexpr auto FirstAnswerSpan = absl::Milliseconds(40);
constexpr int UnansweredWhenCutOff = 3; ///< Usually readers of three failure domains.
/// Upper bound of the random delay added to LeastPatience, per daemon of the fleet; it spreads their calls.
constexpr auto PatienceForEach = absl::Milliseconds(8);

} // namespace

SourceChoice::SourceChoice(const Roster &roster, std::string failureDomain, int readersPerDomain, std::uint64_t seed,
                           core::Time startedAt)
    : m_roster(roster)
    , m_failureDomain(std::move(failureDomain))
    , m_readersPerDomain(static_cast<std::size_t>(readersPerDomain))
    , m_random(seed)
    , m_startedAt(startedAt)
    , m_freshAt(startedAt - LeastPatience + StartPatience)
    , m_patience(LeastPatience)
{ }

bool SourceChoice::isolated() const noexcept
{
    return m_unanswered >= UnansweredWhenCutOff;
}

bool SourceChoice::isReader() const
{
    return m_roster.holdsAtHome(Role::Reader, m_readersPerDomain);
}

bool SourceChoice::readsItself(core::Time now) const
{
    if (m_roster.size() <= 1 && now - m_startedAt < FirstAnswerSpan) {
        return false;
    }
    return isReader() || now - m_freshAt > m_patience;
}

std::vector<Member> SourceChoice::sources() const
{
    auto all = m_roster.holdersIn(m_failureDomain, Role::Reader, m_readersPerDomain);
    // Daemons of one failure domain try the other domains in different orders, which spreads the load of a lost domain.
    const auto domains = core::rankByRendezvous(m_roster.self(), m_roster.failureDomains());
    for (const auto &domain : domains) {
        if (domain != m_failureDomain) {
            const auto there = m_roster.holdersIn(domain, Role::Reader, 1);
            all.insert(all.end(), there.begin(), there.end());
        }
    }
    return all;
}

std::optional<Member> SourceChoice::source(core::Time now) const
{
    for (auto &member : sources()) {
        const auto passed = m_passedOverUntil.find(member.vm);
        const bool passedOver = passed != m_passedOverUntil.end() && now < passed->second;
        if (member.vm != m_roster.self() && !passedOver) {
            return std::move(member);
        }
    }
    return std::nullopt;
}

void SourceChoice::passOver(const std::string &vm, core::Time now)
{
    m_passedOverUntil[vm] = now + PassedOverFor;
}

std::optional<SourceQuestion> SourceChoice::next(core::Time ownContact, core::Time now)
{
    if (isReader() && now - ownContact <= OldAfter) {
        return std::nullopt; // This daemon's own data is recent.
    }
    if (m_asked.open && now - m_asked.at >= AnswerTimeout) {
        m_asked.open = false;
        ++m_unanswered;
        passOver(m_asked.vm, now);
    } else if (now - m_asked.at < QuestionPause) {
        return std::nullopt;
    }
    auto chosen = source(now);
    if (!chosen) {
        return std::nullopt;
    }
    m_asked = {chosen->vm, m_asked.number + 1, now, true};
    return SourceQuestion{std::move(*chosen), m_asked.number};
}

std::optional<core::Time> SourceChoice::answered(const ProofAnswer &answer, core::Time now)
{
    if (!m_asked.open || answer.number != m_asked.number || answer.vm != m_asked.vm) {
        return std::nullopt;
    }
    m_asked.open = false;
    m_unanswered = 0;
    const auto askedAt = m_asked.at;
    const auto freshAt = askedAt - answer.contactAge;
    if (now - freshAt > OldAfter) {
        passOver(answer.vm, now);
        m_asked.at = absl::InfinitePast(); // The next source is asked at once.
    }
    if (freshAt > m_freshAt) {
        m_freshAt = freshAt;
        const auto spread = PatienceForEach * static_cast<double>(m_roster.size());
        m_patience = LeastPatience + spread * std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    return askedAt;
}

} // namespace spurlug::control
