//----------------------------------------------------------------------------------------------------------------------
// spurlug: orders and questions to a model engine, beside its requests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/targets/engine_control.h"

#include "spurlug/core/text.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace spurlug::targets
{

namespace
{

constexpr int Ok = 200;

httplib::Client connect(const core::Address &address, core::Duration timeout)
{
    httplib::Client client(address.host, address.port);
    client.set_connection_timeout(absl::ToChronoMicroseconds(timeout));
    client.set_read_timeout(absl::ToChronoMicroseconds(timeout));
    client.set_tcp_nodelay(true);
    return client;
}

bool succeeded(const httplib::Result &result)
{
    return result && result->status == Ok;
}

LoadReport readReport(const nlohmann::json &value)
{
    LoadReport report;
    report.condition = value.value("leaving", false) ? TargetCondition::Leaving : TargetCondition::Serving;
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

std::optional<LoadReport> EngineControl::load() const
{
    auto client = connect(m_address, m_timeout);
    const auto result = client.Get("/load");
    if (!succeeded(result)) {
        return std::nullopt;
    }
    const auto value = nlohmann::json::parse(result->body, nullptr, false);
    return value.is_object() ? std::optional(readReport(value)) : std::nullopt;
}

bool EngineControl::reserve(const Reservation &reservation) const
{
    const nlohmann::json body{{"owner", reservation.owner},
                              {"incarnation", reservation.incarnation},
                              {"tokens", reservation.tokens},
                              {"ttlMs", core::toMs(reservation.ttl)}};
    auto client = connect(m_address, m_timeout);
    return succeeded(client.Put("/reservations/" + reservation.id, body.dump(), "application/json"));
}

bool EngineControl::release(const std::string &reservationId) const
{
    auto client = connect(m_address, m_timeout);
    return succeeded(client.Delete("/reservations/" + reservationId));
}

bool EngineControl::cancel(const std::string &requestId) const
{
    auto client = connect(m_address, m_timeout);
    return succeeded(client.Post(core::cat("/cancel/", requestId), "", "text/plain"));
}

} // namespace spurlug::targets
