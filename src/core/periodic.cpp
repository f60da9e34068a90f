//----------------------------------------------------------------------------------------------------------------------
// spurlug: a thread that does something again and again
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/periodic.h"

#include "spurlug/core/log.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace spurlug::core
{

Periodic::Periodic(std::string name, Round round)
    : m_name(std::move(name))
    , m_round(std::move(round))
    , m_thread([this] { work(); })
{ }

Periodic::~Periodic()
{
    m_stop.Notify();
    m_thread.join();
}

void Periodic::work()
{
    constexpr auto AfterFault = absl::Seconds(1);
    do {
        Duration wait = AfterFault;
        try {
            wait = m_round();
        } catch (const std::exception &error) {
            log(LogLevel::Error, "round_failed", {{"work", m_name}, {"problem", error.what()}});
        }
        if (m_stop.WaitForNotificationWithTimeout(wait)) {
            return;
        }
    } while (true);
}

} // namespace spurlug::core
