//----------------------------------------------------------------------------------------------------------------------
// spurlug: KV memory set aside at an engine
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/address.h"
#include "spurlug/core/counted.h"
#include "spurlug/core/time.h"
#include "spurlug/net/http_message.h"
#include "spurlug/net/io.h"

#include <functional>
#include <optional>
#include <string>

namespace spurlug::relay
{

/// \brief Memory that is kept alive until `release`. When this daemon dies, the engine frees it by itself after `hold`.
class Reservation : public core::Counted<Reservation>
{
public:
    /// \brief Takes the head of an answer to an order.
    using Hear = std::function<void(const net::ResponseHead &)>;

    /// \param hold How long the engine keeps the memory after each reserve order.
    /// \param hear Outlives the request: the last answer comes after its end.
    Reservation(net::Loop &loop, core::Address engine, std::string id, net::Request reserve, net::Request release,
                core::Duration hold, Hear hear);

    /// \brief Asks the engine for the memory and, when it is granted, keeps it.
    /// \returns Whether it was granted. When not, or when the answer is lost, it is released.
    [[nodiscard]] net::Task<bool> acquire(core::Time deadline);

    /// \brief Gives the memory back. Safe to call more than once.
    void release();

    [[nodiscard]] const std::string &id() const noexcept;

private:
    [[nodiscard]] net::Task<std::optional<net::Response>> order(net::Request order, core::Time until,
                                                                std::string &problem);
    [[nodiscard]] net::Task<> keep();
    [[nodiscard]] net::Task<> giveBack();

    net::Loop &m_loop;
    const core::Address m_engine;
    const std::string m_id;
    const net::Request m_reserve;
    const net::Request m_release;
    const core::Duration m_hold;
    const Hear m_hear;
    bool m_released = false;
};

} // namespace spurlug::relay
