//----------------------------------------------------------------------------------------------------------------------
// spurlug: event loop, coroutine and timer types
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace spurlug::net
{

namespace asio = boost::asio;

/// \brief A coroutine that runs on the event loop.
template<typename T = void>
using Task = asio::awaitable<T>;

/// \brief The event loop that runs every coroutine of the daemon. It runs on one thread, so that state shared by
/// coroutines needs no lock.
class Loop : public asio::io_context
{
public:
    using asio::io_context::io_context;

    /// \brief Destroys all coroutines and handlers that still wait. Only for a loop that does not run any more.
    ///
    /// Objects that coroutines refer to must be destroyed after this call. They need the loop, so they are destroyed
    /// before it, and its destructor would be too late.
    void discardWaiting()
    {
        shutdown();
    }
};

/// \brief Awaits an operation and returns its error code instead of throwing it.
inline constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);

/// \brief The clock of `core::now` as a clock type for Asio's timers.
///
/// The steady clock stops while a VM is suspended: the loop would wait again for all the time that was left of a
/// deadline that passed meanwhile, which is 15 s for a long prompt. With this clock, overdue timers fire together with
/// the first timer that expires after the VM resumes. That is within 100 ms, because the periodic checks of roles and
/// sources are at most that far apart.
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept
    {
        return time_point(absl::ToChronoNanoseconds(core::now() - absl::UnixEpoch()));
    }
};

/// \brief A timer whose clock keeps running while the VM is suspended.
using Timer = asio::basic_waitable_timer<BootClock>;

/// \brief Converts a duration for the timers of the loop.
[[nodiscard]] inline std::chrono::nanoseconds toTimerDuration(core::Duration span) noexcept
{
    constexpr auto MaxWait = absl::Hours(1); // Longer and infinite waits end early; Mailbox::take repeats them.
    return absl::ToChronoNanoseconds(std::min(span, core::Duration(MaxWait)));
}

/// \brief Suspends the calling coroutine for `span`, at most for one hour.
[[nodiscard]] inline Task<> sleepFor(core::Duration span)
{
    Timer timer(co_await asio::this_coro::executor, toTimerDuration(span));
    co_await timer.async_wait(Awaited);
}

} // namespace spurlug::net
