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
constexpr double MinRemainingShare = 0.5;
/// A peer's report is valid for this long; peers repeat it with each heartbeat while it holds.
constexpr auto ReportLifetime = absl::Milliseconds(1200);
/// A daemon that cannot reach more than this share of all targets is assumed to be cut off itself.
constexpr double MaxReportedShare = 0.2;

/// Remaining time, us, of prefill that takes `micros` in total and has a due time, at one of several engines.
std::int64_t remainingPrefill(std::int64_t micros, core::Time dueAt, core::Time now, std::size_t engines)
{
    const auto share = MinRemainingShare / static_cast<double>(engines);
    const auto minRemaining = static_cast<std::int64_t>(static_cast<double>(micros) * share);
    return std::clamp(absl::ToInt64Microseconds(dueAt - now), minRemaining, micros);
}

constexpr auto InitialHelpBackoff
    = absl::Milliseconds(300); ///< A full engine completes its queued prefill in less time.
/// A crashed engine is back after some seconds; only one prompt asks it in each backoff period.
constexpr auto MaxHelpBackoff = absl::Milliseconds(1200);
/// A queue outlasts this pause. The pause does not grow: doubling it up to 1.6 s gained 0.013 of the worth where some
/// targets refuse everything, and never improved results for an overloaded fleet.
constexpr auto RequestRefusalBackoff = absl::Milliseconds(200);
/// The number of consecutive refusals is reset this long after a backoff period ended.
constexpr auto RefusalResetTime = absl::Seconds(4);

} // namespace

void RefusalBackoff::noteRefusal(core::Time now) noexcept
{
    if (isActive(now)) {
        return; // Asked before the first refusal was known.
    }
    m_consecutiveRefusals = now - m_until > RefusalResetTime ? 0 : m_consecutiveRefusals;
    const auto delay = m_initialDelay * (1 << m_consecutiveRefusals);
    m_until = now + std::min(delay, m_maxDelay);
    m_consecutiveRefusals = delay < m_maxDelay ? m_consecutiveRefusals + 1 : m_consecutiveRefusals;
}

IncarnationWatch::IncarnationWatch(const core::Ref<Target> &target, Callback callback)
    : m_callback(std::move(callback))
{
    if (target->hasEnded()) {
        m_callback(target);
        return;
    }
    target->m_watches.push_back(*this);
}

LocalWork::LocalWork(core::Ref<Target> target, Kind kind, const Outstanding &work, core::Time sentAt, core::Time dueAt,
                     bool shortGaps, std::size_t engines)
    : m_target(std::move(target))
    , m_kind(kind)
    , m_work(work)
    , m_sentAt(sentAt)
    , m_dueAt(dueAt)
    , m_shortGaps(shortGaps)
    , m_engines(engines)
{
    m_target->m_localWorks.push_back(*this);
}

void LocalWork::notePrefillDone() noexcept
{
    m_prefilling = false;
}

Outstanding LocalWork::work(core::Time now) const noexcept
{
    auto work = m_work;
    work.shortGapRequests = m_shortGaps ? 1 : 0;
    if (m_prefilling) {
        work.prefillMicros = remainingPrefill(work.prefillMicros, m_dueAt, now, m_engines);
        work.partPrefillMicros = remainingPrefill(work.partPrefillMicros, m_dueAt, now, m_engines);
        return work;
    }
    work.prefillMicros = 0;
    work.partPrefillMicros = 0;
    if (m_kind == Kind::Request) {
        work.decodingRequests = 1;
        work.decodingContextTokens = work.memoryTokens;
    } else {
        work.prefillParts = 0;
    }
    return work;
}

const core::Ref<Target> &LocalWork::target() const noexcept
{
    return m_target;
}

core::Time LocalWork::sentAt() const noexcept
{
    return m_sentAt;
}

core::Time LocalWork::prefillDueAt() const noexcept
{
    return m_prefilling ? m_dueAt : absl::InfinitePast();
}

PeerWork::PeerWork(core::Ref<Target> target, const Outstanding &work, core::Time dueAt)
    : m_target(std::move(target))
    , m_work(work)
    , m_dueAt(dueAt)
{
    m_target->m_peerWorks.push_back(*this);
}

Outstanding PeerWork::work(core::Time now) const noexcept
{
    auto work = m_work;
    work.prefillMicros
        = remainingPrefill(work.prefillMicros, m_dueAt, now, 1); // The peer reported the time left at this engine.
    work.partPrefillMicros = remainingPrefill(work.partPrefillMicros, m_dueAt, now, 1);
    return work;
}

Target::Target(TargetEntry entry)
    : entry(std::move(entry))
    , hash(incarnationHash(this->entry.incarnation()))
    , helpBackoff(InitialHelpBackoff, MaxHelpBackoff)
    , refusalBackoff(RequestRefusalBackoff, RequestRefusalBackoff)
    , m_draining(this->entry.draining)
{ }

Outstanding Target::localWork(core::Time now) const noexcept
{
    Outstanding sum;
    for (const auto &share : m_localWorks) {
        sum += share.work(now);
    }
    return sum;
}

core::Time Target::localPrefillDueAt() const noexcept
{
    auto due = absl::InfinitePast();
    for (const auto &share : m_localWorks) {
        due = std::max(due, share.prefillDueAt());
    }
    return due;
}

Outstanding Target::peerWork(core::Time now) const noexcept
{
    Outstanding sum;
    for (const auto &share : m_peerWorks) {
        sum += share.work(now);
    }
    return sum;
}

Outstanding Target::load(core::Time now) const noexcept
{
    auto sum = localWork(now);
    sum += peerWork(now);
    return sum;
}

bool contains(const std::vector<std::uint32_t> &hashes, std::uint32_t hash) noexcept
{
    return std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
}

std::optional<core::Reason> reasonToAvoid(const Target &target, core::Time now) noexcept
{
    if (!target.isInService(now)) {
        return core::Reason::TargetLeaving;
    }
    if (target.isEvacuated()) {
        return core::Reason::DomainsEvacuated;
    }
    return target.cooldown().isActive(now) ? std::optional(core::Reason::TargetsCoolingDown) : std::nullopt;
}

EntryChange TargetSet::put(const TargetEntry &entry)
{
    auto &target = m_targets[entry.id];
    if (target && entry.startMs < target->entry.startMs) {
        return EntryChange::Outdated;
    }
    const bool restarted = target && entry.startMs > target->entry.startMs;
    if (!target || restarted) {
        if (restarted) {
            endIncarnation(*target);
            m_byHash.erase(target->hash);
            std::erase(m_unlistedDraining, target);
        }
        // Attempts in progress keep the earlier incarnation, which can no longer be looked up.
        target = core::makeRef<Target>(entry);
        target->m_evacuated = m_evacuatedDomains.contains(entry.failureDomain);
        m_byHash[target->hash] = target;
        return restarted ? EntryChange::Restarted : EntryChange::Added;
    }
    target->entry = entry;
    target->m_evacuated = m_evacuatedDomains.contains(entry.failureDomain);
    target->m_draining = target->m_draining || entry.draining;
    target->servesUntil = absl::InfiniteFuture();
    target->entryError.clear();
    updateUnlistedDraining(*target);
    return EntryChange::Updated;
}

void TargetSet::updateUnlistedDraining(Target &target)
{
    std::erase_if(m_unlistedDraining, [&target](const auto &known) { return known == &target; });
    if (target.m_draining && !target.entry.draining && target.servesUntil == absl::InfiniteFuture()) {
        m_unlistedDraining.emplace_back(&target);
    }
}

bool TargetSet::endIncarnation(Target &target)
{
    if (std::exchange(target.m_ended, true)) {
        return false;
    }
    noteDraining(target);
    const core::Ref<Target> ended(&target);
    while (!target.m_watches.empty()) {
        auto &watch = target.m_watches.front();
        target.m_watches.pop_front();
        watch.m_callback(ended);
    }
    return true;
}

bool TargetSet::noteDraining(Target &target)
{
    const bool changed = !std::exchange(target.m_draining, true);
    updateUnlistedDraining(target);
    return changed;
}

TargetSet::Targets TargetSet::noteDraining(const std::vector<std::uint32_t> &hashes)
{
    Targets newlyDraining;
    for (const auto hash : hashes) {
        const auto target = findByHash(hash);
        if (target && noteDraining(*target)) {
            newlyDraining.push_back(target);
        }
    }
    return newlyDraining;
}

void TargetSet::setEvacuatedDomains(const std::set<std::string> &failureDomains)
{
    m_evacuatedDomains = failureDomains;
    for (const auto &[id, target] : m_targets) {
        target->m_evacuated = m_evacuatedDomains.contains(target->entry.failureDomain);
    }
}

void TargetSet::noteCooldown(Target &target, core::Duration span, core::Time now)
{
    std::erase_if(m_coolingDown,
                  [&](const auto &known) { return !known->cooldown().isActive(now) || known == &target; });
    target.m_cooldown.request(span, now);
    m_coolingDown.emplace_back(&target);
}

void TargetSet::expire(const std::string &id, core::Time servesUntil)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second->servesUntil = std::min(found->second->servesUntil, servesUntil);
        updateUnlistedDraining(*found->second);
    }
}

void TargetSet::invalidateEntry(const std::string &id, const std::string &error)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end()) {
        found->second->entryError = error;
    }
}

void TargetSet::removeExpired(core::Time now)
{
    constexpr auto RetentionAfterExpiry = absl::Seconds(30); // Responses in progress may still refer to them.
    /// An expired entry may be rewritten: an incarnation that announced its shutdown must not come back as a new
    /// target.
    constexpr auto DrainingRetention = absl::Minutes(10);
    std::erase_if(m_targets, [&](const auto &item) {
        const auto &target = item.second;
        const auto retention
            = target->isDraining() ? core::Duration(DrainingRetention) : core::Duration(RetentionAfterExpiry);
        const bool expired = now - retention > target->servesUntil;
        if (expired && target->localWork(now) == Outstanding{}) {
            m_byHash.erase(target->hash);
            return true;
        }
        return false;
    });
}

void TargetSet::setPeerWork(const std::string &peer, const std::vector<TargetWork> &reportedWork, core::Time now)
{
    auto &peerWorks = m_workByPeer[peer];
    peerWorks.clear();
    for (const auto &work : reportedWork) {
        if (const auto target = findByHash(work.target)) {
            const auto dueAt = now + absl::Microseconds(work.prefillDueMicros);
            peerWorks.push_back(std::make_unique<PeerWork>(target, work.work, dueAt));
        }
    }
}

void TargetSet::removePeer(const std::string &peer)
{
    m_workByPeer.erase(peer);
}

TargetSet::Targets TargetSet::notePeerReport(const std::vector<std::uint32_t> &unreachable, core::Time now,
                                             const EjectionPolicy &policy)
{
    Targets newlyReported;
    const auto maxReported = std::max(1.0, static_cast<double>(m_targets.size()) * MaxReportedShare);
    if (static_cast<double>(unreachable.size()) > maxReported) {
        return newlyReported;
    }
    for (const auto hash : unreachable) {
        const auto found = m_byHash.find(hash);
        if (found == m_byHash.end()) {
            continue;
        }
        if (policy.byEvidence && found->second->health.answeredRecently(policy, now)) {
            continue; // Only the link between the peer and the target fails.
        }
        if (found->second->reportedUnreachableUntil < now) {
            newlyReported.push_back(found->second);
        }
        found->second->reportedUnreachableUntil = now + ReportLifetime;
    }
    return newlyReported;
}

std::vector<std::uint32_t> TargetSet::avoidedTargets(core::Time now) const
{
    auto hashes = unlistedDraining();
    for (const auto &target : m_coolingDown) {
        if (target->cooldown().isActive(now)) {
            hashes.push_back(target->hash);
        }
    }
    return hashes;
}

bool TargetSet::anyRateLimited() const noexcept
{
    return std::any_of(m_targets.begin(), m_targets.end(),
                       [](const auto &item) { return item.second->rateLimit.perSecond().has_value(); });
}

std::vector<std::uint32_t> TargetSet::unlistedDraining() const
{
    std::vector<std::uint32_t> hashes;
    for (const auto &target : m_unlistedDraining) {
        hashes.push_back(target->hash);
    }
    return hashes;
}

std::vector<std::uint32_t> TargetSet::unreachableTargets(core::Time now, const EjectionPolicy &policy) const
{
    std::vector<std::uint32_t> hashes;
    for (const auto &[hash, target] : m_byHash) {
        if (target->acceptsNewWork(now) && target->health.reportsUnreachable(policy, now)) {
            hashes.push_back(hash);
        }
    }
    return hashes;
}

TargetSet::Targets TargetSet::availableTargets(const std::string &service, core::Time now) const
{
    Targets found;
    for (const auto &[id, target] : m_targets) {
        if (target->entry.service == service && target->acceptsNewWork(now)) {
            found.push_back(target);
        }
    }
    std::sort(found.begin(), found.end(),
              [](const auto &left, const auto &right) { return left->entry.id < right->entry.id; });
    return found;
}

bool TargetSet::allEvacuated(const std::string &service, core::Time now) const
{
    bool anyInService = false;
    for (const auto &[id, target] : m_targets) {
        if (target->entry.service == service && target->isInService(now)) {
            anyInService = true;
            if (!target->isEvacuated()) {
                return false;
            }
        }
    }
    return anyInService;
}

core::Ref<Target> TargetSet::find(const std::string &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : found->second;
}

core::Ref<Target> TargetSet::findByHash(std::uint32_t hash) const
{
    const auto found = m_byHash.find(hash);
    return found == m_byHash.end() ? nullptr : found->second;
}

core::Ref<Target> TargetSet::findByAddress(const core::Address &address, core::Time now) const
{
    for (const auto &[id, target] : m_targets) {
        if (target->entry.address == address && target->acceptsNewWork(now)) {
            return target;
        }
    }
    return nullptr;
}

std::vector<TargetWork> TargetSet::localWork(core::Time now) const
{
    std::vector<TargetWork> works;
    for (const auto &[hash, target] : m_byHash) {
        const auto work = target->localWork(now);
        if (work != Outstanding{}) {
            const auto due = std::max(target->localPrefillDueAt() - now, absl::ZeroDuration());
            works.push_back({hash, work, absl::ToInt64Microseconds(due)});
        }
    }
    return works;
}

const std::unordered_map<std::string, core::Ref<Target>> &TargetSet::all() const noexcept
{
    return m_targets;
}

} // namespace spurlug::relay
