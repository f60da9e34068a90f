//----------------------------------------------------------------------------------------------------------------------
// spurlug: the whole daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/daemon/identity.h"
#include "spurlug/settings/settings.h"

#include <memory>

namespace spurlug::daemon
{

/// \brief Starts everything that `spurlugd` runs, and stops it without cutting a request off.
class Daemon
{
public:
    /// \throws NetworkError when an address cannot be bound.
    explicit Daemon(const settings::DaemonSettings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// \brief Name and bound addresses.
    [[nodiscard]] const Identity &identity() const noexcept;

    /// \brief Planned stop: fails the ready check, then takes no new requests, then waits for those in progress.
    void drain();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace spurlug::daemon
