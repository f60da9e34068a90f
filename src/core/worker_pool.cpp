//----------------------------------------------------------------------------------------------------------------------
// spurlug: a bounded pool of worker threads
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/worker_pool.h"

#include <utility>

namespace spurlug::core
{

WorkerPool::WorkerPool(std::size_t maxThreads, std::size_t maxQueued)
    : m_maxThreads(maxThreads)
    , m_maxQueued(maxQueued)
{ }

WorkerPool::~WorkerPool()
{
    stop();
}

bool WorkerPool::hasRoom() const
{
    return m_tasks.size() + m_busyThreads < m_maxThreads + m_maxQueued;
}

void WorkerPool::enqueue(Task task)
{
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > m_idleThreads && m_threads.size() < m_maxThreads) {
        m_threads.emplace_back([this] { runTasks(); });
    }
}

bool WorkerPool::trySubmit(Task task)
{
    absl::MutexLock lock(&m_mutex);
    if (m_stopping || !hasRoom()) {
        return false;
    }
    enqueue(std::move(task));
    return true;
}

void WorkerPool::submit(Task task)
{
    absl::MutexLock lock(&m_mutex);
    m_mutex.Await(absl::Condition(
        +[](WorkerPool *pool) ABSL_NO_THREAD_SAFETY_ANALYSIS { return pool->m_stopping || pool->hasRoom(); }, this));
    enqueue(std::move(task));
}

void WorkerPool::stop()
{
    std::vector<std::thread> threads;
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        threads.swap(m_threads);
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

std::size_t WorkerPool::busyThreads() const
{
    absl::MutexLock lock(&m_mutex);
    return m_busyThreads;
}

void WorkerPool::runTasks()
{
    const auto hasWork = [this]() ABSL_NO_THREAD_SAFETY_ANALYSIS { return m_stopping || !m_tasks.empty(); };
    while (true) {
        Task task;
        {
            absl::MutexLock lock(&m_mutex);
            ++m_idleThreads;
            m_mutex.Await(absl::Condition(&hasWork));
            --m_idleThreads;
            if (m_tasks.empty()) {
                return;
            }
            ++m_busyThreads;
            task = std::move(m_tasks.front());
            m_tasks.pop_front();
        }
        task();
        task = nullptr;
        absl::MutexLock lock(&m_mutex);
        --m_busyThreads;
    }
}

} // namespace spurlug::core
