//----------------------------------------------------------------------------------------------------------------------
// spurlug: order of the messages of a daemon over its restarts
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <algorithm>
#include <cstdint>
#include <deque>

namespace spurlug::membership
{

/// \brief How a message relates to the earlier ones of its sender.
enum class MessageAge
{
    Newer, ///< Of the known incarnation.
    Restarted, ///< The first one of another incarnation.
    Repeated, ///< Of the known incarnation, but not newer.
    Outdated, ///< Of an incarnation that has ended.
};

/// \brief Tells late messages of a daemon from those after a restart.
///
/// Incarnations are named by the time of day, which may be set back between them. An unknown incarnation is therefore a
/// later one, whatever its number.
class MessageOrder
{
public:
    [[nodiscard]] MessageAge ageOf(std::uint64_t incarnation, std::uint64_t sequence, core::Time now) const
    {
        if (incarnation == m_incarnation) {
            return sequence > m_sequence ? MessageAge::Newer : MessageAge::Repeated;
        }
        const bool hasEnded = std::find(m_ended.begin(), m_ended.end(), incarnation) != m_ended.end();
        // A late message of an unknown incarnation may have replaced one that is still running.
        return hasEnded && now - m_lastAt <= MaxSilence ? MessageAge::Outdated : MessageAge::Restarted;
    }

    /// \brief Records a message that is newer or of another incarnation.
    void record(std::uint64_t incarnation, std::uint64_t sequence, core::Time now)
    {
        if (incarnation != m_incarnation) {
            std::erase(m_ended, incarnation);
            m_ended.push_back(m_incarnation);
            if (m_ended.size() > MaxEnded) {
                m_ended.pop_front();
            }
        }
        m_incarnation = incarnation;
        m_sequence = sequence;
        m_lastAt = now;
    }

private:
    /// Time without a message of the known incarnation after which an earlier one may be running.
    static constexpr auto MaxSilence = absl::Seconds(7);
    static constexpr std::size_t MaxEnded = 16; ///< Ended incarnations that are remembered.

    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    core::Time m_lastAt = absl::InfinitePast();
    std::deque<std::uint64_t> m_ended;
};

} // namespace spurlug::membership
