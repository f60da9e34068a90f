//----------------------------------------------------------------------------------------------------------------------
// spurlug: connections to targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/target_connector.h"

#include <utility>

namespace spurlug::relay
{

TargetConnector::TargetConnector(net::Loop &loop)
    : m_loop(loop)
    , m_dial([](net::ClientConnection &connection, core::Address address, core::Duration timeout) {
        return connection.connect(std::move(address), timeout);
    })
{ }

void TargetConnector::setDial(Dial dial)
{
    m_dial = std::move(dial);
}

net::Task<TargetConnection> TargetConnector::connect(core::Ref<Target> target, core::Duration timeout)
{
    TargetConnection result;
    auto connection = core::makeRef<net::ClientConnection>(m_loop);
    result.error = co_await m_dial(*connection, target->entry.address, timeout);
    result.refused = connection->connectionRefused();
    if (result.error.empty()) {
        result.connection = std::move(connection);
    }
    co_return result;
}

net::Task<std::optional<net::Response>> TargetConnector::exchange(core::Ref<Target> target, net::Request request,
                                                                  core::Time deadline, std::string &error)
{
    auto connected = co_await connect(std::move(target), deadline - core::now());
    error = connected.error;
    if (!connected.connection) {
        co_return std::nullopt;
    }
    co_return co_await net::exchange(*connected.connection, std::move(request), deadline, error);
}

} // namespace spurlug::relay
