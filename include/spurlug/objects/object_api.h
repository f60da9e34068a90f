//----------------------------------------------------------------------------------------------------------------------
// spurlug: client of the platform's object API and VM list
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

/// \brief A stored value and its version; versions of one object only go up.
struct Object
{
    std::string value;
    std::int64_t version = 0;
};

/// \brief What the VM list says of one VM.
struct VmEntry
{
    std::string id;
    std::string failureDomain;
    core::Address peerAddress;
    bool leaving = false;
};

/// \brief What spurlug needs of an object API; tests bring their own.
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

/// \brief The object API over HTTP. Safe to use from several threads.
class HttpObjectApi
{
public:
    /// \param addresses Platform addresses, tried in order on each call.
    /// \param timeout Longest time of one call, a watch's wait not counted.
    explicit HttpObjectApi(std::vector<core::Address> addresses, core::Duration timeout = absl::Seconds(2));

    /// \brief Reads an object. One read call.
    /// \returns Nothing when there is no such object.
    /// \throws PlatformUnavailable
    [[nodiscard]] std::optional<Object> read(const std::string &name) const;

    /// \brief Waits until an object's version is above `version`. One read call, however long it waits.
    /// \returns Nothing when `wait` passed without a change.
    /// \throws PlatformUnavailable
    [[nodiscard]] std::optional<Object> waitForChange(const std::string &name, std::int64_t version,
                                                      core::Duration wait) const;

    /// \brief Stores a value if the object still has `version` (0: does not exist). One write call.
    /// \returns The new version.
    /// \throws VersionConflict when it has another version; nothing changed.
    /// \throws PlatformUnavailable when nothing changed.
    /// \throws UnknownResult when the answer was lost: read the object to find out.
    std::int64_t update(const std::string &name, const std::string &value, std::int64_t version) const;

    /// \brief Names of the objects below a prefix. One read call.
    /// \throws PlatformUnavailable
    [[nodiscard]] std::vector<std::string> list(const std::string &prefix) const;

    /// \brief Removes an object if it still has `version`. One write call.
    /// \throws VersionConflict, PlatformUnavailable, UnknownResult
    void remove(const std::string &name, std::int64_t version) const;

    /// \brief The VM list, which lags behind the truth. One read call.
    /// \throws PlatformUnavailable
    [[nodiscard]] std::vector<VmEntry> vms() const;

private:
    std::vector<core::Address> m_addresses;
    core::Duration m_timeout;
};

static_assert(ObjectApi<HttpObjectApi>);

} // namespace spurlug::objects
