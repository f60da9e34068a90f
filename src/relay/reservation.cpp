//----------------------------------------------------------------------------------------------------------------------
// spurlug: KV memory reservations at engines
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/reservation.h"

#include "spurlug/core/http_status.h"
#include "spurlug/core/log.h"
#include "spurlug/net/spawn.h"

#include <nlohmann/json.hpp>

namespace spurlug::relay
{

namespace
{

constexpr int Granted = core::http_status::Ok;
constexpr double RenewalIntervalShare
    = 0.3; // Share of the hold time between renewals: two may be lost before it expires.
constexpr int MaxReleaseAttempts = 3;
constexpr auto EngineTimeout = absl::Milliseconds(400); // An engine answers these requests at once or not at all.

} // namespace

Reservation::Reservation(net::Loop &loop, TargetConnector &connector, core::Ref<Target> engine, std::string id,
                         net::Request reserve, net::Request release, core::Duration holdTime, AnswerHandler onAnswer)
    : m_loop(loop)
    , m_connector(connector)
    , m_engine(std::move(engine))
    , m_id(std::move(id))
    , m_reserve(std::move(reserve))
    , m_release(std::move(release))
    , m_holdTime(holdTime)
    , m_onAnswer(std::move(onAnswer))
{ }

net::Task<std::optional<net::Response>> Reservation::order(net::Request order, core::Time until, std::string &problem)
{
    auto answer = co_await m_connector.exchange(m_engine, std::move(order), until, problem);
    if (answer) {
        m_onAnswer(answer->head);
    }
    co_return answer;
}

net::Task<bool> Reservation::acquire(core::Time deadline)
{
    std::string problem;
    const auto until = std::min(deadline, core::now() + EngineTimeout);
    const auto answer = co_await order(m_reserve, until, problem);
    const auto status = answer ? answer->head.status : 0;
    if (status != Granted) {
        core::log(core::LogLevel::Info, "reservation_refused",
                  {{"reservation", m_id},
                   {"engine", m_engine->entry.address.text()},
                   {"status", status},
                   {"error", problem}});
        if (!answer) {
            release(); // The engine may have reserved the memory, or may still do so.
        }
        m_released = true;
        co_return false;
    }
    net::spawn(m_loop, "reservation_renewal", [](core::Ref<Reservation> self) -> net::Task<> {
        co_await self->renew();
    }(core::Ref<Reservation>(this)));
    co_return true;
}

void Reservation::release()
{
    if (m_released) {
        return;
    }
    m_released = true;
    net::spawn(m_loop, "reservation_release", [](core::Ref<Reservation> self) -> net::Task<> {
        co_await self->sendRelease();
    }(core::Ref<Reservation>(this)));
}

net::Task<> Reservation::renew()
{
    for (;;) {
        co_await net::sleepFor(m_holdTime * RenewalIntervalShare);
        if (m_released) {
            co_return;
        }
        std::string problem;
        const auto answer = co_await order(m_reserve, core::now() + EngineTimeout, problem);
        if (!answer || answer->head.status != Granted) {
            core::log(core::LogLevel::Warning, "reservation_not_renewed",
                      {{"reservation", m_id},
                       {"engine", m_engine->entry.address.text()},
                       {"status", answer ? answer->head.status : 0},
                       {"error", problem}});
        }
    }
}

net::Task<> Reservation::sendRelease()
{
    for (int i = 0; i < MaxReleaseAttempts; ++i) {
        std::string problem;
        const auto answer = co_await order(m_release, core::now() + EngineTimeout, problem);
        if (answer) {
            co_return;
        }
        core::log(core::LogLevel::Warning, "release_unanswered",
                  {{"reservation", m_id}, {"engine", m_engine->entry.address.text()}, {"error", problem}});
    }
}

const std::string &Reservation::id() const noexcept
{
    return m_id;
}

} // namespace spurlug::relay
