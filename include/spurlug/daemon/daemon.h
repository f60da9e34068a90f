//----------------------------------------------------------------------------------------------------------------------
// spurlug: starts, connects and stops all components of the daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/daemon/identity.h"
#include "spurlug/settings/settings.h"

#include <memory>

namespace spurlug::daemon
{

/// \brief Owns all components of `spurlugd`; starts them, and stops them without interrupting requests.
class Daemon
{
public:
    /// \throws NetworkError if an address cannot be bound.
    explicit Daemon(const settings::DaemonSettings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// \brief Name and bound addresses.
    [[nodiscard]] const Identity &identity() const noexcept;

    /// \brief Planned shutdown: fails the readiness check, then refuses new requests, then waits for those in progress.
    void drain();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace spurlug::daemon
