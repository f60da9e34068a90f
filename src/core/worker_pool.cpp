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
    return m_tasks.size() + m_running < m_maxThreads + m_maxQueued;
}

void WorkerPool::push(Task task)
{
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > m_idle && m_threads.size() < m_maxThreads) {
        m_threads.emplace_back([this] { work(); });
    }
}

bool WorkerPool::tryRun(Task task)
{
    absl::MutexLock lock(&m_mutex);
    if (m_stopping || !hasRoom()) {
        return false;
    }
    push(std::move(task));
    return true;
}

void WorkerPool::run(Task task)
{
    absl::MutexLock lock(&m_mutex);
    m_mutex.Await(absl::Condition(
        +[](WorkerPool *pool) ABSL_NO_THREAD_SAFETY_ANALYSIS { return pool->m_stopping || pool->hasRoom(); }, this));
    push(std::move(task));
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
    return m_running;
}

void WorkerPool::work()
{
    const auto hasWork = [this]() ABSL_NO_THREAD_SAFETY_ANALYSIS { return m_stopping || !m_tasks.empty(); };
    while (true) {
        Task task;
        {
            absl::MutexLock lock(&m_mutex);
            ++m_idle;
            m_mutex.Await(absl::Condition(&hasWork));
            --m_idle;
            if (m_tasks.empty()) {
                return;
            }
            ++m_running;
            task = std::move(m_tasks.front());
            m_tasks.pop_front();
        }
        task();
        task = nullptr;
        absl::MutexLock lock(&m_mutex);
        --m_running;
    }
}

} // namespace spurlug::core
