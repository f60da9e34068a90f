//----------------------------------------------------------------------------------------------------------------------
// spurlug: schedule of a daemon's graceful shutdown
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <boost/intrusive/list.hpp>
#include <functional>

namespace spurlug::relay
{

class Shutdown;

/// \brief Registers a callback that runs when the shutdown begins and when its `answerBy` is reached. Destruction
/// unregisters it.
class ShutdownWatch
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    /// \param callback Must not register or destroy watches.
    ShutdownWatch(Shutdown &shutdown, std::function<void()> callback);
    ShutdownWatch(const ShutdownWatch &) = delete;
    ShutdownWatch &operator=(const ShutdownWatch &) = delete;

private:
    friend class Shutdown;
    std::function<void()> m_callback;
};

/// \brief When a daemon that shuts down refuses requests, ends those that are left, and exits.
///
/// All times are infinitely far in the future until `begin`. Whatever waits for something else than the end of an
/// operation with a short timeout registers a ShutdownWatch.
class Shutdown
{
public:
    /// \param grace Time from the stop signal until the process is killed.
    explicit Shutdown(core::Duration grace) noexcept;

    /// \brief Begins the shutdown and notifies all watches; later calls do nothing.
    /// \returns Whether the shutdown began with this call.
    bool begin(core::Time now);
    /// \brief Notifies all watches that `answerBy` is reached.
    void endRequests();

    [[nodiscard]] bool hasBegun() const noexcept;
    /// \brief Whether a request is refused because it arrived too late in the shutdown.
    [[nodiscard]] bool refusesArrival(core::Time arrivedAt) const noexcept;
    /// \brief Latest time at which a request may be sent to a target, so that it ends before `answerBy`.
    /// \param expectedDuration Time from sending the request to the end of its answer.
    [[nodiscard]] core::Time latestStart(core::Duration expectedDuration) const noexcept;
    /// \brief Requests that have not been received completely by then are refused.
    [[nodiscard]] core::Time receiveBy() const noexcept;
    /// \brief Requests of which nothing has been answered by then are ended; the time left is for their answers.
    [[nodiscard]] core::Time answerBy() const noexcept;
    /// \brief When the daemon exits even if requests are in progress.
    [[nodiscard]] core::Time exitAt() const noexcept;
    /// \brief Whether a daemon without work may exit: the load balancer has had time to notice the shutdown.
    [[nodiscard]] bool mayExitIdle(core::Time now) const noexcept;

private:
    friend class ShutdownWatch;
    void notify();

    const core::Duration m_grace;
    core::Time m_begunAt = absl::InfiniteFuture();
    boost::intrusive::list<ShutdownWatch, boost::intrusive::constant_time_size<false>> m_watches;
};

} // namespace spurlug::relay
