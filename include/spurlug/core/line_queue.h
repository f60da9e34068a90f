//----------------------------------------------------------------------------------------------------------------------
// spurlug: lines on their way to a writer that may stand still
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

/// \brief A bounded queue with a thread that writes. Adding a line never waits: when the writer is behind, new lines
/// are dropped and counted.
class LineQueue
{
public:
    /// \param write Writes one line; may block.
    /// \param mostBytes Of all lines that wait.
    LineQueue(std::function<void(const std::string &)> write, std::size_t mostBytes);

    /// \brief Writes what waits, for `ExitWait` at most: a reader that stands still must not keep the process.
    ~LineQueue();
    LineQueue(const LineQueue &) = delete;
    LineQueue &operator=(const LineQueue &) = delete;

    /// \returns False when the line was dropped.
    bool add(std::string line) ABSL_LOCKS_EXCLUDED(m_state->mutex);

    /// \brief Lines dropped since the last call.
    [[nodiscard]] std::int64_t takeDropped() ABSL_LOCKS_EXCLUDED(m_state->mutex);

private:
    struct State
    {
        absl::Mutex mutex;
        std::deque<std::string> lines ABSL_GUARDED_BY(mutex);
        std::size_t bytes ABSL_GUARDED_BY(mutex) = 0;
        std::int64_t dropped ABSL_GUARDED_BY(mutex) = 0;
        bool writing ABSL_GUARDED_BY(mutex) = false;
        bool stopping ABSL_GUARDED_BY(mutex) = false;
    };

    static void writeAll(const std::shared_ptr<State> &state, const std::function<void(const std::string &)> &write);

    const std::size_t m_mostBytes;
    std::shared_ptr<State> m_state; ///< Shared with the thread, which may outlive this object inside a blocked write.
    std::thread m_writer;
};

} // namespace spurlug::core
