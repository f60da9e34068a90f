//----------------------------------------------------------------------------------------------------------------------
// spurlug: order of waiting requests, with engine time shared fairly between organisations
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/overload/load_view.h"
#include "spurlug/overload/queue_item.h"
#include "spurlug/settings/overload_settings.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace spurlug::overload
{

/// \brief Start-time fair queueing by organisation over engine time.
///
/// Each organisation has a virtual start time, in ms of engine time by weight 1, that advances with its grants. The
/// virtual time is the least start time of the organisations that wait. It isn't the one of the last grant, because
/// grants follow urgency first: an organisation with less urgent requests would lose its share to the others' grants.
class FairQueue
{
public:
    /// Bounds the memory. Organisations beyond this number share the entry of requests without an organisation.
    static constexpr std::size_t MaxOrganisations = 256;

    explicit FairQueue(const settings::OverloadSettings &settings);

    /// \brief Order in which requests should be granted: by the operator's priority; those in time before late ones;
    /// callers that return at their time before others; short gaps before others; the start time of the organisation,
    /// with its requests ahead counted as granted; the least slack.
    ///
    /// Organisations that didn't wait before start at the current virtual time.
    /// \returns Indices of the items.
    [[nodiscard]] std::vector<std::size_t> order(const std::vector<QueueItem> &items);

    /// \brief Advances the start time of the organisation by the cost of a granted request, also of one that did not
    /// wait itself while others did.
    void noteGrant(const QueueItem &item);

    /// \brief Forgets all organisations. Called when nothing waits: contention has ended, so nobody owes engine time.
    void reset() noexcept;

    /// \brief Organisations whose engine time exceeds their share, the largest excess first, at most
    /// `LoadView::MaxExcesses`.
    [[nodiscard]] std::vector<ShareExcess> excesses() const;

    /// \brief Number of organisations that are tracked.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_startMs.size();
    }

private:
    /// The organisation under which a request counts.
    [[nodiscard]] std::uint32_t entryOf(const QueueItem &item) const;
    /// Adds the start time of an organisation, or that of requests without one if there is no room.
    void track(std::uint32_t organisation);
    [[nodiscard]] double virtualCostMs(const QueueItem &item) const;
    void updateStartTimes(const std::vector<QueueItem> &items);

    std::unordered_map<std::uint32_t, double> m_weights; ///< By organisation; those that are missing have 1.
    std::unordered_map<std::uint32_t, double> m_startMs; ///< Virtual start time, ms, by organisation.
    double m_virtualMs = 0; ///< Virtual time, ms.
};

} // namespace spurlug::overload
