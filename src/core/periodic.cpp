//----------------------------------------------------------------------------------------------------------------------
// spurlug: a thread that calls a function periodically
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
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    m_thread.join();
}

void Periodic::runNow()
{
    absl::MutexLock lock(&m_mutex);
    m_now = true;
}

void Periodic::work()
{
    constexpr auto AfterFault = absl::Seconds(1);
    const auto awaited = [this]() ABSL_NO_THREAD_SAFETY_ANALYSIS { return m_stopping || m_now; };
    while (true) {
        Duration wait = AfterFault;
        try {
            wait = m_round();
        } catch (const std::exception &error) {
            log(LogLevel::Error, "round_failed", {{"work", m_name}, {"problem", error.what()}});
        }
        absl::MutexLock lock(&m_mutex);
        m_mutex.AwaitWithTimeout(absl::Condition(&awaited), wait);
        if (m_stopping) {
            return;
        }
        m_now = false;
    }
}

} // namespace spurlug::core
