//----------------------------------------------------------------------------------------------------------------------
// spurlug: the targets, the work that this daemon and its peers have at each, and how they fare
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

/// \brief What the directory says of a target.
struct TargetEntry
{
    std::string id; ///< Several lives of the target may bear it, one after the other.
    std::string service;
    core::Address address;
    std::string failureDomain;
    int slots = 1; ///< Requests that run at once.
    bool draining = false; ///< Whether the entry says that it leaves: it ends soon and must get nothing new.
    core::Duration cold = absl::ZeroDuration(); ///< How much longer it is slow, when the entry was written.
    std::int64_t startMs = 0; ///< Of this life, as TargetLife::startMs.

    [[nodiscard]] TargetLife life() const
    {
        return {id, startMs};
    }
};

using targets::Outstanding;
using targets::TargetWork;

/// \brief How long a target that turned something down is not asked again: the pause doubles with each refusal in a
/// row, up to a longest one.
class RefusalPause
{
public:
    RefusalPause(core::Duration first, core::Duration longest) noexcept
        : m_first(first)
        , m_longest(longest)
    { }

    /// \brief Notes that it turned something down, or could not be reached by the engine that asked it.
    void refused(core::Time now) noexcept;
    /// \brief Notes that it did what it was asked for.
    void accepted() noexcept
    {
        m_inARow = 0;
    }

    /// \brief Whether it is not asked now.
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

/// \brief Has its owner told at once when a life of a target is over, for as long as the object lives.
class LifeWatch : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    using Tell = std::function<void(const core::Ref<Target> &)>;

    /// \param tell Called once at most; at once when the life is over already.
    LifeWatch(const core::Ref<Target> &target, Tell tell);
    LifeWatch(const LifeWatch &) = delete;
    LifeWatch &operator=(const LifeWatch &) = delete;

private:
    friend class TargetSet;
    Tell m_tell;
};

/// \brief One piece of this daemon's work at a target, for as long as the object lives.
class Share : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    enum class Kind
    {
        Request, ///< The target answers the request.
        Part, ///< The target reads a part of a prompt for another one.
    };

    /// \param work What the share adds to the target's work while its prompt is not read.
    /// \param expected When reading should end; what is left of it shrinks towards that time.
    /// \param tight Whether the request bears short pauses only.
    /// \param engines How many read the prompt, each an even part.
    Share(core::Ref<Target> target, Kind kind, const Outstanding &work, core::Time sentAt, core::Time expected,
          bool tight, std::size_t engines = 1);
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// \brief Notes that the prompt was read: the request generates now, parts are done.
    void promptRead() noexcept;

    [[nodiscard]] Outstanding work(core::Time now) const noexcept;
    [[nodiscard]] const core::Ref<Target> &target() const noexcept;
    [[nodiscard]] core::Time sentAt() const noexcept;
    /// \brief When reading should end; in the infinite past once it has.
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

/// \brief Work of another daemon at a target, as it was told, for as long as the object lives. What is left of the
/// reading shrinks towards the time at which it should be done: reports are some hundred ms apart, and a part of a
/// prompt takes as long.
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

/// \brief One life of a target as this daemon knows it. Used on the loop's thread only.
class Target : public core::Counted<Target>
{
public:
    explicit Target(TargetEntry entry);

    TargetEntry entry;
    const std::uint32_t hash; ///< lifeHash of its life.
    TargetHealth health;
    core::Time heardAt = absl::InfinitePast(); ///< When bytes of any answer came from it last.
    RefusalPause helpPause; ///< After it turned help or a reservation down.
    RefusalPause fullPause; ///< After it turned a request down without asking for a cooldown.
    core::Time reportedUntil = absl::InfinitePast(); ///< A peer cannot reach it: others are preferred until this.
    core::Time dropAt = absl::InfiniteFuture(); ///< Its entry is gone; it gets nothing after this.
    /// A copy of the directory lists it though it was gone: it gets nothing until it writes its entry, or this.
    core::Time doubtedUntil = absl::InfinitePast();
    ColdStart coldStart;
    RateLimit rateLimit;
    RecentSends recentSends; ///< Of this daemon, and as a scheduler of all that it placed here.
    std::string fault; ///< Why its newest entry cannot be used; empty: it can.

    /// \brief Whether the operator asks that its failure domain gets nothing new.
    [[nodiscard]] bool evacuated() const noexcept
    {
        return m_evacuated;
    }

    /// \brief Whether it leaves: its entry, an answer of its own or a peer said so. Holds for the rest of this life,
    /// whatever entries say later: one that lapsed may be written again, and lists may be old.
    [[nodiscard]] bool leaving() const noexcept
    {
        return m_leaving;
    }

    /// \brief Whether this life is over: a later one was heard of, under its id or at its address. What it had of any
    /// request is gone. Entries that go prove nothing: they lapse, and some targets serve on without one.
    [[nodiscard]] bool over() const noexcept
    {
        return m_over;
    }

    /// \brief The time in which it wants nothing from this daemon.
    [[nodiscard]] const targets::Cooldown &cooldown() const noexcept
    {
        return m_cooldown;
    }

    /// \brief Work of this daemon here.
    [[nodiscard]] Outstanding own(core::Time now) const noexcept;

    /// \brief When all reading of this daemon here should be done.
    [[nodiscard]] core::Time ownDueAt() const noexcept;

    /// \brief Work of other daemons here, as they told it.
    [[nodiscard]] Outstanding peers(core::Time now) const noexcept;

    /// \brief Work of all daemons here, as far as it is known.
    [[nodiscard]] Outstanding load(core::Time now) const noexcept;

    /// \brief Whether it serves, as far as the directory goes.
    [[nodiscard]] bool serves(core::Time now) const noexcept
    {
        return !m_leaving && fault.empty() && now < dropAt && now >= doubtedUntil;
    }

    /// \brief Whether it may get new work, as far as the directory goes.
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

/// \brief Why a target must get nothing from this daemon now; nothing: it may.
[[nodiscard]] std::optional<core::Reason> unwantedNow(const Target &target, core::Time now) noexcept;

/// \brief What an entry was to the set of targets.
enum class EntryNews
{
    Added, ///< Its id was not known.
    Updated, ///< Of the life that is known.
    Restarted, ///< A later life under a known id: nothing that was believed of the earlier one holds for it.
    Outdated, ///< Of an earlier life than the known one: nothing was taken.
};

/// \brief The newest known life of each target. Used on the loop's thread only.
class TargetSet
{
public:
    using Targets = std::vector<core::Ref<Target>>;

    /// \name Commands
    /// @{

    /// \brief Adds a target or takes what is new of it.
    EntryNews put(const TargetEntry &entry);
    /// \brief Notes that a life is over, and has those who wait for it told. It gets nothing more, as one that leaves.
    /// \returns Whether that was not known.
    bool end(Target &target);
    /// \brief Notes that a target said that it leaves.
    /// \returns Whether that was not known.
    bool noteLeaving(Target &target);
    /// \brief Notes that peers were told so of these lives.
    /// \returns Targets of which it was not known, for the log.
    Targets noteLeaving(const std::vector<std::uint32_t> &hashes);
    /// \brief Notes which failure domains must get nothing new.
    void evacuate(const std::set<std::string> &failureDomains);
    /// \brief Notes that a target wants nothing from this daemon for a while.
    void noteCooldown(Target &target, core::Duration span, core::Time now);
    /// \brief Notes that a target's entry is gone; it gets nothing new from `dropAt` on.
    void drop(const std::string &id, core::Time dropAt);
    /// \brief Notes that a target's newest entry cannot be used: it gets nothing before it has a good one again.
    void withdraw(const std::string &id, const std::string &fault);
    /// \brief Forgets targets that are gone and have no work of this daemon.
    void forgetGone(core::Time now);
    /// \brief Takes a peer's own work at all targets, in place of what it said before.
    void peerWork(const std::string &peer, const std::vector<TargetWork> &works, core::Time now);
    /// \brief Forgets the work of a peer that is not heard any more.
    void forgetPeer(const std::string &peer);

    /// \brief Takes a peer's report of targets that do not answer it. A peer that can reach few targets is itself cut
    /// off, so its report says nothing of them.
    /// \returns Targets that no peer had reported before, for the log.
    Targets peerReport(const std::vector<std::uint32_t> &unreachable, core::Time now);

    /// @}
    /// \name Queries
    /// @{

    /// \brief Targets of a service that may get new work.
    [[nodiscard]] Targets listed(const std::string &service, core::Time now) const;
    /// \brief Whether a service has targets that serve, all of them in evacuated failure domains.
    [[nodiscard]] bool allEvacuated(const std::string &service, core::Time now) const;
    /// \brief The target with an id; null when there is none.
    [[nodiscard]] core::Ref<Target> find(const std::string &id) const;
    /// \brief The target whose life has this hash; null when there is none, or when it is over.
    [[nodiscard]] core::Ref<Target> withHash(std::uint32_t hash) const;
    /// \brief The target at an address; null when there is none.
    [[nodiscard]] core::Ref<Target> at(const core::Address &address, core::Time now) const;
    /// \brief Work of this daemon at each target where it has some.
    [[nodiscard]] std::vector<TargetWork> ownWork(core::Time now) const;
    /// \brief Hashes of targets that must get nothing from this daemon, though a scheduler may not know it: those that
    /// asked it for a cooldown, and those that leave though their entries do not say so.
    [[nodiscard]] std::vector<std::uint32_t> unwantedHere(core::Time now) const;
    /// \brief Hashes of targets that leave and whose entries do not say so yet: those that peers may not know of.
    [[nodiscard]] std::vector<std::uint32_t> leavingUnlisted() const;
    /// \brief Whether some target has named a rate that it takes.
    [[nodiscard]] bool someLimited() const noexcept;
    /// \brief Hashes of targets that do not answer this daemon.
    [[nodiscard]] std::vector<std::uint32_t> unreachable(core::Time now) const;
    [[nodiscard]] const std::unordered_map<std::string, core::Ref<Target>> &all() const noexcept;

    /// @}

private:
    /// Adds a target to those that leave though their entries do not say so, or takes it from them.
    void sortByLeaving(Target &target);

    std::unordered_map<std::string, core::Ref<Target>> m_targets;
    std::set<std::string> m_evacuated; ///< Failure domains.
    std::unordered_map<std::uint32_t, core::Ref<Target>> m_byHash;
    Targets m_coolingDown; ///< Those in a cooldown; the ones whose time is over go with the next.
    Targets m_leavingUnlisted; ///< Targets that leave though their entries do not say so.
    /// What each peer said last. Holds the targets themselves: one that is forgotten and comes back begins at nothing.
    std::unordered_map<std::string, std::vector<std::unique_ptr<PeerShare>>> m_peerWorks;
};

} // namespace spurlug::relay
