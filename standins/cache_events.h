//----------------------------------------------------------------------------------------------------------------------
// spurlug: cache events of the stand-in engine, delayed and with gaps
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

namespace standins
{

/// \brief Kind of change of a block in the prefix cache.
enum class CacheEventKind
{
    Stored,
    Evicted,
};

/// \brief A cache event. Events are numbered consecutively; a gap means that events were lost.
struct CacheEvent
{
    std::uint64_t number = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    std::uint64_t block = 0;
    spurlug::core::Time time;
};

/// \brief Keeps the latest events, returns them after a delay and drops some of them.
class CacheEvents
{
public:
    /// \param lag Age from which on an event is returned.
    /// \param lossInterval Interval of lost events: 50 drops every 50th event, 0 drops none.
    /// \param capacity Maximum number of events that are kept; older ones are dropped.
    CacheEvents(spurlug::core::Duration lag, std::uint64_t lossInterval, std::size_t capacity);

    void add(CacheEventKind kind, std::uint64_t block, spurlug::core::Time now);

    /// \brief Returns the events with a number above `after` that are at least the lag old.
    [[nodiscard]] std::vector<CacheEvent> eventsAfter(std::uint64_t after, spurlug::core::Time now) const;

private:
    const spurlug::core::Duration m_lag;
    const std::uint64_t m_lossInterval;
    const std::size_t m_capacity;
    std::uint64_t m_lastNumber = 0;
    std::deque<CacheEvent> m_events;
};

} // namespace standins
