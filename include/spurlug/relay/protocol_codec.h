//----------------------------------------------------------------------------------------------------------------------
// spurlug: interface of the protocol between callers, relay and targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/net/http_message.h"
#include "spurlug/relay/request_info.h"

#include <concepts>
#include <string>

namespace spurlug::relay
{

/// \brief Converts between HTTP messages and the relay's types. Stateless, and makes no decisions.
template<typename D>
concept ProtocolCodec
    = requires(const D &codec, const net::Request &request, const AttemptInfo &attempt, const net::ResponseHead &head,
               const Refusal &refusal, const RequestInfo &facts, const std::string &id, std::int64_t tokens,
               core::Duration hold, const std::string &targetId)
{
    // Parses a caller's request. Throws core::Refused if the request is malformed.
    {
        codec.readRequest(request)
        } -> std::same_as<RequestInfo>;
    // Builds the request that is sent to the target.
    {
        codec.attemptRequest(request, attempt)
        } -> std::same_as<net::Request>;
    // Reads the head of a target's answer.
    {
        codec.readAnswer(head)
        } -> std::same_as<AnswerInfo>;
    // Builds the head that the caller gets from the head of a target's answer.
    {
        codec.answerHead(head)
        } -> std::same_as<net::ResponseHead>;
    // Builds an error answer of the relay itself.
    {
        codec.refusal(refusal, facts)
        } -> std::same_as<net::Response>;
    // Builds a request that reserves KV memory at an engine or renews the reservation; the engine answers 200 on
    // success. These requests name the target that they are meant for.
    {
        codec.reserveOrder(targetId, id, tokens, hold)
        } -> std::same_as<net::Request>;
    // Builds a request that releases the memory.
    {
        codec.releaseOrder(targetId, id)
        } -> std::same_as<net::Request>;
    // Builds a request that has no effect at the engine; another target that now uses the address answers that it is
    // the wrong one.
    {
        codec.lifeCheck(targetId)
        } -> std::same_as<net::Request>;
};

} // namespace spurlug::relay
