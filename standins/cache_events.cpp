//----------------------------------------------------------------------------------------------------------------------
// spurlug: cache events of the stand-in engine, delayed and with gaps
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "cache_events.h"

namespace standins
{

CacheEvents::CacheEvents(spurlug::core::Duration lag, std::uint64_t lossInterval, std::size_t capacity)
    : m_lag(lag)
    , m_lossInterval(lossInterval)
    , m_capacity(capacity)
{ }

void CacheEvents::add(CacheEventKind kind, std::uint64_t block, spurlug::core::Time now)
{
    ++m_lastNumber;
    if (m_lossInterval != 0 && m_lastNumber % m_lossInterval == 0) {
        return;
    }
    m_events.push_back({m_lastNumber, kind, block, now});
    if (m_events.size() > m_capacity) {
        m_events.pop_front();
    }
}

std::vector<CacheEvent> CacheEvents::eventsAfter(std::uint64_t after, spurlug::core::Time now) const
{
    std::vector<CacheEvent> events;
    for (const auto &event : m_events) {
        if (event.number > after && now - event.time >= m_lag) {
            events.push_back(event);
        }
    }
    return events;
}

} // namespace standins
