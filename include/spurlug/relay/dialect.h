//----------------------------------------------------------------------------------------------------------------------
// spurlug: what the relay asks of the protocol that callers and targets speak
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/net/http_message.h"
#include "spurlug/relay/request_facts.h"

#include <concepts>
#include <string>

namespace spurlug::relay
{

/// \brief Translates between messages on the wire and the relay's own types. Keeps no state and decides nothing.
template<typename D>
concept Dialect = requires(const D &dialect, const net::Request &request, const AttemptFacts &attempt,
                           const net::ResponseHead &head, const Refusal &refusal, const RequestFacts &facts,
                           const std::string &id, std::int64_t tokens, core::Duration hold, const std::string &targetId)
{
    // Throws core::Refused when the request cannot be understood.
    {
        dialect.readRequest(request)
        } -> std::same_as<RequestFacts>;
    // The request as a target gets it.
    {
        dialect.attemptRequest(request, attempt)
        } -> std::same_as<net::Request>;
    {
        dialect.readAnswer(head)
        } -> std::same_as<AnswerFacts>;
    // The head of the target's answer as the caller gets it.
    {
        dialect.answerHead(head)
        } -> std::same_as<net::ResponseHead>;
    // An answer of the relay itself.
    {
        dialect.refusal(refusal, facts)
        } -> std::same_as<net::Response>;
    // Sets KV memory aside at an engine, or keeps it: status 200 when it is. Orders name the life they are for.
    {
        dialect.reserveOrder(targetId, id, tokens, hold)
        } -> std::same_as<net::Request>;
    // Gives it back.
    {
        dialect.releaseOrder(targetId, id)
        } -> std::same_as<net::Request>;
    // Changes nothing at an engine; whoever else has its address says so.
    {
        dialect.lifeCheck(targetId)
        } -> std::same_as<net::Request>;
};

} // namespace spurlug::relay
