//----------------------------------------------------------------------------------------------------------------------
// spurlug: a thread that calls a function periodically
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/periodic_thread.h"

#include "spurlug/core/log.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace spurlug::core
{

PeriodicThread::PeriodicThread(std::string name, Function function)
    : m_name(std::move(name))
    , m_function(std::move(function))
    , m_thread([this] { run(); })
{ }

PeriodicThread::~PeriodicThread()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    m_thread.join();
}

void PeriodicThread::runNow()
{
    absl::MutexLock lock(&m_mutex);
    m_runNow = true;
}

void PeriodicThread::run()
{
    constexpr auto RetryDelay = absl::Seconds(1);
    const auto shouldWake = [this]() ABSL_NO_THREAD_SAFETY_ANALYSIS { return m_stopping || m_runNow; };
    while (true) {
        Duration wait = RetryDelay;
        try {
            wait = m_function();
        } catch (const std::exception &error) {
            log(LogLevel::Error, "round_failed", {{"work", m_name}, {"problem", error.what()}});
        }
        absl::MutexLock lock(&m_mutex);
        m_mutex.AwaitWithTimeout(absl::Condition(&shouldWake), wait);
        if (m_stopping) {
            return;
        }
        m_runNow = false;
    }
}

} // namespace spurlug::core
