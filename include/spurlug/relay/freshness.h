//----------------------------------------------------------------------------------------------------------------------
// spurlug: how long ago a configuration version was known to be the newest
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

namespace spurlug::relay
{

/// \brief Times at which configuration versions were confirmed as the newest. That is when the question was *sent*: the
/// answer may have been delayed in transit, so it says nothing about a later time.
///
/// A confirmation remains valid when a newer version becomes known: the newer one took effect after the time of the
/// confirmation, so whatever it revokes may still be used for as long after that time as the confirmation allows.
/// Otherwise a daemon would reject callers from the time when it learns of a version until it has received it, which
/// takes a second and more for a large one.
class Freshness
{
public:
    /// \brief Records that `version` was the newest at some time after `askedAt`.
    void confirm(std::int64_t version, core::Time askedAt)
    {
        auto &confirmedAt = m_confirmedAt.try_emplace(version, askedAt).first->second;
        confirmedAt = std::max(confirmedAt, askedAt);
        if (m_confirmedAt.size() > MaxVersions) {
            m_confirmedAt.erase(m_confirmedAt.begin());
        }
    }

    /// \brief The newest confirmed version; 0 if there is none.
    [[nodiscard]] std::int64_t newestVersion() const noexcept
    {
        return m_confirmedAt.empty() ? 0 : m_confirmedAt.rbegin()->first;
    }

    /// \brief Age of the newest confirmation of `version`; infinite if there is none.
    [[nodiscard]] core::Duration age(std::int64_t version, core::Time now) const noexcept
    {
        const auto found = m_confirmedAt.find(version);
        return found == m_confirmedAt.end() || version <= 0 ? absl::InfiniteDuration() : now - found->second;
    }

private:
    static constexpr std::size_t MaxVersions = 8; ///< A daemon is at most a few versions behind.

    std::map<std::int64_t, core::Time> m_confirmedAt; ///< Latest `askedAt` for each version.
};

} // namespace spurlug::relay
