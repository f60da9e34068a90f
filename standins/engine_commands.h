//----------------------------------------------------------------------------------------------------------------------
// spurlug: commands to the stand-in engine (models, adapters, versions, roles), with or without fencing
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace standins
{

/// \brief A command to an engine.
struct EngineCommand
{
    std::uint64_t epoch = 0; ///< Fencing epoch of the sender.
    std::string kind; ///< "load", "unload" or "role".
    std::string name; ///< Name of the model or adapter, or the role.
    std::string version; ///< Version of the model or adapter to load.
};

/// \brief Models, adapters and role of an engine, and the highest epoch it accepted. A state machine without I/O.
class EngineCommands
{
public:
    /// \param checksFence Whether commands of an older epoch are rejected.
    /// \param loadTime Time that loading takes.
    EngineCommands(bool checksFence, spurlug::core::Duration loadTime);

    enum class CommandResult
    {
        Accepted,
        Outdated, ///< A command of a higher epoch was accepted before.
        UnknownKind, ///< Unknown kind of command.
    };
    CommandResult apply(const EngineCommand &command, spurlug::core::Time now);

    /// \brief Returns the highest epoch of an accepted command.
    [[nodiscard]] std::uint64_t highestEpoch() const noexcept;

    /// \brief Returns the versions of all models and adapters that are loaded at `now`, by name.
    [[nodiscard]] std::map<std::string, std::string> loadedVersions(spurlug::core::Time now) const;

    [[nodiscard]] const std::string &role() const noexcept;

private:
    struct LoadedItem
    {
        std::string version;
        spurlug::core::Time readyAt;
    };

    const bool m_checksFence;
    const spurlug::core::Duration m_loadTime;
    std::uint64_t m_highestEpoch = 0;
    std::string m_role = "mixed";
    std::map<std::string, LoadedItem> m_loadedItems;
};

} // namespace standins
