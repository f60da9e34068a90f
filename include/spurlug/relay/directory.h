//----------------------------------------------------------------------------------------------------------------------
// spurlug: where the relay learns its configuration and its targets
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

/// \brief How a call to the directory ended.
enum class DirectoryStatus
{
    Ok,
    Missing, ///< There is no such document.
    HistoryGone, ///< Changes since that revision are not known any more: read everything.
    Busy, ///< The directory refused the call for now.
    Unreachable, ///< No answer.
    Malformed, ///< The answer could not be understood.
};

/// \brief A configuration as it was read.
struct ConfigurationAnswer
{
    DirectoryStatus status = DirectoryStatus::Unreachable;
    std::string detail; ///< What went wrong, for logs.
    DirectoryPosition position; ///< Where to go on waiting.
    config::RouteTableRef table; ///< Null when nothing changed.
    std::string document; ///< The table's source, as peers pass it on.
};

/// \brief One change of the list of targets.
struct TargetChange
{
    TargetEntry entry; ///< Of one that is gone or cannot be used only its life, as far as it is told.
    bool gone = false;
    std::string fault{}; ///< What is wrong with the entry: it names no target to use. Empty: nothing.
};

/// \brief All targets, or what changed.
struct TargetsAnswer
{
    DirectoryStatus status = DirectoryStatus::Unreachable;
    std::string detail; ///< What went wrong, for logs.
    DirectoryPosition position; ///< Where to go on waiting.
    std::vector<TargetChange> changes;
};

/// \brief One change of the evacuated failure domains.
struct EvacuationChange
{
    std::string failureDomain;
    bool gone = false; ///< Whether it was taken back.
};

/// \brief All evacuated failure domains, or what changed.
struct EvacuationsAnswer
{
    DirectoryStatus status = DirectoryStatus::Unreachable;
    std::string detail; ///< What went wrong, for logs.
    DirectoryPosition position; ///< Where to go on waiting.
    std::vector<EvacuationChange> changes;
};

/// \brief A directory that can be read whole and waited on. Answers are the newest there is at some moment between
/// question and answer. A wait that is answered in another era than that of its revision tells nothing of what lies
/// between: its position says so.
template<typename D>
concept Directory = requires(D &directory, std::int64_t revision, core::Duration wait, const std::string &document)
{
    // Reads a configuration that a peer passed on. Throws core::InvalidDocument.
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
    };
};

} // namespace spurlug::core
