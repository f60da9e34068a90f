//----------------------------------------------------------------------------------------------------------------------
// spurlug: schedule of a daemon's graceful shutdown
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/shutdown.h"

#include <utility>

namespace spurlug::relay
{

namespace
{

/// Requests that arrive later than this after the begin are refused: the load balancer has noticed the shutdown.
constexpr auto MaxArrivalDelay = absl::Seconds(3);
/// The load balancer takes a daemon out after two failed checks, one second apart.
constexpr auto MinDuration = absl::Milliseconds(2500);
constexpr double ReceiveShare = 0.5; // Of the grace period; callers that are refused then can still go elsewhere.
constexpr auto ExitMargin = absl::Milliseconds(500); // For the end of the process.
/// For operations with a short timeout to end, and for callers to receive their answers.
constexpr auto AnswerMargin = absl::Milliseconds(400);

} // namespace

ShutdownWatch::ShutdownWatch(Shutdown &shutdown, std::function<void()> callback)
    : m_callback(std::move(callback))
{
    shutdown.m_watches.push_back(*this);
}

Shutdown::Shutdown(core::Duration grace) noexcept
    : m_grace(grace)
{ }

bool Shutdown::begin(core::Time now)
{
    if (hasBegun()) {
        return false;
    }
    m_begunAt = now;
    notify();
    return true;
}

void Shutdown::endRequests()
{
    notify();
}

void Shutdown::notify()
{
    for (auto &watch : m_watches) {
        watch.m_callback();
    }
}

bool Shutdown::hasBegun() const noexcept
{
    return m_begunAt != absl::InfiniteFuture();
}

bool Shutdown::refusesArrival(core::Time arrivedAt) const noexcept
{
    return arrivedAt - m_begunAt > MaxArrivalDelay;
}

core::Time Shutdown::latestStart(core::Duration expectedDuration) const noexcept
{
    return answerBy() - expectedDuration;
}

core::Time Shutdown::receiveBy() const noexcept
{
    return m_begunAt + m_grace * ReceiveShare;
}

core::Time Shutdown::answerBy() const noexcept
{
    return exitAt() - AnswerMargin;
}

core::Time Shutdown::exitAt() const noexcept
{
    return m_begunAt + m_grace - ExitMargin;
}

bool Shutdown::mayExitIdle(core::Time now) const noexcept
{
    return now - m_begunAt >= MinDuration;
}

} // namespace spurlug::relay
