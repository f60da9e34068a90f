//----------------------------------------------------------------------------------------------------------------------
// spurlug: load views for the replies of a scheduler
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/overload/load_view.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spurlug::overload
{

/// \brief Numbers the load views of one scheduler and limits how often a daemon gets one.
class LoadViewPublisher
{
public:
    /// Minimum time between two views to one daemon. With LoadView::MaxBytes this is 192 bytes/s.
    static constexpr auto MinInterval = absl::Milliseconds(500);
    static constexpr std::size_t MaxDaemons = 2048; ///< Twice the largest fleet.

    /// \param schedulerStart Start of the scheduler by the wall clock, in ns since 1970.
    explicit LoadViewPublisher(std::uint64_t schedulerStart) noexcept;

    /// \brief Makes a view for a reply to a daemon.
    /// \param excesses Organisations above their share; the largest excesses are kept.
    /// \returns Nothing if the daemon got a view less than `MinInterval` ago, or if too many daemons did.
    [[nodiscard]] std::optional<LoadView> publish(const std::string &vm, const std::array<KindLoad, KindCount> &kinds,
                                                  std::size_t daemons, std::vector<ShareExcess> excesses,
                                                  core::Time now);

    /// \brief Whether a daemon got no view in the last `MinInterval`.
    [[nodiscard]] bool isDue(const std::string &vm, core::Time now) const;

private:
    const std::uint64_t m_schedulerStart;
    std::uint32_t m_number = 0;
    std::map<std::string, core::Time> m_publishedAt; ///< By daemon.
};

} // namespace spurlug::overload
