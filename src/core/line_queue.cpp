//----------------------------------------------------------------------------------------------------------------------
// spurlug: queue of log lines for a writer that may block
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/line_queue.h"

#include <utility>

namespace spurlug::core
{

namespace
{

constexpr auto FlushTimeout = absl::Milliseconds(300); // Maximum time to write the last lines when a process ends.

} // namespace

LineQueue::LineQueue(std::function<void(const std::string &)> write, std::size_t maxBytes)
    : m_maxBytes(maxBytes)
    , m_state(std::make_shared<State>())
    , m_writer([state = m_state, write = std::move(write)] { runWriter(state, write); })
{ }

LineQueue::~LineQueue()
{
    close();
}

bool LineQueue::close()
{
    if (!m_writer.joinable()) {
        return m_writerEnded;
    }
    {
        absl::MutexLock lock(&m_state->mutex);
        m_state->stopping = true;
        const auto isFlushed = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_state->mutex) {
            return m_state->lines.empty() && !m_state->writing;
        };
        m_writerEnded = m_state->mutex.AwaitWithTimeout(absl::Condition(&isFlushed), FlushTimeout);
    }
    if (m_writerEnded) {
        m_writer.join();
    } else {
        m_writer.detach(); // The thread is in a write that may never return; it shares ownership of the state.
    }
    return m_writerEnded;
}

bool LineQueue::add(std::string line)
{
    absl::MutexLock lock(&m_state->mutex);
    if (m_state->queuedBytes + line.size() > m_maxBytes) {
        ++m_state->dropped;
        return false;
    }
    m_state->queuedBytes += line.size();
    m_state->lines.push_back(std::move(line));
    return true;
}

std::int64_t LineQueue::takeDropped()
{
    absl::MutexLock lock(&m_state->mutex);
    return std::exchange(m_state->dropped, 0);
}

void LineQueue::runWriter(const std::shared_ptr<State> &state, const std::function<void(const std::string &)> &write)
{
    for (;;) {
        std::string line;
        {
            absl::MutexLock lock(&state->mutex);
            state->writing = false;
            const auto ready = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(state->mutex) {
                return !state->lines.empty() || state->stopping;
            };
            state->mutex.Await(absl::Condition(&ready));
            if (state->lines.empty()) {
                return;
            }
            line = std::move(state->lines.front());
            state->lines.pop_front();
            state->queuedBytes -= line.size();
            state->writing = true;
        }
        write(line);
    }
}

} // namespace spurlug::core
