//----------------------------------------------------------------------------------------------------------------------
// spurlug: settings of one daemon
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

/// \brief Bounds on what one daemon holds at once.
struct Limits
{
    std::int64_t connections = 512; ///< Caller connections, one thread each.
    std::int64_t adminConnections = 16; ///< Operator connections, one thread each.
    std::int64_t bodyBytes = 16LL << 20; ///< Largest request body, bytes.
    std::int64_t bodyMemoryBytes = 96LL << 20; ///< All request bodies held at once, bytes.
    std::int64_t decisionsKept = 2048; ///< Decisions kept for `explain`.
};

/// \brief How often a daemon speaks, and when silence counts.
struct Timing
{
    core::Duration heartbeat = core::fromMs(1000); ///< Between heartbeats to a peer.
    core::Duration peerTimeout = core::fromMs(3500); ///< Silence after which a peer counts as gone.
    core::Duration loadPoll = core::fromMs(1000); ///< Between load reports of a target.
    core::Duration watch = core::fromMs(20000); ///< Longest wait of one watch call.
    core::Duration startSpread = core::fromMs(3000); ///< Longest wait before a starting daemon reads the platform.
    core::Duration platformRetry = core::fromMs(500); ///< First wait after a failed platform call.
};

/// \brief What a daemon reads from its settings file.
struct DaemonSettings
{
    std::string vm; ///< Name of this VM, unique in the fleet.
    std::string failureDomain;
    std::vector<std::string> failureDomains; ///< All of the fleet. Empty: those that are heard of.
    std::string region;
    core::Address callerAddress; ///< Port 0 lets the kernel choose.
    core::Address adminAddress;
    core::Address peerAddress; ///< UDP, for heartbeats.
    core::Address rpcAddress; ///< gRPC, for peers.
    std::vector<core::Address> platform; ///< Object API and VM list, tried in order.
    std::vector<core::Address> seeds; ///< Heartbeat addresses of peers, beside the VM list.
    std::string peerKey; ///< Shared secret of heartbeats; empty leaves them unsigned.
    core::LogLevel logLevel = core::LogLevel::Info;
    Limits limits;
    Timing timing;
};

/// \brief Reads and checks a settings file.
/// \throws InvalidDocument with one line for each fault: file, JSON pointer, what was expected.
[[nodiscard]] DaemonSettings loadSettings(const std::string &path);

} // namespace spurlug::settings
