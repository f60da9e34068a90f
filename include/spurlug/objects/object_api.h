//----------------------------------------------------------------------------------------------------------------------
// spurlug: client for the platform's object API and VM list
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/time.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spurlug::objects
{

/// \brief A stored value and its version; the version of an object only increases.
struct Object
{
    std::string value;
    std::int64_t version = 0;
};

/// \brief Entry of one VM in the VM list.
struct VmEntry
{
    std::string id;
    std::string failureDomain;
    core::Address peerAddress;
    bool leaving = false;
};

/// \brief Object API operations that spurlug needs; tests provide their own implementation.
template<typename Api>
concept ObjectApi
    = requires(Api api, const std::string &name, const std::string &value, std::int64_t version, core::Duration wait)
{
    {
        api.read(name)
        } -> std::same_as<std::optional<Object>>;
    {
        api.waitForChange(name, version, wait)
        } -> std::same_as<std::optional<Object>>;
    {
        api.update(name, value, version)
        } -> std::same_as<std::int64_t>;
};

/// \brief Object API client over HTTP. Thread-safe.
class HttpObjectApi
{
public:
    /// \param addresses Platform addresses, tried in order on each call.
    /// \param timeout Timeout of one call, in addition to the wait of a watch.
    explicit HttpObjectApi(std::vector<core::Address> addresses, core::Duration timeout = absl::Seconds(2));

    /// \brief Reads an object. This is one read call.
    /// \returns Nothing when there is no such object.
    /// \throws PlatformUnavailable
    [[nodiscard]] std::optional<Object> read(const std::string &name) const;

    /// \brief Waits until an object's version is above `version`. This is one read call, whatever the wait.
    /// \returns Nothing when `wait` elapsed without a change.
    /// \throws PlatformUnavailable
    [[nodiscard]] std::optional<Object> waitForChange(const std::string &name, std::int64_t version,
                                                      core::Duration wait) const;

    /// \brief Stores a value if the object still has `version` (0: does not exist). This is one write call.
    /// \returns The new version.
    /// \throws VersionConflict when it has another version; nothing changed.
    /// \throws PlatformUnavailable when nothing changed.
    /// \throws UnknownResult when the answer was lost; read the object to find out the result.
    std::int64_t update(const std::string &name, const std::string &value, std::int64_t version) const;

    /// \brief Names of the objects with a prefix. This is one read call.
    /// \throws PlatformUnavailable
    [[nodiscard]] std::vector<std::string> list(const std::string &prefix) const;

    /// \brief Removes an object if it still has `version`. This is one write call.
    /// \throws VersionConflict, PlatformUnavailable, UnknownResult
    void remove(const std::string &name, std::int64_t version) const;

    /// \brief Reads the VM list, which may be outdated. This is one read call.
    /// \throws PlatformUnavailable
    [[nodiscard]] std::vector<VmEntry> vms() const;

private:
    std::vector<core::Address> m_addresses;
    core::Duration m_timeout;
};

static_assert(ObjectApi<HttpObjectApi>);

} // namespace spurlug::objects
