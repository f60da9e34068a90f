//----------------------------------------------------------------------------------------------------------------------
// spurlug: the newest load view that this daemon knows
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/overload/load_view.h"

#include <optional>

namespace spurlug::overload
{

/// \brief What became of a received load view.
enum class ViewVerdict
{
    Accepted,
    Known, ///< It is the stored view or an earlier one of the same scheduler.
    Outdated, ///< A newer scheduler published the stored view.
    Impossible, ///< Its values cannot be true.
};

/// \brief Keeps the newest load view, ordered by the start of the scheduler and the number of the view.
///
/// A view that has reached its maximum age is forgotten, and any scheduler may then replace it: the views of a
/// scheduler that started before one that died are used again after that time.
class LoadViewStore
{
public:
    /// \param maxAge Age from which a view is not used.
    explicit LoadViewStore(core::Duration maxAge) noexcept;

    /// \brief Stores a view if it is possible and newer than the stored one.
    /// \param wallTime Present time by the wall clock, which the start of a scheduler is compared with.
    ViewVerdict accept(const LoadView &view, core::Time now, core::Time wallTime);

    /// \brief The newest view with its age as of `now`; nothing if none is younger than the maximum age.
    [[nodiscard]] std::optional<LoadView> newest(core::Time now) const;

private:
    [[nodiscard]] bool isPossible(const LoadView &view, core::Time wallTime) const;

    const core::Duration m_maxAge;
    std::optional<LoadView> m_view;
    core::Time m_publishedAt = absl::InfinitePast(); ///< By the clock of this daemon.
};

} // namespace spurlug::overload
