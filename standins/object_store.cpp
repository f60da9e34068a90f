//----------------------------------------------------------------------------------------------------------------------
// spurlug: object store of the stand-in platform, without network access
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "object_store.h"

#include "spurlug/core/text.h"

namespace standins
{

std::optional<StoredObject> ObjectStore::read(const std::string &name) const
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? std::nullopt : std::optional(found->second);
}

std::optional<StoredObject> ObjectStore::waitAbove(const std::string &name, std::int64_t after,
                                                   spurlug::core::Duration wait) const
{
    const auto changed = [&]() ABSL_NO_THREAD_SAFETY_ANALYSIS { return versionOf(name) > after; };
    absl::MutexLock lock(&m_mutex);
    if (!m_mutex.AwaitWithTimeout(absl::Condition(&changed), wait)) {
        return std::nullopt;
    }
    return m_objects.at(name);
}

std::optional<std::int64_t> ObjectStore::update(const std::string &name, const std::string &value,
                                                std::optional<std::int64_t> expected)
{
    absl::MutexLock lock(&m_mutex);
    if (expected && versionOf(name) != *expected) {
        return std::nullopt;
    }
    m_objects[name] = StoredObject{value, ++m_lastVersion};
    return m_lastVersion;
}

bool ObjectStore::remove(const std::string &name, std::optional<std::int64_t> expected)
{
    absl::MutexLock lock(&m_mutex);
    if (expected && versionOf(name) != *expected) {
        return false;
    }
    m_objects.erase(name);
    return true;
}

std::vector<std::string> ObjectStore::names(const std::string &prefix) const
{
    std::vector<std::string> found;
    absl::MutexLock lock(&m_mutex);
    for (const auto &[name, object] : m_objects) {
        if (name.starts_with(prefix)) {
            found.push_back(name);
        }
    }
    return found;
}

std::int64_t ObjectStore::versionOf(const std::string &name) const
{
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? 0 : found->second.version;
}

} // namespace standins
