//----------------------------------------------------------------------------------------------------------------------
// spurlug: engines, prompts and times as fixtures for tests of the relay's decisions
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#pragma once

#include "spurlug/core/hash.h"
#include "spurlug/relay/placement.h"
#include "spurlug/relay/target_set.h"

#include <cstdint>
#include <string>
#include <vector>

namespace spurlug::test
{

using namespace spurlug::relay;

inline const core::Time Start = absl::FromUnixSeconds(1000);

/// \brief Returns the time `ms` milliseconds after `Start`.
inline core::Time at(std::int64_t ms)
{
    return Start + core::fromMs(ms);
}

/// \brief Returns the directory entry of a target of the service "model".
inline TargetEntry entry(const std::string &id, bool draining = false)
{
    // Each target of a test has a port of its own.
    const auto port = static_cast<std::uint16_t>(1024 + core::fastHash(id) % 60'000);
    return {id, "model", {"127.0.0.1", port}, "hall-a", 16, draining};
}

/// \brief Returns the costs of an engine with 16 slots and KV memory for 200,000 tokens.
inline config::EngineCosts engineCosts()
{
    config::EngineCosts costs;
    costs.stepMs = 1;
    costs.prefillTokensPerMs = 200;
    costs.prefillMsPerMillionPairs = 0.1;
    costs.stepsPerPass = 40;
    costs.slots = 16;
    costs.kvMemoryTokens = 200'000;
    return costs;
}

/// \brief Returns `count` candidates without work.
inline std::vector<Candidate> idleCandidates(std::size_t count)
{
    Candidate candidate;
    candidate.slots = 16;
    return std::vector<Candidate>(count, candidate);
}

/// \brief Returns a request with a prompt of `tokens` tokens and an answer of 500 tokens.
inline PromptRequest promptRequest(std::int64_t tokens, bool shortGaps = true)
{
    PromptRequest request;
    request.prompt = {tokens, 500};
    request.ttftObjective = shortGaps ? absl::Milliseconds(300) : absl::Milliseconds(2500);
    request.shortGaps = shortGaps;
    request.callerTimeout = absl::Seconds(10);
    request.toleratedGaps = {absl::Milliseconds(250), absl::Milliseconds(600)};
    return request;
}

} // namespace spurlug::test
