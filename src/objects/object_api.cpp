//----------------------------------------------------------------------------------------------------------------------
// spurlug: client for the platform's object API and VM list
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/objects/object_api.h"

#include "spurlug/core/error.h"
#include "spurlug/core/json_document.h"
#include "spurlug/core/text.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace spurlug::objects
{

namespace
{

constexpr int Ok = 200;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr int NotFound = 404;
constexpr int Conflict = 409;

httplib::Client connect(const core::Address &address, core::Duration timeout)
{
    httplib::Client client(address.host, address.port);
    client.set_connection_timeout(absl::ToChronoMicroseconds(absl::Seconds(1)));
    client.set_read_timeout(absl::ToChronoMicroseconds(timeout));
    return client;
}

bool requestWasSent(httplib::Error error)
{
    return error != httplib::Error::Connection && error != httplib::Error::BindIPAddress
        && error != httplib::Error::ConnectionTimeout;
}

/// Calls each address in turn until one answers with a status below 500 (but not 429). A write whose answer was lost
/// is not repeated.
template<typename Call>
httplib::Result callFirstAvailable(const std::vector<core::Address> &addresses, core::Duration timeout, bool isWrite,
                                   Call call)
{
    std::string lastError = "no platform address is configured";
    for (const auto &address : addresses) {
        auto client = connect(address, timeout);
        auto result = call(client);
        constexpr int FirstServerError = 500;
        constexpr int TooManyRequests = 429;
        if (result && result->status < FirstServerError && result->status != TooManyRequests) {
            return result;
        }
        if (!result && isWrite && requestWasSent(result.error())) {
            throw core::UnknownResult(
                core::cat("the platform's answer was lost: ", httplib::to_string(result.error())));
        }
        lastError = result ? core::cat("status ", result->status) : httplib::to_string(result.error());
    }
    throw core::PlatformUnavailable(lastError);
}

Object toObject(const httplib::Response &response)
{
    Object object;
    object.value = response.body;
    object.version = std::stoll(response.get_header_value("Object-Version"));
    return object;
}

void throwIfNotApplied(const std::string &name, const httplib::Result &result)
{
    if (result->status == Conflict) {
        throw core::VersionConflict(core::cat(name, " has version ", result->get_header_value("Object-Version")));
    }
    if (result->status != Ok && result->status != NoContent) {
        throw core::PlatformUnavailable(core::cat("status ", result->status));
    }
}

} // namespace

HttpObjectApi::HttpObjectApi(std::vector<core::Address> addresses, core::Duration timeout)
    : m_addresses(std::move(addresses))
    , m_timeout(timeout)
{ }

std::optional<Object> HttpObjectApi::read(const std::string &name) const
{
    const auto path = core::cat("/objects/", name);
    const auto result
        = callFirstAvailable(m_addresses, m_timeout, false, [&](auto &client) { return client.Get(path); });
    if (result->status == NotFound) {
        return std::nullopt;
    }
    if (result->status != Ok) {
        throw core::PlatformUnavailable(core::cat("status ", result->status));
    }
    return toObject(*result);
}

std::optional<Object> HttpObjectApi::waitForChange(const std::string &name, std::int64_t version,
                                                   core::Duration wait) const
{
    const auto path = core::cat("/objects/", name, "?after=", version, "&waitMs=", core::toMs(wait));
    const auto result
        = callFirstAvailable(m_addresses, m_timeout + wait, false, [&](auto &client) { return client.Get(path); });
    if (result->status == NotModified) {
        return std::nullopt;
    }
    if (result->status != Ok) {
        throw core::PlatformUnavailable(core::cat("status ", result->status));
    }
    return toObject(*result);
}

std::int64_t HttpObjectApi::update(const std::string &name, const std::string &value, std::int64_t version) const
{
    const auto path = core::cat("/objects/", name);
    const httplib::Headers headers{{"If-Version", std::to_string(version)}};
    const auto result = callFirstAvailable(m_addresses, m_timeout, true, [&](auto &client) {
        return client.Put(path, headers, value, "application/octet-stream");
    });
    throwIfNotApplied(name, result);
    return std::stoll(result->get_header_value("Object-Version"));
}

std::vector<std::string> HttpObjectApi::list(const std::string &prefix) const
{
    const auto path = core::cat("/objects?prefix=", prefix);
    const auto result
        = callFirstAvailable(m_addresses, m_timeout, false, [&](auto &client) { return client.Get(path); });
    const auto names = core::parseJson(result->body);
    if (!names.is_array()) {
        throw core::PlatformUnavailable("the list of objects is not an array");
    }
    return names.get<std::vector<std::string>>();
}

void HttpObjectApi::remove(const std::string &name, std::int64_t version) const
{
    const auto path = core::cat("/objects/", name);
    const httplib::Headers headers{{"If-Version", std::to_string(version)}};
    const auto result
        = callFirstAvailable(m_addresses, m_timeout, true, [&](auto &client) { return client.Delete(path, headers); });
    throwIfNotApplied(name, result);
}

std::vector<VmEntry> HttpObjectApi::vms() const
{
    const auto result
        = callFirstAvailable(m_addresses, m_timeout, false, [](auto &client) { return client.Get("/vms"); });
    const auto list = core::parseJson(result->body);
    if (result->status != Ok || !list.is_array()) {
        throw core::PlatformUnavailable("the VM list is not an array");
    }
    std::vector<VmEntry> entries;
    try {
        for (const auto &item : list) {
            entries.push_back({item.at("id"), item.at("failureDomain"),
                               core::parseAddress(item.at("peerAddress").get<std::string>()),
                               item.value("leaving", false)});
        }
    } catch (const std::exception &error) {
        throw core::PlatformUnavailable(core::cat("VM list: ", error.what()));
    }
    return entries;
}

} // namespace spurlug::objects
