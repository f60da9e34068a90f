//----------------------------------------------------------------------------------------------------------------------
// spurlug: load queries and commands to one engine over HTTP
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/targets/engine_control.h"

#include "spurlug/core/json_document.h"
#include "spurlug/core/text.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace spurlug::targets
{

namespace
{

constexpr int HttpOk = 200;

httplib::Client makeClient(const core::Address &address, core::Duration timeout)
{
    httplib::Client client(address.host, address.port);
    client.set_connection_timeout(absl::ToChronoMicroseconds(timeout));
    client.set_read_timeout(absl::ToChronoMicroseconds(timeout));
    client.set_tcp_nodelay(true);
    return client;
}

bool succeeded(const httplib::Result &result)
{
    return result && result->status == HttpOk;
}

LoadReport parseReport(const nlohmann::json &value)
{
    LoadReport report;
    report.condition = value.value("leaving", false) ? TargetCondition::Draining : TargetCondition::Serving;
    report.queuedTokens = value.value("queuedTokens", std::int64_t{0});
    report.urgentTokens = value.value("urgentTokens", std::int64_t{0});
    report.streams = value.value("streams", std::int64_t{0});
    report.maxStreams = value.value("maxStreams", std::int64_t{0});
    report.freeTokens = value.value("freeTokens", std::int64_t{0});
    report.prefillRate = value.value("prefillRate", 0.0);
    report.reserved = value.value("reservedTokens", std::int64_t{0}) > 0;
    return report;
}

} // namespace

EngineControl::EngineControl(core::Address address, core::Duration timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{ }

struct LoadReader::Impl
{
    core::Address address;
    httplib::Client client;
    std::int64_t lastBytes = 0;
};

LoadReader::LoadReader(const core::Address &address, core::Duration timeout)
    : m_impl(new Impl{address, makeClient(address, timeout)})
{
    m_impl->client.set_keep_alive(true);
}

LoadReader::~LoadReader() = default;

std::optional<LoadReport> LoadReader::read()
{
    constexpr std::int64_t RequestBytes = 110; // Request line and headers as written by httplib.
    constexpr std::int64_t SegmentHeaders = 160; // TCP and IP headers of request, response and two ACKs.
    constexpr std::int64_t StatusLineBytes = 20;
    const auto result = m_impl->client.Get("/load");
    m_impl->lastBytes = RequestBytes + SegmentHeaders;
    if (!succeeded(result)) {
        return std::nullopt;
    }
    m_impl->lastBytes += StatusLineBytes + static_cast<std::int64_t>(result->body.size());
    for (const auto &[name, text] : result->headers) {
        m_impl->lastBytes += static_cast<std::int64_t>(name.size() + text.size()) + 4;
    }
    const auto value = core::parseJson(result->body);
    return value.is_object() ? std::optional(parseReport(value)) : std::nullopt;
}

std::int64_t LoadReader::lastTransferBytes() const noexcept
{
    return m_impl->lastBytes;
}

const core::Address &LoadReader::address() const noexcept
{
    return m_impl->address;
}

bool EngineControl::reserve(const Reservation &reservation) const
{
    const nlohmann::json body{{"owner", reservation.owner},
                              {"incarnation", reservation.incarnation},
                              {"tokens", reservation.tokens},
                              {"ttlMs", core::toMs(reservation.ttl)}};
    auto client = makeClient(m_address, m_timeout);
    return succeeded(client.Put("/reservations/" + reservation.id, body.dump(), "application/json"));
}

bool EngineControl::release(const std::string &reservationId) const
{
    auto client = makeClient(m_address, m_timeout);
    return succeeded(client.Delete("/reservations/" + reservationId));
}

bool EngineControl::cancel(const std::string &requestId) const
{
    auto client = makeClient(m_address, m_timeout);
    return succeeded(client.Post(core::cat("/cancel/", requestId), "", "text/plain"));
}

} // namespace spurlug::targets
