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
class Periodic
{
public:
    /// \brief The function to call; returns the wait before the next call.
    using Round = std::function<Duration()>;

    /// \param name Name of the function in logs.
    Periodic(std::string name, Round round);
    /// \brief Waits for the call in progress.
    ~Periodic();

    /// \brief Starts the next call now, or right after the one in progress.
    void runNow() ABSL_LOCKS_EXCLUDED(m_mutex);

    Periodic(const Periodic &) = delete;
    Periodic &operator=(const Periodic &) = delete;

private:
    void work();

    std::string m_name;
    Round m_round;
    absl::Mutex m_mutex;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    bool m_now ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace spurlug::core
