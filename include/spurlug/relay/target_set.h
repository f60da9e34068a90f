//----------------------------------------------------------------------------------------------------------------------
// spurlug: known targets with their health and the work that this daemon and its peers have at each
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/counted.h"
#include "spurlug/core/reason.h"
#include "spurlug/core/time.h"
#include "spurlug/relay/rate_limit.h"
#include "spurlug/relay/target_health.h"
#include "spurlug/relay/target_incarnation.h"
#include "spurlug/relay/warm_up.h"
#include "spurlug/targets/cooldown.h"
#include "spurlug/targets/observed_speed.h"
#include "spurlug/targets/outstanding.h"

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurlug::relay
{

/// \brief Whether a hash is among these.
[[nodiscard]] bool contains(const std::vector<std::uint32_t> &hashes, std::uint32_t hash) noexcept;

/// \brief Directory entry of a target.
struct TargetEntry
{
    std::string id; ///< Successive incarnations of the target may share the same id.
    std::string service;
    core::Address address;
    std::string failureDomain;
    int slots = 1; ///< Maximum number of concurrent requests.
    bool draining = false; ///< True if the entry announces that the target shuts down soon and must get no new work.
    core::Duration remainingWarmUp = absl::ZeroDuration(); ///< Remaining warm-up time when the entry was written.
    std::int64_t startMs = 0; ///< Start of this incarnation, see TargetIncarnation::startMs.

    [[nodiscard]] TargetIncarnation incarnation() const
    {
        return {id, startMs};
    }
};

using targets::Outstanding;
using targets::TargetWork;

/// \brief Exponential backoff for a target that refused something: doubles with each consecutive refusal up to a
/// maximum.
class RefusalBackoff
{
public:
    RefusalBackoff(core::Duration initialDelay, core::Duration maxDelay) noexcept
        : m_initialDelay(initialDelay)
        , m_maxDelay(maxDelay)
    { }

    /// \brief Notes that the target refused, or that the engine which asked it could not reach it.
    void noteRefusal(core::Time now) noexcept;
    /// \brief Notes that the target did what it was asked to do.
    void noteSuccess() noexcept
    {
        m_consecutiveRefusals = 0;
    }

    /// \brief Whether the target must not be asked now.
    [[nodiscard]] bool isActive(core::Time now) const noexcept
    {
        return now < m_until;
    }

private:
    core::Duration m_initialDelay;
    core::Duration m_maxDelay;
    int m_consecutiveRefusals = 0;
    core::Time m_until = absl::InfinitePast();
};

class Target;

/// \brief Registers a callback that runs as soon as an incarnation of a target has ended. Destruction unregisters it.
class IncarnationWatch
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    using Callback = std::function<void(const core::Ref<Target> &)>;

    /// \brief The callback is called at most once, and immediately if the incarnation has ended already.
    IncarnationWatch(const core::Ref<Target> &target, Callback callback);
    IncarnationWatch(const IncarnationWatch &) = delete;
    IncarnationWatch &operator=(const IncarnationWatch &) = delete;

private:
    friend class TargetSet;
    Callback m_callback;
};

/// \brief RAII registration of one unit of this daemon's work at a target.
class LocalWork : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    enum class Kind
    {
        Request, ///< The target answers the request.
        PrefillPart, ///< The target prefills a part of a prompt for another target.
    };

    /// \brief Adds work to the target's load. Until its prompt is prefilled, the remaining prefill time shrinks towards
    /// the time at which prefill should be done. The flag says whether the stream of the request tolerates only short
    /// gaps between events.
    /// \param engines Number of engines that prefill equal parts of the prompt.
    LocalWork(core::Ref<Target> target, Kind kind, const Outstanding &work, core::Time sentAt, core::Time dueAt,
              bool shortGaps, std::size_t engines = 1);
    LocalWork(const LocalWork &) = delete;
    LocalWork &operator=(const LocalWork &) = delete;

    /// \brief Notes that prefill is done: a request now generates, a part is complete.
    void notePrefillDone() noexcept;

    [[nodiscard]] Outstanding work(core::Time now) const noexcept;
    [[nodiscard]] const core::Ref<Target> &target() const noexcept;
    [[nodiscard]] core::Time sentAt() const noexcept;
    /// \brief When prefill should be done; InfinitePast once it is.
    [[nodiscard]] core::Time prefillDueAt() const noexcept;

private:
    core::Ref<Target> m_target;
    Kind m_kind;
    Outstanding m_work;
    core::Time m_sentAt;
    core::Time m_dueAt;
    bool m_shortGaps;
    std::size_t m_engines;
    bool m_prefilling = true;
};

/// \brief RAII registration of the work that another daemon reported for a target. The remaining prefill time shrinks
/// towards its due time, because reports are several hundred ms apart and prefill of a part takes about as long.
class PeerWork : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    PeerWork(core::Ref<Target> target, const Outstanding &work, core::Time dueAt);
    PeerWork(const PeerWork &) = delete;
    PeerWork &operator=(const PeerWork &) = delete;

    [[nodiscard]] Outstanding work(core::Time now) const noexcept;

private:
    core::Ref<Target> m_target;
    Outstanding m_work;
    core::Time m_dueAt;
};

/// \brief One incarnation of a target as known to this daemon. Must only be used on the event loop thread.
class Target : public core::RefCounted<Target>
{
public:
    explicit Target(TargetEntry entry);

    TargetEntry entry;
    const std::uint32_t hash; ///< incarnationHash of this incarnation.
    TargetHealth health;
    core::Time lastResponseAt = absl::InfinitePast(); ///< When response bytes last arrived from it.
    RefusalBackoff helpBackoff; ///< Backoff after it refused a prefill part or a KV memory reservation.
    RefusalBackoff refusalBackoff; ///< Backoff after it refused a request without asking for a cooldown.
    /// A peer cannot reach the target; others are preferred until then.
    core::Time reportedUnreachableUntil = absl::InfinitePast();
    /// The directory entry is gone; the target gets no new work after this.
    core::Time servesUntil = absl::InfiniteFuture();
    /// Set when a restored directory lists the target although its entry was gone: it gets no work until it rewrites
    /// its entry or until this time.
    core::Time unconfirmedUntil = absl::InfinitePast();
    WarmUp warmUp;
    RateLimit rateLimit;
    targets::ObservedSpeed speed; ///< By the attempts of this daemon and, on a scheduler, of all daemons.
    bool reportedSlow = false; ///< Whether the log says that it is slow.
    RecentSends recentSends; ///< Sends by this daemon and, on a scheduler, all placements at this target.
    std::string entryError; ///< Why the newest entry is invalid; empty if it is valid.

    /// \brief Whether the operator evacuates its failure domain, so that the target must get no new work.
    [[nodiscard]] bool isEvacuated() const noexcept
    {
        return m_evacuated;
    }

    /// \brief Whether the target is shutting down, as announced by its entry, by one of its responses or by a peer.
    /// This stays true for the rest of the incarnation whatever later entries say: an expired entry may be rewritten,
    /// and target lists may be stale.
    [[nodiscard]] bool isDraining() const noexcept
    {
        return m_draining;
    }

    /// \brief Whether this incarnation has ended because a later one appeared under its id or at its address. All state
    /// that it had of requests is lost. A removed entry proves nothing: entries expire, and some targets keep serving
    /// without one.
    [[nodiscard]] bool hasEnded() const noexcept
    {
        return m_ended;
    }

    /// \brief The cooldown during which the target wants no requests from this daemon.
    [[nodiscard]] const targets::Cooldown &cooldown() const noexcept
    {
        return m_cooldown;
    }

    /// \brief Work of this daemon at this target.
    [[nodiscard]] Outstanding localWork(core::Time now) const noexcept;

    /// \brief When all prefill of this daemon at this target should be done.
    [[nodiscard]] core::Time localPrefillDueAt() const noexcept;

    /// \brief Work of other daemons at this target, as reported by them.
    [[nodiscard]] Outstanding peerWork(core::Time now) const noexcept;

    /// \brief Known work of all daemons at this target.
    [[nodiscard]] Outstanding load(core::Time now) const noexcept;

    /// \brief Whether the target is in service according to the directory.
    [[nodiscard]] bool isInService(core::Time now) const noexcept
    {
        return !m_draining && entryError.empty() && now < servesUntil && now >= unconfirmedUntil;
    }

    /// \brief Whether the target may get new work according to the directory.
    [[nodiscard]] bool acceptsNewWork(core::Time now) const noexcept
    {
        return !m_evacuated && isInService(now);
    }

private:
    friend class IncarnationWatch;
    friend class LocalWork;
    friend class PeerWork;
    friend class TargetSet;
    using Watches = boost::intrusive::list<IncarnationWatch, boost::intrusive::constant_time_size<false>>;
    using LocalWorks = boost::intrusive::list<LocalWork, boost::intrusive::constant_time_size<false>>;
    using PeerWorks = boost::intrusive::list<PeerWork, boost::intrusive::constant_time_size<false>>;

    LocalWorks m_localWorks;
    PeerWorks m_peerWorks;
    Watches m_watches;
    bool m_draining = false;
    bool m_ended = false;
    bool m_evacuated = false;
    targets::Cooldown m_cooldown;
};

/// \brief Why this daemon must send nothing to a target now; std::nullopt if it may.
[[nodiscard]] std::optional<core::Reason> reasonToAvoid(const Target &target, core::Time now) noexcept;

/// \brief Effect of a directory entry on the target set.
enum class EntryChange
{
    Added, ///< The id was unknown.
    Updated, ///< The entry belongs to the known incarnation.
    Restarted, ///< A later incarnation under a known id; state of the earlier one does not apply to it.
    Outdated, ///< The entry belongs to an earlier incarnation and was ignored.
};

/// \brief The latest known incarnation of each target. Must only be used on the event loop thread.
class TargetSet
{
public:
    using Targets = std::vector<core::Ref<Target>>;

    /// \name Commands
    /// @{

    /// \brief Adds a target or updates a known one.
    EntryChange put(const TargetEntry &entry);
    /// \brief Marks an incarnation as ended and notifies its watchers. Like a target that shuts down, it gets no new
    /// work.
    /// \returns True if it was not marked before.
    bool endIncarnation(Target &target);
    /// \brief Notes that a target announced its shutdown.
    /// \returns True if that was not known before.
    bool noteDraining(Target &target);
    /// \brief Notes that peers reported these incarnations as shutting down.
    /// \returns Targets for which that is new, for logging.
    Targets noteDraining(const std::vector<std::uint32_t> &hashes);
    /// \brief Sets the failure domains that must get no new work.
    void setEvacuatedDomains(const std::set<std::string> &failureDomains);
    /// \brief Notes that a target asked this daemon to send nothing for a while.
    void noteCooldown(Target &target, core::Duration span, core::Time now);
    /// \brief Notes that a target's entry is gone; the target gets no new work after `servesUntil`.
    void expire(const std::string &id, core::Time servesUntil);
    /// \brief Notes that a target's newest entry is invalid; the target gets no work until it has a valid one.
    void invalidateEntry(const std::string &id, const std::string &error);
    /// \brief Removes targets whose entries are gone and which have no work of this daemon.
    void removeExpired(core::Time now);
    /// \brief Replaces the work that a peer reported for all targets.
    void setPeerWork(const std::string &peer, const std::vector<TargetWork> &reportedWork, core::Time now);
    /// \brief Removes the work of a peer that is no longer heard.
    void removePeer(const std::string &peer);

    /// \brief Processes a peer's report of targets that do not answer it. A report that covers too large a share of all
    /// targets is ignored, because the peer itself is then assumed to be cut off. With ejection by evidence, so is a
    /// report about a target that has answered recently.
    /// \returns Targets that had no current report before, for logging.
    Targets notePeerReport(const std::vector<std::uint32_t> &unreachable, core::Time now,
                           const EjectionPolicy &policy = {});

    /// @}
    /// \name Queries
    /// @{

    /// \brief Targets of a service that may get new work, ordered by id.
    [[nodiscard]] Targets availableTargets(const std::string &service, core::Time now) const;
    /// \brief Whether a service has targets in service, all of them in evacuated failure domains.
    [[nodiscard]] bool allEvacuated(const std::string &service, core::Time now) const;
    /// \brief The target with an id; null if there is none.
    [[nodiscard]] core::Ref<Target> find(const std::string &id) const;
    /// \brief The target whose latest incarnation has this hash; null if there is none.
    [[nodiscard]] core::Ref<Target> findByHash(std::uint32_t hash) const;
    /// \brief The target at an address that may get new work; null if there is none.
    [[nodiscard]] core::Ref<Target> findByAddress(const core::Address &address, core::Time now) const;
    /// \brief Work of this daemon at each target that has some.
    [[nodiscard]] std::vector<TargetWork> localWork(core::Time now) const;
    /// \brief Hashes of targets to which this daemon must send nothing although a scheduler may not know it: targets in
    /// a cooldown for this daemon, and targets that shut down without their entries saying so.
    [[nodiscard]] std::vector<std::uint32_t> avoidedTargets(core::Time now) const;
    /// \brief Hashes of targets that shut down while their entries do not say so, of which peers may be unaware.
    [[nodiscard]] std::vector<std::uint32_t> unlistedDraining() const;
    /// \brief Whether any target has announced a rate limit.
    [[nodiscard]] bool anyRateLimited() const noexcept;
    /// \brief Hashes of targets that do not answer this daemon.
    [[nodiscard]] std::vector<std::uint32_t> unreachableTargets(core::Time now,
                                                                const EjectionPolicy &policy = {}) const;
    [[nodiscard]] const std::unordered_map<std::string, core::Ref<Target>> &all() const noexcept;

    /// @}

private:
    /// Updates the membership of a target in `m_unlistedDraining`.
    void updateUnlistedDraining(Target &target);

    std::unordered_map<std::string, core::Ref<Target>> m_targets;
    std::set<std::string> m_evacuatedDomains; ///< Failure domains.
    std::unordered_map<std::uint32_t, core::Ref<Target>> m_byHash;
    Targets m_coolingDown; ///< Targets in a cooldown; expired ones are removed with the next addition.
    Targets m_unlistedDraining; ///< Targets that shut down although their entries do not say so.
    /// Latest report of each peer. Entries refer to the target objects, so a target that is removed and added again
    /// starts without peer work.
    std::unordered_map<std::string, std::vector<std::unique_ptr<PeerWork>>> m_workByPeer;
};

} // namespace spurlug::relay
