//----------------------------------------------------------------------------------------------------------------------
// spurlug: known targets with their health and the work that this daemon and its peers have at each
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/counted.h"
#include "spurlug/core/reason.h"
#include "spurlug/core/time.h"
#include "spurlug/relay/cold_start.h"
#include "spurlug/relay/rate_limit.h"
#include "spurlug/relay/target_health.h"
#include "spurlug/relay/target_life.h"
#include "spurlug/targets/cooldown.h"
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
    core::Duration cold = absl::ZeroDuration(); ///< Remaining warm-up time when the entry was written.
    std::int64_t startMs = 0; ///< Start of this incarnation, see TargetLife::startMs.

    [[nodiscard]] TargetLife life() const
    {
        return {id, startMs};
    }
};

using targets::Outstanding;
using targets::TargetWork;

/// \brief Exponential backoff for a target that refused something: doubles with each consecutive refusal up to a
/// maximum.
class RefusalPause
{
public:
    RefusalPause(core::Duration first, core::Duration longest) noexcept
        : m_first(first)
        , m_longest(longest)
    { }

    /// \brief Notes that the target refused, or that the engine which asked it could not reach it.
    void refused(core::Time now) noexcept;
    /// \brief Notes that the target did what it was asked to do.
    void accepted() noexcept
    {
        m_inARow = 0;
    }

    /// \brief Whether the target must not be asked now.
    [[nodiscard]] bool lasts(core::Time now) const noexcept
    {
        return now < m_until;
    }

private:
    core::Duration m_first;
    core::Duration m_longest;
    int m_inARow = 0;
    core::Time m_until = absl::InfinitePast();
};

class Target;

/// \brief Registers a callback that runs as soon as an incarnation of a target has ended. Destruction unregisters it.
class LifeWatch : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    using Tell = std::function<void(const core::Ref<Target> &)>;

    /// \brief The callback is called at most once, and immediately if the incarnation has ended already.
    LifeWatch(const core::Ref<Target> &target, Tell tell);
    LifeWatch(const LifeWatch &) = delete;
    LifeWatch &operator=(const LifeWatch &) = delete;

private:
    friend class TargetSet;
    Tell m_tell;
};

/// \brief RAII registration of one unit of this daemon's work at a target.
class Share : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    enum class Kind
    {
        Request, ///< The target answers the request.
        Part, ///< The target prefills a part of a prompt for another target.
    };

    /// \brief Adds work to the target's load. Until its prompt is prefilled, the remaining prefill time shrinks towards
    /// the time at which prefill should be done. The flag says whether the stream of the request tolerates only short
    /// gaps between events.
    /// \param engines Number of engines that prefill equal parts of the prompt.
    Share(core::Ref<Target> target, Kind kind, const Outstanding &work, core::Time sentAt, core::Time expected,
          bool tight, std::size_t engines = 1);
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// \brief Notes that prefill is done: a request now generates, a part is complete.
    void promptRead() noexcept;

    [[nodiscard]] Outstanding work(core::Time now) const noexcept;
    [[nodiscard]] const core::Ref<Target> &target() const noexcept;
    [[nodiscard]] core::Time sentAt() const noexcept;
    /// \brief When prefill should be done; InfinitePast once it is.
    [[nodiscard]] core::Time readingDueAt() const noexcept;

private:
    core::Ref<Target> m_target;
    Kind m_kind;
    Outstanding m_work;
    core::Time m_sentAt;
    core::Time m_expected;
    bool m_tight;
    std::size_t m_engines;
    bool m_reading = true;
};

/// \brief RAII registration of the work that another daemon reported for a target. The remaining prefill time shrinks
/// towards its due time, because reports are several hundred ms apart and prefill of a part takes about as long.
class PeerShare : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    PeerShare(core::Ref<Target> target, const Outstanding &work, core::Time dueAt);
    PeerShare(const PeerShare &) = delete;
    PeerShare &operator=(const PeerShare &) = delete;

    [[nodiscard]] Outstanding work(core::Time now) const noexcept;

private:
    core::Ref<Target> m_target;
    Outstanding m_work;
    core::Time m_dueAt;
};

/// \brief One incarnation of a target as known to this daemon. Must only be used on the event loop thread.
class Target : public core::Counted<Target>
{
public:
    explicit Target(TargetEntry entry);

    TargetEntry entry;
    const std::uint32_t hash; ///< lifeHash of this incarnation.
    TargetHealth health;
    core::Time heardAt = absl::InfinitePast(); ///< When response bytes last arrived from it.
    RefusalPause helpPause; ///< Backoff after it refused a prefill part or a KV memory reservation.
    RefusalPause fullPause; ///< Backoff after it refused a request without asking for a cooldown.
    /// A peer cannot reach the target; others are preferred until then.
    core::Time reportedUntil = absl::InfinitePast();
    /// The directory entry is gone; the target gets no new work after this.
    core::Time dropAt = absl::InfiniteFuture();
    /// Set when a restored directory lists the target although its entry was gone: it gets no work until it rewrites
    /// its entry or until this time.
    core::Time doubtedUntil = absl::InfinitePast();
    ColdStart coldStart;
    RateLimit rateLimit;
    RecentSends recentSends; ///< Sends by this daemon and, on a scheduler, all placements at this target.
    std::string fault; ///< Why the newest entry is invalid; empty if it is valid.

    /// \brief Whether the operator evacuates its failure domain, so that the target must get no new work.
    [[nodiscard]] bool evacuated() const noexcept
    {
        return m_evacuated;
    }

    /// \brief Whether the target is shutting down, as announced by its entry, by one of its responses or by a peer.
    /// This stays true for the rest of the incarnation whatever later entries say: an expired entry may be rewritten,
    /// and target lists may be stale.
    [[nodiscard]] bool leaving() const noexcept
    {
        return m_leaving;
    }

    /// \brief Whether this incarnation has ended because a later one appeared under its id or at its address. All state
    /// that it had of requests is lost. A removed entry proves nothing: entries expire, and some targets keep serving
    /// without one.
    [[nodiscard]] bool over() const noexcept
    {
        return m_over;
    }

    /// \brief The cooldown during which the target wants no requests from this daemon.
    [[nodiscard]] const targets::Cooldown &cooldown() const noexcept
    {
        return m_cooldown;
    }

    /// \brief Work of this daemon at this target.
    [[nodiscard]] Outstanding own(core::Time now) const noexcept;

    /// \brief When all prefill of this daemon at this target should be done.
    [[nodiscard]] core::Time ownDueAt() const noexcept;

    /// \brief Work of other daemons at this target, as reported by them.
    [[nodiscard]] Outstanding peers(core::Time now) const noexcept;

    /// \brief Known work of all daemons at this target.
    [[nodiscard]] Outstanding load(core::Time now) const noexcept;

    /// \brief Whether the target is in service according to the directory.
    [[nodiscard]] bool serves(core::Time now) const noexcept
    {
        return !m_leaving && fault.empty() && now < dropAt && now >= doubtedUntil;
    }

    /// \brief Whether the target may get new work according to the directory.
    [[nodiscard]] bool listed(core::Time now) const noexcept
    {
        return !m_evacuated && serves(now);
    }

private:
    friend class LifeWatch;
    friend class Share;
    friend class PeerShare;
    friend class TargetSet;
    using Watches = boost::intrusive::list<LifeWatch, boost::intrusive::constant_time_size<false>>;
    using Shares = boost::intrusive::list<Share, boost::intrusive::constant_time_size<false>>;
    using PeerShares = boost::intrusive::list<PeerShare, boost::intrusive::constant_time_size<false>>;

    Shares m_shares;
    PeerShares m_peerShares;
    Watches m_watches;
    bool m_leaving = false;
    bool m_over = false;
    bool m_evacuated = false;
    targets::Cooldown m_cooldown;
};

/// \brief Why this daemon must send nothing to a target now; std::nullopt if it may.
[[nodiscard]] std::optional<core::Reason> unwantedNow(const Target &target, core::Time now) noexcept;

/// \brief Effect of a directory entry on the target set.
enum class EntryNews
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
    EntryNews put(const TargetEntry &entry);
    /// \brief Marks an incarnation as ended and notifies its watchers. Like a target that shuts down, it gets no new
    /// work.
    /// \returns True if it was not marked before.
    bool end(Target &target);
    /// \brief Notes that a target announced its shutdown.
    /// \returns True if that was not known before.
    bool noteLeaving(Target &target);
    /// \brief Notes that peers reported these incarnations as shutting down.
    /// \returns Targets for which that is new, for logging.
    Targets noteLeaving(const std::vector<std::uint32_t> &hashes);
    /// \brief Sets the failure domains that must get no new work.
    void evacuate(const std::set<std::string> &failureDomains);
    /// \brief Notes that a target asked this daemon to send nothing for a while.
    void noteCooldown(Target &target, core::Duration span, core::Time now);
    /// \brief Notes that a target's entry is gone; the target gets no new work after `dropAt`.
    void drop(const std::string &id, core::Time dropAt);
    /// \brief Notes that a target's newest entry is invalid; the target gets no work until it has a valid one.
    void withdraw(const std::string &id, const std::string &fault);
    /// \brief Removes targets whose entries are gone and which have no work of this daemon.
    void forgetGone(core::Time now);
    /// \brief Replaces the work that a peer reported for all targets.
    void peerWork(const std::string &peer, const std::vector<TargetWork> &works, core::Time now);
    /// \brief Removes the work of a peer that is no longer heard.
    void forgetPeer(const std::string &peer);

    /// \brief Processes a peer's report of targets that do not answer it. A report that covers too large a share of all
    /// targets is ignored, because the peer itself is then assumed to be cut off.
    /// \returns Targets that had no current report before, for logging.
    Targets peerReport(const std::vector<std::uint32_t> &unreachable, core::Time now);

    /// @}
    /// \name Queries
    /// @{

    /// \brief Targets of a service that may get new work, ordered by id.
    [[nodiscard]] Targets listed(const std::string &service, core::Time now) const;
    /// \brief Whether a service has targets in service, all of them in evacuated failure domains.
    [[nodiscard]] bool allEvacuated(const std::string &service, core::Time now) const;
    /// \brief The target with an id; null if there is none.
    [[nodiscard]] core::Ref<Target> find(const std::string &id) const;
    /// \brief The target whose latest incarnation has this hash; null if there is none.
    [[nodiscard]] core::Ref<Target> withHash(std::uint32_t hash) const;
    /// \brief The target at an address that may get new work; null if there is none.
    [[nodiscard]] core::Ref<Target> at(const core::Address &address, core::Time now) const;
    /// \brief Work of this daemon at each target that has some.
    [[nodiscard]] std::vector<TargetWork> ownWork(core::Time now) const;
    /// \brief Hashes of targets to which this daemon must send nothing although a scheduler may not know it: targets in
    /// a cooldown for this daemon, and targets that shut down without their entries saying so.
    [[nodiscard]] std::vector<std::uint32_t> unwantedHere(core::Time now) const;
    /// \brief Hashes of targets that shut down while their entries do not say so, of which peers may be unaware.
    [[nodiscard]] std::vector<std::uint32_t> leavingUnlisted() const;
    /// \brief Whether any target has announced a rate limit.
    [[nodiscard]] bool someLimited() const noexcept;
    /// \brief Hashes of targets that do not answer this daemon.
    [[nodiscard]] std::vector<std::uint32_t> unreachable(core::Time now) const;
    [[nodiscard]] const std::unordered_map<std::string, core::Ref<Target>> &all() const noexcept;

    /// @}

private:
    /// Updates the membership of a target in `m_leavingUnlisted`.
    void sortByLeaving(Target &target);

    std::unordered_map<std::string, core::Ref<Target>> m_targets;
    std::set<std::string> m_evacuated; ///< Failure domains.
    std::unordered_map<std::uint32_t, core::Ref<Target>> m_byHash;
    Targets m_coolingDown; ///< Targets in a cooldown; expired ones are removed with the next addition.
    Targets m_leavingUnlisted; ///< Targets that shut down although their entries do not say so.
    /// Latest report of each peer. Entries refer to the target objects, so a target that is removed and added again
    /// starts without peer work.
    std::unordered_map<std::string, std::vector<std::unique_ptr<PeerShare>>> m_peerWorks;
};

} // namespace spurlug::relay
