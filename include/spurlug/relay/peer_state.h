//----------------------------------------------------------------------------------------------------------------------
// spurlug: configuration and targets that daemons fetch from each other, and how recent they are
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/control/messages.h"
#include "spurlug/core/time.h"
#include "spurlug/relay/context.h"
#include "spurlug/relay/directory.h"

#include <cstdint>
#include <string>
#include <vector>

namespace spurlug::relay
{

/// \brief A daemon's configuration and targets. Ages are as of the time when the state was made.
struct PeerState
{
    std::int64_t version = 0; ///< Version of the configuration; 0: none.
    core::Duration proofAge = absl::InfiniteDuration();
    std::string document; ///< Source text of the configuration; empty if the requester has that version.
    core::Duration targetsAge = absl::InfiniteDuration();
    DirectoryPosition targetsPosition; ///< Directory position that `targets` lead up to.
    /// Whether `targets` is the full list; otherwise the changes since the requester's position.
    bool isFullList = true;
    std::vector<TargetChange> targets;
};

/// \brief Returns this daemon's state for a requester.
/// \param requesterVersion Configuration version that the requester has.
/// \param requesterPosition Directory position of the requester's list of targets.
[[nodiscard]] PeerState makePeerState(const RelayContext &context, std::int64_t requesterVersion,
                                      const DirectoryPosition &requesterPosition, core::Time now);

/// \brief Returns how recent this daemon's configuration and targets are.
/// \param queryNumber Number of the query that this answers.
/// \param recoveredAt When the directory last recovered; in the infinite past if it never failed.
[[nodiscard]] control::FreshnessReply makeFreshnessReply(const RelayContext &context, std::uint64_t queryNumber,
                                                         core::Time recoveredAt, core::Time now);

[[nodiscard]] std::string writePeerState(const PeerState &state);

/// \throws InvalidDocument
[[nodiscard]] PeerState readPeerState(const std::string &text);

} // namespace spurlug::relay
