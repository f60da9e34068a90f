//----------------------------------------------------------------------------------------------------------------------
// spurlug: stand-in of an engine's cache events: late and with gaps
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

/// \brief What happened to a block of the prefix cache.
enum class CacheEventKind
{
    Stored,
    Evicted,
};

/// \brief One event; numbers that a reader does not see were lost.
struct CacheEvent
{
    std::uint64_t number = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    std::uint64_t block = 0;
    spurlug::core::Time at;
};

/// \brief Keeps the latest events, shows them late, and loses some.
class CacheEvents
{
public:
    /// \param lag Age from which on an event is shown.
    /// \param loseEvery Each so-manieth event is lost; 0: none.
    /// \param kept Events kept; older ones are lost too.
    CacheEvents(spurlug::core::Duration lag, std::uint64_t loseEvery, std::size_t kept);

    void add(CacheEventKind kind, std::uint64_t block, spurlug::core::Time now);

    /// \brief Events after number `after` that may be shown now.
    [[nodiscard]] std::vector<CacheEvent> since(std::uint64_t after, spurlug::core::Time now) const;

private:
    const spurlug::core::Duration m_lag;
    const std::uint64_t m_loseEvery;
    const std::size_t m_kept;
    std::uint64_t m_last = 0;
    std::deque<CacheEvent> m_events;
};

} // namespace standins
