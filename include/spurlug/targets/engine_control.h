//----------------------------------------------------------------------------------------------------------------------
// spurlug: load queries and commands to one engine over HTTP
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/time.h"
#include "spurlug/targets/load_report.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace spurlug::targets
{

/// \brief KV memory reserved at an engine for one request.
struct Reservation
{
    std::string id; ///< Unique for a request and attempt.
    std::string owner; ///< VM that renews the reservation.
    std::uint64_t incarnation = 0; ///< Of the owner.
    std::int64_t tokens = 0; ///< Amount of KV memory.
    core::Duration ttl; ///< Time after which the engine drops the reservation unless it is renewed.
};

/// \brief Reads one engine's load over a connection that is kept open between reads. Used by one thread at a time.
class LoadReader
{
public:
    explicit LoadReader(const core::Address &address, core::Duration timeout = absl::Seconds(1));
    ~LoadReader();
    LoadReader(const LoadReader &) = delete;
    LoadReader &operator=(const LoadReader &) = delete;

    /// \brief Reads the engine's load.
    /// \returns Nothing if the engine does not answer, or not with status 200 and a JSON object.
    [[nodiscard]] std::optional<LoadReport> read();

    /// \brief Estimated bytes of the last read in both directions, including TCP and IP headers.
    [[nodiscard]] std::int64_t lastTransferBytes() const noexcept;

    /// \brief Address of the engine.
    [[nodiscard]] const core::Address &address() const noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// \brief Sends commands to one engine over HTTP. Each call opens its own short connection.
class EngineControl
{
public:
    explicit EngineControl(core::Address address, core::Duration timeout = absl::Seconds(1));

    /// \brief Creates a reservation, or renews it if it exists.
    /// \returns False if the engine refuses or does not answer.
    [[nodiscard]] bool reserve(const Reservation &reservation) const;

    /// \brief Releases a reservation; engines treat an unknown id as released.
    /// \returns False if the engine does not answer; the memory is then freed when the reservation's TTL expires.
    bool release(const std::string &reservationId) const;

    /// \brief Aborts a request's prefill and stream.
    /// \returns False if the engine refuses or does not answer.
    bool cancel(const std::string &requestId) const;

private:
    core::Address m_address;
    core::Duration m_timeout;
};

} // namespace spurlug::targets
