//----------------------------------------------------------------------------------------------------------------------
// spurlug: engines, prompts and times for tests of the relay's decisions
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

/// \brief A moment some ms after `Start`.
inline core::Time at(std::int64_t ms)
{
    return Start + core::fromMs(ms);
}

/// \brief What the directory says of a target of the service "model".
inline TargetEntry entry(const std::string &id, bool draining = false)
{
    const auto port = static_cast<std::uint16_t>(1024 + core::fastHash(id) % 60'000); // No two targets share one.
    return {id, "model", {"127.0.0.1", port}, "hall-a", 16, draining};
}

/// \brief An engine with 16 slots and memory for 200,000 tokens.
inline config::EngineCosts engine()
{
    config::EngineCosts costs;
    costs.stepMs = 1;
    costs.readTokensPerMs = 200;
    costs.pairsMsPerMillion = 0.1;
    costs.stepsPerPass = 40;
    costs.slots = 16;
    costs.memoryTokens = 200'000;
    return costs;
}

/// \brief Engines without work.
inline std::vector<Candidate> idle(std::size_t count)
{
    Candidate candidate;
    candidate.slots = 16;
    return std::vector<Candidate>(count, candidate);
}

/// \brief A request for 500 tokens of answer.
inline PromptRequest prompt(std::int64_t tokens, bool tight = true)
{
    PromptRequest request;
    request.prompt = {tokens, 500};
    request.aim = tight ? absl::Milliseconds(300) : absl::Milliseconds(2500);
    request.tight = tight;
    request.patience = absl::Seconds(10);
    request.pauses = {absl::Milliseconds(250), absl::Milliseconds(600)};
    return request;
}

} // namespace spurlug::test
