//----------------------------------------------------------------------------------------------------------------------
// spurlug: events of one attempt, on their way from the target's thread to the caller's
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

/// \brief A token of the answer.
struct TokenEvent
{
    std::int64_t offset = 0;
    std::string payload;
};

/// \brief The target's word that its answer is whole.
struct FinishEvent
{
    std::int64_t total = 0;
    std::string payload; ///< Usage and finish reason, as the target wrote them.
};

/// \brief The head of a plain response.
struct HeadEvent
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// \brief Bytes of a plain response's body.
struct BytesEvent
{
    std::string bytes;
};

/// \brief What an attempt hands to its request.
using AttemptEvent = std::variant<TokenEvent, FinishEvent, HeadEvent, BytesEvent, AttemptEnd>;

/// \brief A bounded queue between the thread that reads a target and the thread that writes to the caller.
class EventChannel : public core::Counted<EventChannel>
{
public:
    explicit EventChannel(std::size_t capacity = 256);

    /// \brief Adds an event; waits while the queue is full.
    /// \returns False once the channel was cancelled.
    bool push(AttemptEvent event) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Takes the next event, waiting at most `wait`.
    [[nodiscard]] std::optional<AttemptEvent> pop(core::Duration wait) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Gives the attempt up: the target's thread is told through `onCancel`.
    void cancel() ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Sets what `cancel` calls; called at once when the channel was cancelled before. Null clears it.
    void setOnCancel(std::function<void()> onCancel) ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    const std::size_t m_capacity;
    absl::Mutex m_mutex;
    std::deque<AttemptEvent> m_events ABSL_GUARDED_BY(m_mutex);
    bool m_cancelled ABSL_GUARDED_BY(m_mutex) = false;
    std::function<void()> m_onCancel ABSL_GUARDED_BY(m_mutex);
};

} // namespace spurlug::dispatch
