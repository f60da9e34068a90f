//----------------------------------------------------------------------------------------------------------------------
// spurlug: settings of a daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/log.h"
#include "spurlug/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace spurlug::settings
{

/// \brief Limits on what one daemon holds at once.
struct Limits
{
    std::int64_t connections = 512; ///< Caller connections, one thread each.
    std::int64_t adminConnections = 16; ///< Operator connections, one thread each.
    std::int64_t bodyBytes = 16LL << 20; ///< Maximum size of a request body, bytes.
    std::int64_t bodyMemoryBytes = 96LL << 20; ///< Maximum size of all request bodies held at once, bytes.
    std::int64_t decisionsKept = 2048; ///< Number of decisions kept for `explain`.
};

/// \brief Intervals and timeouts of a daemon.
struct Timing
{
    core::Duration heartbeat = core::fromMs(1000); ///< Interval between heartbeats to a peer.
    core::Duration peerTimeout = core::fromMs(3500); ///< A peer is considered gone after this time without a heartbeat.
    core::Duration loadPoll = core::fromMs(1000); ///< Interval between load reports of a target.
    core::Duration watch = core::fromMs(20000); ///< Maximum duration of one watch call.
    core::Duration startSpread = core::fromMs(3000); ///< Maximum delay before a starting daemon reads the platform.
    core::Duration platformRetry = core::fromMs(500); ///< Delay after the first failed platform call.
};

/// \brief Contents of the settings file of a daemon.
struct DaemonSettings
{
    std::string vm; ///< Name of this VM, unique in the fleet.
    std::string failureDomain;
    std::vector<std::string> failureDomains; ///< All of the fleet. If empty, those that are heard of.
    std::string region;
    core::Address callerAddress; ///< Port 0 lets the kernel choose.
    core::Address adminAddress;
    core::Address peerAddress; ///< UDP, for heartbeats.
    core::Address rpcAddress; ///< gRPC, for peers.
    std::vector<core::Address> platform; ///< Addresses of the object API and the VM list, tried in order.
    std::vector<core::Address> seeds; ///< Heartbeat addresses of peers in addition to the VM list.
    std::string peerKey; ///< Shared secret that signs heartbeats; if empty, they are unsigned.
    core::LogLevel logLevel = core::LogLevel::Info;
    Limits limits;
    Timing timing;
};

/// \brief Reads and validates a settings file.
/// \throws InvalidDocument with one line per error: file, JSON pointer and what was expected.
[[nodiscard]] DaemonSettings loadSettings(const std::string &path);

} // namespace spurlug::settings
