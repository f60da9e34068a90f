//----------------------------------------------------------------------------------------------------------------------
// spurlug: applying a configuration to the object API
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/parts.h"
#include "spurlug/core/error.h"
#include "spurlug/core/text.h"
#include "spurlug/objects/object_api.h"

#include <algorithm>
#include <string>

namespace spurlug::config
{

/// \brief The active root and its object version.
struct StoredRoot
{
    Root root;
    std::int64_t version = 0; ///< 0 when no root is stored yet.
};

/// \brief Reads the active root.
/// \throws PlatformUnavailable, InvalidDocument
template<objects::ObjectApi Api>
[[nodiscard]] StoredRoot readStoredRoot(const Api &api)
{
    const auto object = api.read(std::string(RootObjectName));
    if (!object) {
        return {};
    }
    return {parseRoot(object->value), object->version};
}

/// \brief Stores the parts that the current root does not refer to.
///
/// A part is named after the hash of its content, so that a part that is already stored counts as success.
/// \throws PlatformUnavailable
template<objects::ObjectApi Api>
void storeParts(const Api &api, const SplitConfiguration &split, const Root &current)
{
    std::map<std::string, bool> storedHashes;
    for (const auto &[name, hash] : current.parts) {
        storedHashes[hash] = true;
    }
    for (const auto &[hash, text] : split.texts) {
        if (storedHashes.contains(hash)) {
            continue;
        }
        try {
            api.update(partObjectName(hash), text, 0);
        } catch (const core::VersionConflict &) {
            continue;
        } catch (const core::UnknownResult &) {
            if (!api.read(partObjectName(hash))) {
                throw core::PlatformUnavailable(core::cat("part ", hash, " was not stored"));
            }
        }
    }
}

/// \brief Whether `root`, the active one, includes a change.
[[nodiscard]] inline bool includesChange(const Root &root, const std::string &changeId)
{
    return std::find(root.history.begin(), root.history.end(), changeId) != root.history.end();
}

/// \brief Replaces the configuration by `document`.
///
/// When an answer is lost, the root's history tells whether the change took effect, even after later changes of other
/// authors; a change that did not take effect is sent again under the same condition.
/// \param expectedRoot The root that the author saw; the change is refused when another one is active.
/// \param changeId Unique id of this change.
/// \returns The generation of the change.
/// \throws VersionConflict when another author changed the configuration first; the change has no effect.
/// \throws PlatformUnavailable when the change has no effect.
/// \throws UnknownResult when the root was sent and could not be read back.
template<objects::ObjectApi Api>
std::int64_t applyConfiguration(const Api &api, const nlohmann::json &document, const StoredRoot &expectedRoot,
                                const std::string &changeId, const std::string &author)
{
    const auto split = splitDocument(document);
    storeParts(api, split, expectedRoot.root);
    const auto next = makeNextRoot(expectedRoot.root, changeId, author, split.parts);
    bool wasSent = false;
    while (true) {
        try {
            api.update(std::string(RootObjectName), serialiseRoot(next), expectedRoot.version);
            return next.generation;
        } catch (const core::UnknownResult &) {
            wasSent = true;
        } catch (const core::VersionConflict &) {
            if (!wasSent) {
                throw;
            }
        }
        StoredRoot stored;
        try {
            stored = readStoredRoot(api);
        } catch (const core::PlatformUnavailable &unavailable) {
            throw core::UnknownResult(unavailable.what());
        }
        if (includesChange(stored.root, changeId)) {
            return next.generation;
        }
        if (stored.version != expectedRoot.version) {
            throw core::VersionConflict(
                core::cat("generation ", stored.root.generation, " by ", stored.root.author, " is active"));
        }
    }
}

} // namespace spurlug::config
