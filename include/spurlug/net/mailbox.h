//----------------------------------------------------------------------------------------------------------------------
// spurlug: message queue for one coroutine
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"
#include "spurlug/net/io.h"

#include <deque>
#include <optional>
#include <utility>

namespace spurlug::net
{

/// \brief A message queue with one reading coroutine. Only for use on the loop's thread.
template<typename Message>
class Mailbox
{
public:
    explicit Mailbox(Loop &loop)
        : m_timer(loop)
    { }

    /// \brief Adds a message and wakes the reader.
    void post(Message message)
    {
        m_messages.push_back(std::move(message));
        m_timer.cancel();
    }

    /// \brief Takes the next message; waits for it until `deadline`.
    /// \returns Nothing when the deadline passed first.
    [[nodiscard]] Task<std::optional<Message>> take(core::Time deadline)
    {
        while (m_messages.empty()) {
            const auto left = deadline - core::now();
            if (left <= absl::ZeroDuration()) {
                co_return std::nullopt;
            }
            m_timer.expires_after(toTimerDuration(left));
            co_await m_timer.async_wait(Awaited);
        }
        auto message = std::move(m_messages.front());
        m_messages.pop_front();
        co_return message;
    }

    /// \brief Number of queued messages.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_messages.size();
    }

private:
    Timer m_timer;
    std::deque<Message> m_messages;
};

} // namespace spurlug::net
