//----------------------------------------------------------------------------------------------------------------------
// spurlug: orders and questions to a model engine, beside its requests
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

/// \brief KV memory set aside at an engine for one request.
struct Reservation
{
    std::string id; ///< Request and attempt.
    std::string owner; ///< VM that keeps it alive.
    std::uint64_t incarnation = 0; ///< Of the owner.
    std::int64_t tokens = 0;
    core::Duration ttl;
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
    /// \returns Nothing when the engine does not answer.
    [[nodiscard]] std::optional<LoadReport> read();

    /// \brief Bytes of the last read, both ways, with TCP and IP headers.
    [[nodiscard]] std::int64_t lastBytes() const noexcept;

    [[nodiscard]] const core::Address &address() const noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// \brief Gives orders to one engine over HTTP. Each call is a short connection of its own.
class EngineControl
{
public:
    explicit EngineControl(core::Address address, core::Duration timeout = absl::Seconds(1));

    /// \brief Sets memory aside, or keeps it when the reservation exists.
    /// \returns False when the engine refuses or does not answer.
    [[nodiscard]] bool reserve(const Reservation &reservation) const;

    /// \brief Gives memory back; engines take an unknown id as given back.
    /// \returns False when the engine does not answer: the memory is free after the reservation's TTL.
    bool release(const std::string &reservationId) const;

    /// \brief Ends a request's stream and prefill.
    bool cancel(const std::string &requestId) const;

private:
    core::Address m_address;
    core::Duration m_timeout;
};

} // namespace spurlug::targets
