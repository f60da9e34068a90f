//----------------------------------------------------------------------------------------------------------------------
// spurlug: how long ago the configuration was known to be the newest
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

/// \brief Proofs that versions were the newest at some moment. The moment is that in which the question was *sent*: the
/// answer may have been delayed on its way, so that it says nothing about a later one.
///
/// A proof stays good when a newer version is heard of: that one was put in force after the proof's moment, so whatever
/// it takes away may still be used as long after it as the proof allows. Otherwise a daemon would turn callers away
/// from the moment at which it hears of a version until it has it, a second and more for a large one.
class Freshness
{
public:
    /// \brief Notes that `version` was the newest after `askedAt`.
    void confirm(std::int64_t version, core::Time askedAt)
    {
        auto &provenAt = m_proofs.try_emplace(version, askedAt).first->second;
        provenAt = std::max(provenAt, askedAt);
        if (m_proofs.size() > MostVersions) {
            m_proofs.erase(m_proofs.begin());
        }
    }

    /// \brief The newest version there is proof of; 0: none.
    [[nodiscard]] std::int64_t version() const noexcept
    {
        return m_proofs.empty() ? 0 : m_proofs.rbegin()->first;
    }

    /// \brief Age of the newest proof for `version`; infinite when there is none.
    [[nodiscard]] core::Duration age(std::int64_t version, core::Time now) const noexcept
    {
        const auto found = m_proofs.find(version);
        return found == m_proofs.end() || version <= 0 ? absl::InfiniteDuration() : now - found->second;
    }

private:
    static constexpr std::size_t MostVersions = 8; ///< A daemon is some versions behind at most.

    std::map<std::int64_t, core::Time> m_proofs; ///< When each version was known to be the newest.
};

} // namespace spurlug::relay
