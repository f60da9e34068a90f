//----------------------------------------------------------------------------------------------------------------------
// spurlug: a thread that calls a function periodically
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <functional>
#include <string>
#include <thread>

namespace spurlug::core
{

/// \brief Calls a function periodically on its own thread, until destroyed.
///
/// An exception from the function is logged; the next call follows after 1 s.
class PeriodicThread
{
public:
    /// \brief The function to call; returns the wait before the next call.
    using Function = std::function<Duration()>;

    /// \param name Name of the function in logs.
    PeriodicThread(std::string name, Function function);
    /// \brief Waits for the call in progress.
    ~PeriodicThread();

    /// \brief Starts the next call now, or right after the one in progress.
    void runNow() ABSL_LOCKS_EXCLUDED(m_mutex);

    PeriodicThread(const PeriodicThread &) = delete;
    PeriodicThread &operator=(const PeriodicThread &) = delete;

private:
    void run();

    std::string m_name;
    Function m_function;
    absl::Mutex m_mutex;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    bool m_runNow ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace spurlug::core
