//----------------------------------------------------------------------------------------------------------------------
// spurlug: connections to targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/counted.h"
#include "spurlug/net/client_connection.h"
#include "spurlug/relay/target_set.h"

#include <functional>
#include <optional>
#include <string>

namespace spurlug::relay
{

/// \brief A connection to a target, or why there is none.
struct TargetConnection
{
    core::Ref<net::ClientConnection> connection; ///< Null if the target could not be connected to.
    bool refused = false; ///< The target's host is up, but nothing listens at its address.
    std::string error; ///< Description of the failure, for logs.
};

/// \brief Establishes connections to targets.
class TargetConnector
{
public:
    /// \brief Connects to an address.
    /// \returns Empty on success, otherwise the error.
    using Dial = std::function<net::Task<std::string>(net::ClientConnection &, core::Address, core::Duration timeout)>;

    explicit TargetConnector(net::Loop &loop);

    /// \brief Replaces the function that connects to a target's address.
    void setDial(Dial dial);

    /// \brief Connects to a target. Nothing has been sent to it when this returns.
    [[nodiscard]] net::Task<TargetConnection> connect(core::Ref<Target> target, core::Duration timeout);

    /// \brief Sends a request to a target over a new connection and awaits the whole response.
    /// \param deadline Deadline of the whole exchange.
    /// \param error Set to the error if there is no response; empty otherwise.
    /// \returns Nothing if the response did not arrive completely.
    [[nodiscard]] net::Task<std::optional<net::Response>> exchange(core::Ref<Target> target, net::Request request,
                                                                   core::Time deadline, std::string &error);

private:
    net::Loop &m_loop;
    Dial m_dial;
};

} // namespace spurlug::relay
