//----------------------------------------------------------------------------------------------------------------------
// spurlug: which failure domains reach each other, by what requests met
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace spurlug::relay
{

/// \brief Remembers between which failure domains connections fail.
///
/// Answers the pattern in which a failure domain is cut off: the list of targets names its engines for some seconds
/// more, each of them would be found out alone, and a prompt with fifteen helpers meets one refusal a try. Two
/// different targets that cannot be reached between two domains, and none that can, are taken for a link that is down;
/// it counts in both directions. Three of four days with a cut of 5 to 6 s lost 2 to 3 % of their credit so before.
/// Knows no socket.
class DomainLinks
{
public:
    /// \name Commands
    /// @{

    /// \brief Notes that something in one domain could not reach a target in another.
    /// \param target Hash of its life.
    void failed(const std::string &from, const std::string &to, std::uint32_t target, core::Time now);
    /// \brief Notes that something in one domain reached something in another.
    void reached(const std::string &from, const std::string &to);

    /// @}

    /// \brief Whether nothing in one domain is expected to reach anything in the other. Never true of a domain and
    /// itself.
    [[nodiscard]] bool parted(const std::string &from, const std::string &to, core::Time now) const;

private:
    struct Failures
    {
        std::vector<std::uint32_t> targets; ///< Different ones, since something was reached.
        core::Time lastAt = absl::InfinitePast();
    };
    using Pair = std::pair<std::string, std::string>;

    [[nodiscard]] static Pair pairOf(const std::string &left, const std::string &right);

    std::map<Pair, Failures> m_failures;
};

} // namespace spurlug::relay
