//----------------------------------------------------------------------------------------------------------------------
// spurlug: a thread that does something again and again
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

/// \brief Calls a function, waits, and calls it again, on a thread of its own, until the end of its life.
///
/// An exception that leaves the function is logged; the next call comes all the same.
class Periodic
{
public:
    /// \brief Does one round.
    /// \returns How long to wait before the next.
    using Round = std::function<Duration()>;

    /// \param name Of the thread's work, for logs.
    Periodic(std::string name, Round round);
    /// \brief Waits for the round in progress.
    ~Periodic();

    /// \brief Starts the next round now, or right after the one in progress.
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
