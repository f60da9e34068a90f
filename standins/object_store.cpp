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

std::optional<StoredObject> ObjectStore::awaitNewer(const std::string &name, std::int64_t after,
                                                    spurlug::core::Duration timeout) const
{
    const auto changed = [&]() ABSL_NO_THREAD_SAFETY_ANALYSIS { return versionOf(name) > after; };
    absl::MutexLock lock(&m_mutex);
    if (!m_mutex.AwaitWithTimeout(absl::Condition(&changed), timeout)) {
        return std::nullopt;
    }
    return m_objects.at(name);
}

std::optional<std::int64_t> ObjectStore::update(const std::string &name, const std::string &value,
                                                std::optional<std::int64_t> expectedVersion)
{
    absl::MutexLock lock(&m_mutex);
    if (expectedVersion && versionOf(name) != *expectedVersion) {
        return std::nullopt;
    }
    m_objects[name] = StoredObject{value, ++m_lastVersion};
    return m_lastVersion;
}

bool ObjectStore::remove(const std::string &name, std::optional<std::int64_t> expectedVersion)
{
    absl::MutexLock lock(&m_mutex);
    if (expectedVersion && versionOf(name) != *expectedVersion) {
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
