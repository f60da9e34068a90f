//----------------------------------------------------------------------------------------------------------------------
// spurlug: how long ago the configuration was known to be the newest
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <algorithm>
#include <cstdint>

namespace spurlug::relay
{

/// \brief Proof that a version was the newest at some moment. The moment is that in which the question was *sent*: the
/// answer may have been delayed on its way, so that it says nothing about a later one.
class Freshness
{
public:
    /// \brief Notes that `version` was the newest after `askedAt`. Proofs of older versions are dropped.
    void confirm(std::int64_t version, core::Time askedAt) noexcept
    {
        if (version > m_version) {
            m_version = version;
            m_provenAt = askedAt;
        } else if (version == m_version) {
            m_provenAt = std::max(m_provenAt, askedAt);
        }
    }

    /// \brief The newest version there is proof of; 0: none.
    [[nodiscard]] std::int64_t version() const noexcept
    {
        return m_version;
    }

    /// \brief Age of the proof for `version`; infinite when a newer version is known or none was proven.
    [[nodiscard]] core::Duration age(std::int64_t version, core::Time now) const noexcept
    {
        return version == m_version && version > 0 ? now - m_provenAt : absl::InfiniteDuration();
    }

private:
    std::int64_t m_version = 0;
    core::Time m_provenAt = absl::InfinitePast();
};

} // namespace spurlug::relay
