//----------------------------------------------------------------------------------------------------------------------
// spurlug: orders and questions to a model engine, beside its requests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/time.h"
#include "spurlug/targets/load_report.h"

#include <cstdint>
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

/// \brief Speaks to one engine over HTTP. Each call is a short connection of its own.
class EngineControl
{
public:
    explicit EngineControl(core::Address address, core::Duration timeout = absl::Seconds(1));

    /// \brief Reads the engine's load.
    /// \returns Nothing when the engine does not answer.
    [[nodiscard]] std::optional<LoadReport> load() const;

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
