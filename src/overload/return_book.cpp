//----------------------------------------------------------------------------------------------------------------------
// spurlug: when refused callers should return
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/overload/return_book.h"

#include <algorithm>
#include <cmath>

namespace spurlug::overload
{

namespace
{

/// Maximum share of the time until its deadline that a caller waits before it returns (users' protocol).
constexpr double MaxTimeShare = 1.0 / 3;
constexpr auto MaxRetryAfter = absl::Seconds(10); ///< If the deadline is not known or far.
/// Callers for which there is no room within their limit return between this share of it and the limit. All at the
/// limit, the refused callers of one moment would return in one moment.
constexpr double MinLimitShare = 0.5;
constexpr double GoldenRatio = 0.6180339887498949; // Its multiples modulo 1 are evenly spread, however many there are.

} // namespace

core::Duration ReturnBook::enter(const RefusedCaller &caller, core::Time now)
{
    removeExpired(now);
    const auto found = m_entries.find(caller.digest);
    if (found != m_entries.end() && now < found->second.returnsAt) {
        return found->second.returnsAt - now;
    }
    const auto limit = std::min(caller.timeLeft * MaxTimeShare, core::Duration(MaxRetryAfter));
    // After a dip of the drain rate, the time noted for the last caller is later than all entered callers need.
    const auto entered = static_cast<double>(m_entries.size());
    m_lastRoomAt = std::min(m_lastRoomAt, now + caller.backlog + caller.spacing * entered);
    const auto roomAt
        = std::max({now + core::Duration(MinRetryAfter), now + caller.backlog, m_lastRoomAt + caller.spacing});
    if (roomAt + caller.leastTtft > now + caller.timeLeft) {
        return absl::ZeroDuration();
    }
    auto retryAfter = std::max(roomAt - now, caller.expectedWait);
    if (retryAfter > limit) {
        m_spread = std::fmod(m_spread + GoldenRatio, 1);
        retryAfter = limit * (MinLimitShare + (1 - MinLimitShare) * m_spread);
    }
    if (retryAfter < MinRetryAfter) {
        return absl::ZeroDuration();
    }
    m_lastRoomAt = roomAt;
    if (caller.digest != 0) {
        remove(caller.digest);
        if (m_entries.size() >= MaxEntries) {
            remove(m_byAge.begin()->second);
        }
        m_entries[caller.digest] = {now + retryAfter, now};
        m_byAge.emplace(now, caller.digest);
    }
    return retryAfter;
}

void ReturnBook::remove(std::uint64_t digest)
{
    const auto found = m_entries.find(digest);
    if (found != m_entries.end()) {
        m_byAge.erase({found->second.enteredAt, digest});
        m_entries.erase(found);
    }
}

Arrival ReturnBook::arrivalOf(std::uint64_t digest, core::Time now) const
{
    const auto found = m_entries.find(digest);
    if (found == m_entries.end() || now - found->second.enteredAt > EntryTtl) {
        return Arrival::New;
    }
    return now < found->second.returnsAt ? Arrival::Early : Arrival::OnTime;
}

void ReturnBook::removeExpired(core::Time now)
{
    while (!m_byAge.empty() && now - m_byAge.begin()->first > EntryTtl) {
        remove(m_byAge.begin()->second);
    }
}

} // namespace spurlug::overload
