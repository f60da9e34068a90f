//----------------------------------------------------------------------------------------------------------------------
// spurlug: interface to the directory of configuration, targets and evacuations
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/route_table.h"
#include "spurlug/core/enum_names.h"
#include "spurlug/core/time.h"
#include "spurlug/net/io.h"
#include "spurlug/relay/directory_position.h"
#include "spurlug/relay/target_set.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace spurlug::relay
{

/// \brief Result of a call to the directory.
enum class DirectoryStatus
{
    Ok,
    Missing, ///< The document doesn't exist.
    HistoryGone, ///< Changes since that revision are no longer available: read the full list.
    Busy, ///< The directory temporarily refused the call.
    Unreachable, ///< No answer.
    Malformed, ///< The answer could not be parsed.
    Abandoned, ///< The wait was ended by `abandonWaits`.
};

/// \brief Answer to a read of, or a wait for, the configuration.
struct ConfigurationAnswer
{
    DirectoryStatus status = DirectoryStatus::Unreachable;
    std::string detail; ///< Cause of a failure, for logs.
    DirectoryPosition position; ///< Start of the next wait.
    config::RouteTableRef table; ///< Null if nothing changed.
    std::string document; ///< Source text of the table, as peers forward it.
};

/// \brief A change of the list of targets.
struct TargetChange
{
    TargetEntry entry; ///< If gone or unusable, only its id and start time, as far as known.
    bool removed = false;
    std::string fault{}; ///< Why the entry is unusable; empty if it is valid.
};

/// \brief All targets, or the changes.
struct TargetsAnswer
{
    DirectoryStatus status = DirectoryStatus::Unreachable;
    std::string detail; ///< Cause of a failure, for logs.
    DirectoryPosition position; ///< Start of the next wait.
    std::vector<TargetChange> changes;
};

/// \brief A change of the set of evacuated failure domains.
struct EvacuationChange
{
    std::string failureDomain;
    bool cancelled = false; ///< Whether the evacuation was cancelled.
};

/// \brief All evacuated failure domains, or the changes.
struct EvacuationsAnswer
{
    DirectoryStatus status = DirectoryStatus::Unreachable;
    std::string detail; ///< Cause of a failure, for logs.
    DirectoryPosition position; ///< Start of the next wait.
    std::vector<EvacuationChange> changes;
};

/// \brief A directory that can be read in full and watched for changes. An answer holds the newest state as of some
/// time between the request and the answer. A wait that is answered in another era than that of its revision doesn't
/// contain the changes in between; its position shows the new era.
template<typename D>
concept Directory = requires(D &directory, std::int64_t revision, core::Duration wait, const std::string &document)
{
    // Parses a configuration that a peer forwarded. Throws core::InvalidDocument.
    {
        directory.readDocument(document)
        } -> std::same_as<config::RouteTableRef>;
    {
        directory.readConfiguration()
        } -> std::same_as<net::Task<ConfigurationAnswer>>;
    {
        directory.awaitConfiguration(revision, wait)
        } -> std::same_as<net::Task<ConfigurationAnswer>>;
    {
        directory.listTargets()
        } -> std::same_as<net::Task<TargetsAnswer>>;
    {
        directory.awaitTargets(revision, wait)
        } -> std::same_as<net::Task<TargetsAnswer>>;
    {
        directory.listEvacuations()
        } -> std::same_as<net::Task<EvacuationsAnswer>>;
    {
        directory.awaitEvacuations(revision, wait)
        } -> std::same_as<net::Task<EvacuationsAnswer>>;
    // Ends the waits in progress: their connections may have gone silent.
    directory.abandonWaits();
};

} // namespace spurlug::relay

namespace spurlug::core
{

template<>
struct EnumNames<relay::DirectoryStatus>
{
    using Status = relay::DirectoryStatus;
    static constexpr std::array table{
        EnumName<Status>{Status::Ok, "ok"},
        EnumName<Status>{Status::Missing, "missing"},
        EnumName<Status>{Status::HistoryGone, "history_gone"},
        EnumName<Status>{Status::Busy, "busy"},
        EnumName<Status>{Status::Unreachable, "unreachable"},
        EnumName<Status>{Status::Malformed, "malformed"},
        EnumName<Status>{Status::Abandoned, "abandoned"},
    };
};

} // namespace spurlug::core
