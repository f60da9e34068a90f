//----------------------------------------------------------------------------------------------------------------------
// spurlug: stand-in of an engine's orders: models, adapters, versions and roles, fenced or not
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace standins
{

/// \brief An order to an engine.
struct EngineOrder
{
    std::uint64_t epoch = 0; ///< Fencing epoch of whoever gives the order.
    std::string kind; ///< "load", "unload" or "role".
    std::string name; ///< Model, adapter or role.
    std::string version; ///< Of what is loaded.
};

/// \brief What an engine has loaded, and the highest epoch it has seen. A pure state machine.
class EngineOrders
{
public:
    /// \param checksFence Whether orders of an older epoch are refused.
    /// \param loadTime How long loading takes.
    EngineOrders(bool checksFence, spurlug::core::Duration loadTime);

    enum class Reply
    {
        Accepted,
        Outdated, ///< An order of a higher epoch came before.
        Unknown, ///< No such kind of order.
    };
    Reply give(const EngineOrder &order, spurlug::core::Time now);

    /// \brief Highest epoch of an accepted order.
    [[nodiscard]] std::uint64_t highestEpoch() const noexcept;

    /// \brief Versions by name, of all that is loaded at `now`.
    [[nodiscard]] std::map<std::string, std::string> loaded(spurlug::core::Time now) const;

    [[nodiscard]] const std::string &role() const noexcept;

private:
    struct Loading
    {
        std::string version;
        spurlug::core::Time readyAt;
    };

    const bool m_checksFence;
    const spurlug::core::Duration m_loadTime;
    std::uint64_t m_highestEpoch = 0;
    std::string m_role = "mixed";
    std::map<std::string, Loading> m_loads;
};

} // namespace standins
