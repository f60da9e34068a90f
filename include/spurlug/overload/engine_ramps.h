//----------------------------------------------------------------------------------------------------------------------
// spurlug: gradual use of the engines of a failure domain that returns
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <map>
#include <string>

namespace spurlug::overload
{

/// \brief Number of engines by failure domain.
using EngineCounts = std::map<std::string, std::size_t>;

/// \brief How many engines of each failure domain may answer requests of one service.
///
/// After many engines of a domain became available at once, the number grows linearly from 1 to all in 2 s.
class EngineRamps
{
public:
    /// \brief Sets the engines that are available now. Those of the first update may all be used at once.
    /// \returns The number of domains whose ramp begins.
    std::size_t update(const EngineCounts &available, core::Time now);

    [[nodiscard]] core::Time updatedAt() const noexcept
    {
        return m_updatedAt;
    }

    /// \brief Engines that may be used, for domains where these are not all.
    [[nodiscard]] EngineCounts limits() const;

private:
    struct Domain
    {
        std::size_t available = 0;
        double allowed = 0;
        bool isRamping = false;
    };

    std::map<std::string, Domain> m_domains;
    core::Time m_updatedAt = absl::InfinitePast();
};

} // namespace spurlug::overload
