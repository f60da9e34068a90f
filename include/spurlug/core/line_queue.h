//----------------------------------------------------------------------------------------------------------------------
// spurlug: queue of log lines for a writer that may block
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace spurlug::core
{

/// \brief A bounded queue with a writer thread. Adding a line never blocks on the writer: when the queue is full, new
/// lines are dropped and counted.
class LineQueue
{
public:
    /// \param write Writes one line; may block.
    /// \param maxBytes Maximum total size of the queued lines.
    LineQueue(std::function<void(const std::string &)> write, std::size_t maxBytes);

    /// \brief Calls `close`.
    ~LineQueue();
    LineQueue(const LineQueue &) = delete;
    LineQueue &operator=(const LineQueue &) = delete;

    /// \brief Writes the queued lines, for at most `FlushTimeout`, so that a blocked reader cannot keep the process
    /// alive. Call after the last line has been added; later calls do nothing.
    /// \returns Whether the writer has ended. Otherwise it may still be in a write that blocks.
    bool close() ABSL_LOCKS_EXCLUDED(m_state->mutex);

    /// \brief Queues a line.
    /// \returns False when the line was dropped.
    bool add(std::string line) ABSL_LOCKS_EXCLUDED(m_state->mutex);

    /// \brief Returns and resets the number of dropped lines.
    [[nodiscard]] std::int64_t takeDropped() ABSL_LOCKS_EXCLUDED(m_state->mutex);

private:
    struct State
    {
        absl::Mutex mutex;
        std::deque<std::string> lines ABSL_GUARDED_BY(mutex);
        std::size_t queuedBytes ABSL_GUARDED_BY(mutex) = 0;
        std::int64_t dropped ABSL_GUARDED_BY(mutex) = 0;
        bool writing ABSL_GUARDED_BY(mutex) = false;
        bool stopping ABSL_GUARDED_BY(mutex) = false;
    };

    static void runWriter(const std::shared_ptr<State> &state, const std::function<void(const std::string &)> &write);

    const std::size_t m_maxBytes;
    std::shared_ptr<State> m_state; ///< Shared with the thread, which may outlive this object in a blocked write.
    std::thread m_writer;
    bool m_writerEnded = false;
};

} // namespace spurlug::core
