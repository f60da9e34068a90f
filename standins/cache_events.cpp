//----------------------------------------------------------------------------------------------------------------------
// spurlug: cache events of the stand-in engine, delayed and with gaps
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "cache_events.h"

namespace standins
{

CacheEvents::CacheEvents(spurlug::core::Duration lag, std::uint64_t loseEvery, std::size_t kept)
    : m_lag(lag)
    , m_loseEvery(loseEvery)
    , m_kept(kept)
{ }

void CacheEvents::add(CacheEventKind kind, std::uint64_t block, spurlug::core::Time now)
{
    ++m_last;
    if (m_loseEvery != 0 && m_last % m_loseEvery == 0) {
        return;
    }
    m_events.push_back({m_last, kind, block, now});
    if (m_events.size() > m_kept) {
        m_events.pop_front();
    }
}

std::vector<CacheEvent> CacheEvents::since(std::uint64_t after, spurlug::core::Time now) const
{
    std::vector<CacheEvent> shown;
    for (const auto &event : m_events) {
        if (event.number > after && now - event.at >= m_lag) {
            shown.push_back(event);
        }
    }
    return shown;
}

} // namespace standins
