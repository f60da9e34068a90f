//----------------------------------------------------------------------------------------------------------------------
// spurlug: when refused callers should return
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace spurlug::overload
{

/// \brief How an arriving caller relates to an earlier refusal.
enum class Arrival
{
    New, ///< Not refused recently.
    Early, ///< Returns before the time that it was told.
    OnTime, ///< Returns at that time or later.
};

/// \brief A caller that is refused now.
struct RefusedCaller
{
    std::uint64_t digest = 0; ///< Of the content of its request; 0 if not known.
    core::Duration timeLeft = absl::InfiniteDuration(); ///< Until its deadline.
    core::Duration leastTtft = absl::ZeroDuration(); ///< Time to its first event on free engines.
    core::Duration backlog = absl::ZeroDuration(); ///< Time in which the work ahead of it drains.
    core::Duration spacing = absl::ZeroDuration(); ///< Time in which its own work drains.
    /// Time in which it would get its engines if it waited, behind all prompts that can be in time. It does not return
    /// sooner: callers that return go ahead, so that others would be refused in their place.
    core::Duration expectedWait = absl::ZeroDuration();
};

/// \brief Spreads the returns of refused callers of one service and kind over the time in which there is room for them.
/// Keeps at most `MaxEntries` callers, each for `EntryTtl`.
class ReturnBook
{
public:
    static constexpr std::size_t MaxEntries = 4096;
    static constexpr auto EntryTtl = absl::Seconds(30);
    static constexpr auto MinRetryAfter = absl::Milliseconds(100); ///< Slots become free several times in this time.

    /// \name Commands
    /// @{

    /// \brief Enters a refused caller; one that returned early keeps its time.
    /// \returns After which time it should return; 0 if it could not get its first event before its deadline then.
    [[nodiscard]] core::Duration enter(const RefusedCaller &caller, core::Time now);
    /// \brief Removes the entry of a caller that returned on time or was served, so that it goes ahead only once.
    void remove(std::uint64_t digest);

    /// @}

    /// \brief How a caller's arrival relates to its entry.
    [[nodiscard]] Arrival arrivalOf(std::uint64_t digest, core::Time now) const;
    /// \brief Number of entries.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_entries.size();
    }

private:
    struct Entry
    {
        core::Time returnsAt;
        core::Time enteredAt;
    };

    void removeExpired(core::Time now);

    std::map<std::uint64_t, Entry> m_entries; ///< By digest.
    std::set<std::pair<core::Time, std::uint64_t>> m_byAge; ///< Time of entry and digest.
    core::Time m_lastRoomAt = absl::InfinitePast(); ///< When there is room for the last caller that was entered.
    double m_spread = 0; ///< Position of the last caller without room within its limit, 0 to 1.
};

} // namespace spurlug::overload
