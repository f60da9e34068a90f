//----------------------------------------------------------------------------------------------------------------------
// spurlug: what daemons tell each other while some of them cannot reach the directory
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

/// \brief One daemon's knowledge of configuration and targets. Ages are as of the moment it was written.
struct PeerState
{
    std::int64_t version = 0; ///< Of the configuration; 0: none.
    core::Duration proofAge = absl::InfiniteDuration();
    std::string document; ///< Source of the configuration; empty when the asker has that version.
    core::Duration targetsAge = absl::InfiniteDuration();
    DirectoryPosition targetsPosition; ///< What the list is as of.
    bool wholeList = true; ///< Whether `targets` are all; else what changed since the asker's position.
    std::vector<TargetChange> targets;
};

/// \brief What this daemon knows.
/// \param askersVersion Version of the configuration that the asker has.
/// \param askersPosition Of the list of targets that the asker has.
[[nodiscard]] PeerState peerState(const RelayContext &context, std::int64_t askersVersion,
                                  const DirectoryPosition &askersPosition, core::Time now);

/// \brief How new what this daemon knows is.
/// \param regainedAt When the directory was regained last; in the infinite past: it was never lost.
[[nodiscard]] control::ProofAnswer proofAnswer(const RelayContext &context, std::uint64_t number, core::Time regainedAt,
                                               core::Time now);

[[nodiscard]] std::string writePeerState(const PeerState &state);

/// \throws InvalidDocument
[[nodiscard]] PeerState readPeerState(const std::string &text);

} // namespace spurlug::relay
