//----------------------------------------------------------------------------------------------------------------------
// spurlug: conversion between Beast's messages and net::Headers, and a timeout for Beast operations
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/net/http_message.h"
#include "spurlug/net/io.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace spurlug::net
{

/// \brief Copies header fields, except those that describe the framing of the body.
inline Headers fromBeast(const boost::beast::http::fields &fields)
{
    Headers headers;
    for (const auto &field : fields) {
        const auto id = field.name();
        if (id == boost::beast::http::field::content_length || id == boost::beast::http::field::transfer_encoding) {
            continue;
        }
        const auto name = field.name_string();
        const auto value = field.value();
        headers.add({name.data(), name.size()}, {value.data(), value.size()});
    }
    return headers;
}

/// \brief Adds header fields to a Beast message.
inline void toBeast(const Headers &headers, boost::beast::http::fields &fields)
{
    for (const auto &field : headers.fields()) {
        fields.insert(field.name, field.value);
    }
}

/// \brief Calls `onTimeout` after a timeout, unless disarmed before.
class OperationTimeout
{
public:
    template<typename Executor>
    OperationTimeout(const Executor &executor, std::function<void()> onTimeout)
        : m_timer(executor)
        , m_state(std::make_shared<State>())
        , m_onTimeout(std::move(onTimeout))
    { }

    ~OperationTimeout()
    {
        disarm();
    }

    OperationTimeout(const OperationTimeout &) = delete;
    OperationTimeout &operator=(const OperationTimeout &) = delete;

    /// \brief Starts or restarts the timeout.
    template<typename Span>
    void arm(Span span)
    {
        m_state->expired = false;
        m_timer.expires_after(span);
        m_timer.async_wait(
            [this, state = m_state, armed = ++m_state->armCount](const boost::system::error_code &error) {
                // The handler still runs when the timer expires just before it is disarmed: only the latest arming
                // counts.
                if (!error && state->armCount == armed) {
                    state->expired = true;
                    m_onTimeout();
                }
            });
    }

    void disarm()
    {
        ++m_state->armCount;
        m_timer.cancel();
    }

    [[nodiscard]] bool expired() const noexcept
    {
        return m_state->expired;
    }

private:
    struct State
    {
        std::uint64_t armCount = 0; ///< Number of calls to `arm` and `disarm`.
        bool expired = false;
    };

    Timer m_timer;
    std::shared_ptr<State> m_state; ///< Shared with the timer's handler, which may run after this object is destroyed.
    std::function<void()> m_onTimeout;
};

} // namespace spurlug::net
