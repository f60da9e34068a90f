//----------------------------------------------------------------------------------------------------------------------
// spurlug: placement of requests on targets, and of prefill parts on helper engines
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/route_table.h"
#include "spurlug/core/time.h"
#include "spurlug/relay/request_info.h"
#include "spurlug/relay/target_set.h"
#include "spurlug/settings/placement_weights.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace spurlug::relay
{

/// \brief A target as seen by the placement algorithms.
struct Candidate
{
    Outstanding load; ///< Known work of all daemons at the target.
    int slots = 1;
    bool isLocalDomain = false; ///< Whether it is in the local failure domain.
    bool mayAnswer = true; ///< Whether it may get the request itself.
    bool mayHelp = true; ///< Whether it may prefill a part for another target.
    double speed = 1; ///< Its times by those of the service's median target; 1 is as published, 2 is twice as slow.
    bool reservedForShortGaps
        = false; ///< Reserved for streams that tolerate only short gaps; kept free of long prompts.
    std::int64_t ownRequests = 0; ///< Requests of this daemon at the target; set for placePlainByShare.
    std::size_t domain = 0; ///< Number of its failure domain; set for placePlainByShare.
    double share = 0; ///< Share of this daemon's requests; set for placePlainByShare.
};

/// \brief A prompt with the constraints on its placement.
struct PromptRequest
{
    PromptInfo prompt;
    core::Duration ttftObjective; ///< TTFT objective: time to the first event that counts as in time.
    bool shortGaps = true; ///< Whether its stream tolerates only short gaps between events.
    bool longGap = false; ///< Whether its stream tolerates the longest gap of the service.
    /// Whether the streams that an engine has limit the prefill parts that it accepts, instead of the strictest streams
    /// of the service. Set while admission by prediction is active.
    bool gapsByEngine = false;
    /// Whether a prompt with longer gaps that can still be in time waits. It needs the engines that a late one
    /// occupies.
    bool inTimePromptWaits = true;
    /// Whether a request that tolerates only short gaps has waited here long enough to queue for a slot.
    bool mayQueue = false;
    core::Duration waited = absl::ZeroDuration(); ///< Time since its arrival.
    /// Caller timeout: from its arrival until its caller is likely to disconnect.
    core::Duration callerTimeout = absl::InfiniteDuration();
    config::GapObjectives toleratedGaps; ///< Shortest gaps that the streams at the engines tolerate.
    core::Duration loadAge = absl::ZeroDuration(); ///< Age of the known loads of other daemons.
};

using settings::PlacementWeights;

/// \brief KV memory to be reserved at an engine.
struct MemoryReservation
{
    std::size_t candidate = 0;
    std::int64_t tokens = 0;
};

/// \brief Result of a placement; numbers are indices of candidates.
struct Placement
{
    std::size_t target = 0;
    std::vector<std::size_t> helpers; ///< Engines that hold KV memory come first, then those that only prefill.
    /// At the first helpers, in order; for a prompt that exceeds the target's own KV memory.
    std::vector<MemoryReservation> reservations;
    core::Duration expectedTtft; ///< Expected time until the first event.
    core::Duration partPrefillTime; ///< Expected prefill time of each engine's part.
};

/// \brief Duration of one batch pass of an engine without prefill, ms; 0 if no request generates there.
[[nodiscard]] double decodePassMs(const config::EngineCosts &costs, const Outstanding &load) noexcept;

/// \brief Time to prefill one of `parts` equal parts of a prompt, ms. The attention cost of the whole prompt is divided
/// evenly among the parts.
[[nodiscard]] double prefillPartMs(const config::EngineCosts &costs, std::int64_t promptTokens,
                                   std::size_t parts) noexcept;

/// \brief Number of engines to reserve for streams that tolerate only short gaps, given their current number.
[[nodiscard]] std::size_t enginesForShortGaps(const std::vector<Outstanding> &loads, int slots,
                                              const PlacementWeights &weights) noexcept;

/// \brief Pseudo-random number from 0 to 1 by candidate and request, to spread choices.
[[nodiscard]] double choiceJitter(std::uint64_t randomValue, std::size_t candidate) noexcept;

/// \brief Chooses engines for a prompt. The random number makes daemons that see the same loads choose differently.
/// \returns std::nullopt if no engine has a slot and KV memory for the prompt, or if the prompt should wait.
[[nodiscard]] std::optional<Placement> placePrompt(const config::EngineCosts &costs, const PromptRequest &request,
                                                   const std::vector<Candidate> &candidates,
                                                   const PlacementWeights &weights, std::uint64_t randomValue);

/// \brief Chooses a target of a plain service.
/// \returns std::nullopt if all targets are full.
[[nodiscard]] std::optional<Placement> placePlain(const std::vector<Candidate> &candidates,
                                                  const PlacementWeights &weights, std::uint64_t randomValue);

/// \brief Chooses a target of a plain service: draws the failure domain by the shares of its targets, then takes the
/// target with the least own work there. If no target with a share has room, chooses as placePlain does.
/// \returns std::nullopt if all targets are full.
[[nodiscard]] std::optional<Placement> placePlainByShare(const std::vector<Candidate> &candidates,
                                                         const PlacementWeights &weights, std::uint64_t randomValue);

} // namespace spurlug::relay
