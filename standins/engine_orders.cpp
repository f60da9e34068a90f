//----------------------------------------------------------------------------------------------------------------------
// spurlug: commands to the stand-in engine (models, adapters, versions, roles), with or without fencing
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "engine_orders.h"

#include <algorithm>

namespace standins
{

EngineOrders::EngineOrders(bool checksFence, spurlug::core::Duration loadTime)
    : m_checksFence(checksFence)
    , m_loadTime(loadTime)
{ }

EngineOrders::Reply EngineOrders::give(const EngineOrder &order, spurlug::core::Time now)
{
    if (m_checksFence && order.epoch < m_highestEpoch) {
        return Reply::Outdated;
    }
    if (order.kind == "load") {
        m_loads[order.name] = Loading{order.version, now + m_loadTime};
    } else if (order.kind == "unload") {
        m_loads.erase(order.name);
    } else if (order.kind == "role") {
        m_role = order.name;
    } else {
        return Reply::Unknown;
    }
    m_highestEpoch = std::max(m_highestEpoch, order.epoch);
    return Reply::Accepted;
}

std::uint64_t EngineOrders::highestEpoch() const noexcept
{
    return m_highestEpoch;
}

std::map<std::string, std::string> EngineOrders::loaded(spurlug::core::Time now) const
{
    std::map<std::string, std::string> ready;
    for (const auto &[name, loading] : m_loads) {
        if (now >= loading.readyAt) {
            ready[name] = loading.version;
        }
    }
    return ready;
}

const std::string &EngineOrders::role() const noexcept
{
    return m_role;
}

} // namespace standins
