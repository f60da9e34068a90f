//----------------------------------------------------------------------------------------------------------------------
// spurlug: commands to the stand-in engine (models, adapters, versions, roles), with or without fencing
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "engine_commands.h"

#include <algorithm>

namespace standins
{

EngineCommands::EngineCommands(bool checksFence, spurlug::core::Duration loadTime)
    : m_checksFence(checksFence)
    , m_loadTime(loadTime)
{ }

EngineCommands::CommandResult EngineCommands::apply(const EngineCommand &command, spurlug::core::Time now)
{
    if (m_checksFence && command.epoch < m_highestEpoch) {
        return CommandResult::Outdated;
    }
    if (command.kind == "load") {
        m_loadedItems[command.name] = LoadedItem{command.version, now + m_loadTime};
    } else if (command.kind == "unload") {
        m_loadedItems.erase(command.name);
    } else if (command.kind == "role") {
        m_role = command.name;
    } else {
        return CommandResult::UnknownKind;
    }
    m_highestEpoch = std::max(m_highestEpoch, command.epoch);
    return CommandResult::Accepted;
}

std::uint64_t EngineCommands::highestEpoch() const noexcept
{
    return m_highestEpoch;
}

std::map<std::string, std::string> EngineCommands::loadedVersions(spurlug::core::Time now) const
{
    std::map<std::string, std::string> versions;
    for (const auto &[name, item] : m_loadedItems) {
        if (now >= item.readyAt) {
            versions[name] = item.version;
        }
    }
    return versions;
}

const std::string &EngineCommands::role() const noexcept
{
    return m_role;
}

} // namespace standins
