//----------------------------------------------------------------------------------------------------------------------
// spurlug: a bounded pool of worker threads
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace spurlug::core
{

/// \brief A pool that starts threads on demand, up to a limit, and keeps them.
///
/// \code
/// WorkerPool pool(64, 128);
/// if (!pool.trySubmit([] { work(); })) { refuse(); }
/// \endcode
class WorkerPool
{
public:
    using Task = std::function<void()>;

    /// \param maxThreads Maximum number of threads.
    /// \param maxQueued Maximum number of queued tasks while all threads are busy.
    WorkerPool(std::size_t maxThreads, std::size_t maxQueued);
    /// \brief Runs the queued tasks, then joins the threads.
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// \brief Queues a task.
    /// \returns False, without accepting the task, when all threads and the queue are full or the pool is stopping.
    [[nodiscard]] bool trySubmit(Task task) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Waits until the queue has room, then queues the task.
    void submit(Task task) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Stops accepting tasks, runs the queued ones and joins the threads. May be called more than once.
    void stop() ABSL_LOCKS_EXCLUDED(m_mutex);

    [[nodiscard]] std::size_t busyThreads() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    [[nodiscard]] bool hasRoom() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void enqueue(Task task) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void runTasks();

    const std::size_t m_maxThreads;
    const std::size_t m_maxQueued;
    mutable absl::Mutex m_mutex;
    std::deque<Task> m_tasks ABSL_GUARDED_BY(m_mutex);
    std::vector<std::thread> m_threads ABSL_GUARDED_BY(m_mutex);
    std::size_t m_idleThreads ABSL_GUARDED_BY(m_mutex) = 0;
    std::size_t m_busyThreads ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace spurlug::core
