//----------------------------------------------------------------------------------------------------------------------
// spurlug: known targets with their health and the work that this daemon and its peers have at each
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_set.h"

#include <algorithm>
#include <utility>

namespace spurlug::relay
{

namespace
{

/// Minimum share of a prompt's prefill time that counts as remaining until the first event arrives. If the first event
/// is late, the engines have more prefill queued than was known, and the amount is unknown. Values from 0.35 to 0.7
/// make no difference (docs/BENANGJAYA.md). If several engines prefill the prompt, any one of them may cause the delay,
/// so the share is divided by their number: a part that is stuck at one engine must not keep work away from fifteen
/// others.
constexpr double LeastUnread = 0.5;
/// A peer's report is valid for this long; peers repeat it with each heartbeat while it holds.
constexpr auto ReportLife = absl::Milliseconds(1200);
/// A daemon that cannot reach more than this share of all targets is assumed to be cut off itself.
constexpr double MostReportedShare = 0.2;

/// Remaining time, us, of prefill that takes `micros` in total and has a due time, at one of several engines.
std::int64_t unread(std::int64_t micros, core::Time expected, core::Time now, std::size_t engines)
{
    const auto share = LeastUnread / static_cast<double>(engines);
    const auto least = static_cast<std::int64_t>(static_cast<double>(micros) * share);
    return std::clamp(absl::ToInt64Microseconds(expected - now), least, micros);
}

constexpr auto FirstHelpPause = absl::Milliseconds(300); ///< A full engine completes its queued prefill in less time.
/// A crashed engine is back after some seconds; only one prompt asks it in each backoff period.
constexpr auto LongestHelpPause = absl::Milliseconds(1200);
/// A queue outlasts this pause. The pause does not grow: doubling it up to 1.6 s gained 0.013 of the worth where some
/// targets refuse everything, and never improved results for an overloaded fleet.
constexpr auto FullPause = absl::Milliseconds(200);
/// The number of consecutive refusals is reset this long after a backoff period ended.
constexpr auto PauseRemembered = absl::Seconds(4);

} // namespace

void RefusalPause::refused(core::Time now) noexcept
{
    if (lasts(now)) {
        return; // Asked before the first refusal was known.
    }
    m_inARow = now - m_until > PauseRemembered ? 0 : m_inARow;
    const auto pause = m_first * (1 << m_inARow);
    m_until = now + std::min(pause, m_longest);
    m_inARow = pause < m_longest ? m_inARow + 1 : m_inARow;
}

LifeWatch::LifeWatch(const core::Ref<Target> &target, Tell tell)
    : m_tell(std::move(tell))
{
    if (target->over()) {
        m_tell(target);
        return;
    }
    target->m_watches.push_back(*this);
}

Share::Share(core::Ref<Target> target, Kind kind, const Outstanding &work, core::Time sentAt, core::Time expected,
             bool tight, std::size_t engines)
    : m_target(std::move(target))
    , m_kind(kind)
    , m_work(work)
    , m_sentAt(sentAt)
    , m_expected(expected)
    , m_tight(tight)
    , m_engines(engines)
{
    m_target->m_shares.push_back(*this);
}

void Share::promptRead() noexcept
{
    m_reading = false;
}

Outstanding Share::work(core::Time now) const noexcept
{
    auto work = m_work;
    work.tightRequests = m_tight ? 1 : 0;
    if (m_reading) {
        work.readMicros = unread(work.readMicros, m_expected, now, m_engines);
        work.partMicros = unread(work.partMicros, m_expected, now, m_engines);
        return work;
    }
    work.readMicros = 0;
    work.partMicros = 0;
    if (m_kind == Kind::Request) {
        work.writers = 1;
        work.contextTokens = work.memoryTokens;
    } else {
        work.parts = 0;
    }
    return work;
}

const core::Ref<Target> &Share::target() const noexcept
{
    return m_target;
}

core::Time Share::sentAt() const noexcept
{
    return m_sentAt;
}

core::Time Share::readingDueAt() const noexcept
{
    return m_reading ? m_expected : absl::InfinitePast();
}

PeerShare::PeerShare(core::Ref<Target> target, const Outstanding &work, core::Time dueAt)
    : m_target(std::move(target))
    , m_work(work)
    , m_dueAt(dueAt)
{
    m_target->m_peerShares.push_back(*this);
}

Outstanding PeerShare::work(core::Time now) const noexcept
{
    auto work = m_work;
    work.readMicros = unread(work.readMicros, m_dueAt, now, 1); // The peer reported the time left at this engine.
    work.partMicros = unread(work.partMicros, m_dueAt, now, 1);
    return work;
}

Target::Target(TargetEntry entry)
    : entry(std::move(entry))
    , hash(lifeHash(this->entry.life()))
    , helpPause(FirstHelpPause, LongestHelpPause)
    , fullPause(FullPause, FullPause)
    , m_leaving(this->entry.draining)
{ }

Outstanding Target::own(core::Time now) const noexcept
{
    Outstanding sum;
    for (const auto &share : m_shares) {
        sum += share.work(now);
    }
    return sum;
}

core::Time Target::ownDueAt() const noexcept
{
    auto due = absl::InfinitePast();
    for (const auto &share : m_shares) {
        due = std::max(due, share.readingDueAt());
    }
    return due;
}

Outstanding Target::peers(core::Time now) const noexcept
{
    Outstanding sum;
    for (const auto &share : m_peerShares) {
        sum += share.work(now);
    }
    return sum;
}

Outstanding Target::load(core::Time now) const noexcept
{
    auto sum = own(now);
    sum += peers(now);
    return sum;
}

bool contains(const std::vector<std::uint32_t> &hashes, std::uint32_t hash) noexcept
{
    return std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
}

std::optional<core::Reason> unwantedNow(const Target &target, core::Time now) noexcept
{
    if (!target.serves(now)) {
        return core::Reason::TargetLeaving;
    }
    if (target.evacuated()) {
        return core::Reason::DomainsEvacuated;
    }
    return target.cooldown().lasts(now) ? std::optional(core::Reason::TargetsCoolingDown) : std::nullopt;
}

EntryNews TargetSet::put(const TargetEntry &entry)
{
    auto &target = m_targets[entry.id];
    if (target && entry.startMs < target->entry.startMs) {
        return EntryNews::Outdated;
    }
    const bool restarted = target && entry.startMs > target->entry.startMs;
    if (!target || restarted) {
        if (restarted) {
            end(*target);
            m_byHash.erase(target->hash);
            std::erase(m_leavingUnlisted, target);
        }
        // Attempts in progress keep the earlier incarnation, which can no longer be looked up.
        target = core::makeCounted<Target>(entry);
        target->m_evacuated = m_evacuated.contains(entry.failureDomain);
        m_byHash[target->hash] = target;
        return restarted ? EntryNews::Restarted : EntryNews::Added;
    }
    target->entry = entry;
    target->m_evacuated = m_evacuated.contains(entry.failureDomain);
    target->m_leaving = target->m_leaving || entry.draining;
    target->dropAt = absl::InfiniteFuture();
    target->fault.clear();
    sortByLeaving(*target);
    return EntryNews::Updated;
}

void TargetSet::sortByLeaving(Target &target)
{
    std::erase_if(m_leavingUnlisted, [&target](const auto &known) { return known == &target; });
    if (target.m_leaving && !target.entry.draining && target.dropAt == absl::InfiniteFuture()) {
        m_leavingUnlisted.emplace_back(&target);
    }
}

bool TargetSet::end(Target &target)
{
    if (std::exchange(target.m_over, true)) {
        return false;
    }
    noteLeaving(target);
    const core::Ref<Target> ended(&target);
    while (!target.m_watches.empty()) {
        auto &watch = target.m_watches.front();
        target.m_watches.pop_front();
        watch.m_tell(ended);
    }
    return true;
}

bool TargetSet::noteLeaving(Target &target)
{
    const bool isNews = !std::exchange(target.m_leaving, true);
    sortByLeaving(target);
    return isNews;
}

TargetSet::Targets TargetSet::noteLeaving(const std::vector<std::uint32_t> &hashes)
{
    Targets fresh;
    for (const auto hash : hashes) {
        const auto target = withHash(hash);
        if (target && noteLeaving(*target)) {
            fresh.push_back(target);
        }
    }
    return fresh;
}

void TargetSet::evacuate(const std::set<std::string> &failureDomains)
{
    m_evacuated = failureDomains;
    for (const auto &[id, target] : m_targets) {
        target->m_evacuated = m_evacuated.contains(target->entry.failureDomain);
    }
}

void TargetSet::noteCooldown(Target &target, core::Duration span, core::Time now)
{
    std::erase_if(m_coolingDown, [&](const auto &known) { return !known->cooldown().lasts(now) || known == &target; });
    target.m_cooldown.ask(span, now);
    m_coolingDown.emplace_back(&target);
}

void TargetSet::drop(const std::string &id, core::Time dropAt)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second->dropAt = std::min(found->second->dropAt, dropAt);
        sortByLeaving(*found->second);
    }
}

void TargetSet::withdraw(const std::string &id, const std::string &fault)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second->fault = fault;
    }
}

void TargetSet::forgetGone(core::Time now)
{
    constexpr auto KeptAfterwards = absl::Seconds(30); // Responses in progress may still refer to them.
    /// An expired entry may be rewritten: an incarnation that announced its shutdown must not come back as a new
    /// target.
    constexpr auto LeavingKeptAfterwards = absl::Minutes(10);
    std::erase_if(m_targets, [&](const auto &item) {
        const auto &target = item.second;
        const auto kept = target->leaving() ? core::Duration(LeavingKeptAfterwards) : core::Duration(KeptAfterwards);
        const bool old = now - kept > target->dropAt;
        if (old && target->own(now) == Outstanding{}) {
            m_byHash.erase(target->hash);
            return true;
        }
        return false;
    });
}

void TargetSet::peerWork(const std::string &peer, const std::vector<TargetWork> &works, core::Time now)
{
    auto &kept = m_peerWorks[peer];
    kept.clear();
    for (const auto &work : works) {
        if (const auto target = withHash(work.target)) {
            const auto dueAt = now + absl::Microseconds(work.dueMicros);
            kept.push_back(std::make_unique<PeerShare>(target, work.work, dueAt));
        }
    }
}

void TargetSet::forgetPeer(const std::string &peer)
{
    m_peerWorks.erase(peer);
}

TargetSet::Targets TargetSet::peerReport(const std::vector<std::uint32_t> &unreachable, core::Time now)
{
    Targets fresh;
    const auto most = std::max(1.0, static_cast<double>(m_targets.size()) * MostReportedShare);
    if (static_cast<double>(unreachable.size()) > most) {
        return fresh;
    }
    for (const auto hash : unreachable) {
        const auto found = m_byHash.find(hash);
        if (found == m_byHash.end()) {
            continue;
        }
        if (found->second->reportedUntil < now) {
            fresh.push_back(found->second);
        }
        found->second->reportedUntil = now + ReportLife;
    }
    return fresh;
}

std::vector<std::uint32_t> TargetSet::unwantedHere(core::Time now) const
{
    auto hashes = leavingUnlisted();
    for (const auto &target : m_coolingDown) {
        if (target->cooldown().lasts(now)) {
            hashes.push_back(target->hash);
        }
    }
    return hashes;
}

bool TargetSet::someLimited() const noexcept
{
    return std::any_of(m_targets.begin(), m_targets.end(),
                       [](const auto &item) { return item.second->rateLimit.perSecond().has_value(); });
}

std::vector<std::uint32_t> TargetSet::leavingUnlisted() const
{
    std::vector<std::uint32_t> hashes;
    for (const auto &target : m_leavingUnlisted) {
        hashes.push_back(target->hash);
    }
    return hashes;
}

std::vector<std::uint32_t> TargetSet::unreachable(core::Time now) const
{
    std::vector<std::uint32_t> hashes;
    for (const auto &[hash, target] : m_byHash) {
        if (target->listed(now) && target->health.unreachable()) {
            hashes.push_back(hash);
        }
    }
    return hashes;
}

TargetSet::Targets TargetSet::listed(const std::string &service, core::Time now) const
{
    Targets found;
    for (const auto &[id, target] : m_targets) {
        if (target->entry.service == service && target->listed(now)) {
            found.push_back(target);
        }
    }
    std::sort(found.begin(), found.end(),
              [](const auto &left, const auto &right) { return left->entry.id < right->entry.id; });
    return found;
}

bool TargetSet::allEvacuated(const std::string &service, core::Time now) const
{
    bool some = false;
    for (const auto &[id, target] : m_targets) {
        if (target->entry.service == service && target->serves(now)) {
            some = true;
            if (!target->evacuated()) {
                return false;
            }
        }
    }
    return some;
}

core::Ref<Target> TargetSet::find(const std::string &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : found->second;
}

core::Ref<Target> TargetSet::withHash(std::uint32_t hash) const
{
    const auto found = m_byHash.find(hash);
    return found == m_byHash.end() ? nullptr : found->second;
}

core::Ref<Target> TargetSet::at(const core::Address &address, core::Time now) const
{
    for (const auto &[id, target] : m_targets) {
        if (target->entry.address == address && target->listed(now)) {
            return target;
        }
    }
    return nullptr;
}

std::vector<TargetWork> TargetSet::ownWork(core::Time now) const
{
    std::vector<TargetWork> works;
    for (const auto &[hash, target] : m_byHash) {
        const auto own = target->own(now);
        if (own != Outstanding{}) {
            const auto due = std::max(target->ownDueAt() - now, absl::ZeroDuration());
            works.push_back({hash, own, absl::ToInt64Microseconds(due)});
        }
    }
    return works;
}

const std::unordered_map<std::string, core::Ref<Target>> &TargetSet::all() const noexcept
{
    return m_targets;
}

} // namespace spurlug::relay
