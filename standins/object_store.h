//----------------------------------------------------------------------------------------------------------------------
// spurlug: object store of the stand-in platform, without network access
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/limits/token_bucket.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standins
{

/// \brief A stored value and its version.
struct StoredObject
{
    std::string value;
    std::int64_t version = 0;
};

/// \brief Versioned objects with conditional updates and watches. Thread-safe.
class ObjectStore
{
public:
    [[nodiscard]] std::optional<StoredObject> read(const std::string &name) const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Waits until an object's version is above `after`.
    /// \param timeout Maximum time to wait.
    /// \returns The object, or nothing on timeout.
    [[nodiscard]] std::optional<StoredObject> awaitNewer(const std::string &name, std::int64_t after,
                                                         spurlug::core::Duration timeout) const
        ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Stores a value if the object's version is `expected` (0: the object does not exist), or always if unset.
    /// \returns The new version, or nothing if the version differs.
    std::optional<std::int64_t> update(const std::string &name, const std::string &value,
                                       std::optional<std::int64_t> expectedVersion) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Removes an object if its version is `expected`, or always if unset. \returns False if the version
    /// differs.
    bool remove(const std::string &name, std::optional<std::int64_t> expectedVersion) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Returns the names of all objects whose name starts with `prefix`.
    [[nodiscard]] std::vector<std::string> names(const std::string &prefix) const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    /// \brief Returns an object's version; 0 if it does not exist.
    [[nodiscard]] std::int64_t versionOf(const std::string &name) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    std::map<std::string, StoredObject> m_objects ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_lastVersion ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace standins
