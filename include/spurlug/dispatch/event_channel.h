//----------------------------------------------------------------------------------------------------------------------
// spurlug: bounded queue that passes the events of one attempt between threads
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/counted.h"
#include "spurlug/core/time.h"
#include "spurlug/dispatch/attempt.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace spurlug::dispatch
{

/// \brief A token of the answer and its offset, counted in tokens.
struct TokenEvent
{
    std::int64_t offset = 0;
    std::string payload;
};

/// \brief The target's message that its answer is complete, with the number of tokens in it.
struct FinishEvent
{
    std::int64_t tokenCount = 0;
    std::string payload; ///< Usage and finish reason as the target sent them.
};

/// \brief Status and headers of a plain service's response.
struct HeadEvent
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// \brief Part of the body of a plain service's response.
struct BytesEvent
{
    std::string bytes;
};

/// \brief An event that an attempt passes to its request.
using AttemptEvent = std::variant<TokenEvent, FinishEvent, HeadEvent, BytesEvent, AttemptResult>;

/// \brief A bounded queue between the thread that reads from a target and the thread that writes to the caller.
class EventChannel : public core::RefCounted<EventChannel>
{
public:
    explicit EventChannel(std::size_t capacity = 256);

    /// \brief Adds an event; waits while the queue is full.
    /// \returns False if the channel is cancelled.
    bool push(AttemptEvent event) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Removes and returns the next event; waits at most `wait` for it.
    [[nodiscard]] std::optional<AttemptEvent> pop(core::Duration wait) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Cancels the attempt: calls `onCancel` and makes `push` fail.
    void cancel() ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Sets the callback for `cancel`; it is called at once if the channel is already cancelled. Null clears it.
    void setOnCancel(std::function<void()> onCancel) ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    const std::size_t m_capacity;
    absl::Mutex m_mutex;
    std::deque<AttemptEvent> m_events ABSL_GUARDED_BY(m_mutex);
    bool m_cancelled ABSL_GUARDED_BY(m_mutex) = false;
    std::function<void()> m_onCancel ABSL_GUARDED_BY(m_mutex);
};

} // namespace spurlug::dispatch
