//----------------------------------------------------------------------------------------------------------------------
// spurlug: bounded queue that passes the events of one attempt between threads
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/dispatch/event_channel.h"

#include <utility>

namespace spurlug::dispatch
{

EventChannel::EventChannel(std::size_t capacity)
    : m_capacity(capacity)
{ }

bool EventChannel::push(AttemptEvent event)
{
    const auto hasRoom
        = [this]() ABSL_NO_THREAD_SAFETY_ANALYSIS { return m_cancelled || m_events.size() < m_capacity; };
    absl::MutexLock lock(&m_mutex);
    m_mutex.Await(absl::Condition(&hasRoom));
    if (m_cancelled) {
        return false;
    }
    m_events.push_back(std::move(event));
    return true;
}

std::optional<AttemptEvent> EventChannel::pop(core::Duration wait)
{
    const auto hasEvent = [this]() ABSL_NO_THREAD_SAFETY_ANALYSIS { return !m_events.empty(); };
    absl::MutexLock lock(&m_mutex);
    if (!m_mutex.AwaitWithTimeout(absl::Condition(&hasEvent), wait)) {
        return std::nullopt;
    }
    auto event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

void EventChannel::cancel()
{
    absl::MutexLock lock(&m_mutex);
    m_cancelled = true;
    if (m_onCancel) {
        m_onCancel();
    }
}

void EventChannel::setOnCancel(std::function<void()> onCancel)
{
    absl::MutexLock lock(&m_mutex);
    m_onCancel = std::move(onCancel);
    if (m_cancelled && m_onCancel) {
        m_onCancel();
    }
}

} // namespace spurlug::dispatch
