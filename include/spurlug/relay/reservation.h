//----------------------------------------------------------------------------------------------------------------------
// spurlug: KV memory reservations at engines
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/counted.h"
#include "spurlug/core/time.h"
#include "spurlug/net/http_message.h"
#include "spurlug/net/io.h"
#include "spurlug/relay/target_connector.h"

#include <functional>
#include <optional>
#include <string>

namespace spurlug::relay
{

/// \brief A KV memory reservation that is renewed until `release`. If this daemon dies, the engine frees the memory
/// after the hold time.
class Reservation : public core::RefCounted<Reservation>
{
public:
    /// \brief Called with the head of each answer to a reserve or release request.
    using AnswerHandler = std::function<void(const net::ResponseHead &)>;

    /// \param holdTime How long the engine keeps the memory after each reserve request.
    /// \param onAnswer May be called after the end of the relayed request, so it must not refer to that.
    Reservation(net::Loop &loop, TargetConnector &connector, core::Ref<Target> engine, std::string id,
                net::Request reserve, net::Request release, core::Duration holdTime, AnswerHandler onAnswer);

    /// \brief Requests the memory and, if it is granted, starts to renew the reservation.
    /// \returns Whether it was granted. If there is no answer, the reservation is released, as the engine may have
    /// granted it.
    [[nodiscard]] net::Task<bool> acquire(core::Time deadline);

    /// \brief Releases the memory. Safe to call more than once.
    void release();

    [[nodiscard]] const std::string &id() const noexcept;

private:
    /// Sends a reserve or release request to the engine.
    /// \param problem Set if there is no answer.
    [[nodiscard]] net::Task<std::optional<net::Response>> order(net::Request order, core::Time until,
                                                                std::string &problem);
    /// Renews the reservation until it is released.
    [[nodiscard]] net::Task<> renew();
    /// Sends the release request, with retries.
    [[nodiscard]] net::Task<> sendRelease();

    net::Loop &m_loop;
    TargetConnector &m_connector;
    const core::Ref<Target> m_engine;
    const std::string m_id;
    const net::Request m_reserve;
    const net::Request m_release;
    const core::Duration m_holdTime;
    const AnswerHandler m_onAnswer;
    bool m_released = false;
};

} // namespace spurlug::relay
