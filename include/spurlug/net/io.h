//----------------------------------------------------------------------------------------------------------------------
// spurlug: names for the event loop and its coroutines
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

/// \brief Runs every coroutine of the daemon. One thread runs it: what the coroutines share needs no lock.
using Loop = asio::io_context;

/// \brief Awaits an operation and returns its error code instead of throwing it.
inline constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);

/// \brief The clock of `core::now` in the form that Asio's timers take.
///
/// The steady clock stands still while a VM is suspended: a deadline that passed meanwhile would be waited for once
/// more, by all that was left of it, 15 s of a long prompt's. With this clock what is overdue runs with the first timer
/// that goes off after the VM wakes, within 100 ms: the looks at roles and sources are no further apart.
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

/// \brief A timer that does not stand still while the VM is suspended.
using Timer = asio::basic_waitable_timer<BootClock>;

/// \brief A span as the timers of the loop take it.
[[nodiscard]] inline std::chrono::nanoseconds timerSpan(core::Duration span) noexcept
{
    constexpr auto Longest = absl::Hours(1); // Infinite and very long waits are waited for in pieces.
    return absl::ToChronoNanoseconds(std::min(span, core::Duration(Longest)));
}

/// \brief Suspends the calling coroutine.
[[nodiscard]] inline Task<> sleepFor(core::Duration span)
{
    Timer timer(co_await asio::this_coro::executor, timerSpan(span));
    co_await timer.async_wait(Awaited);
}

} // namespace spurlug::net
