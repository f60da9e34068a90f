//----------------------------------------------------------------------------------------------------------------------
// spurlug: estimates of how an engine would process a prompt, or a part of one, beside its current work
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#pragma once

#include "spurlug/relay/placement.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace spurlug::relay
{

//----------------------------------------------------------------------------------------------------------------------

/// \brief Estimates for the candidates of one prompt, based on the engines' published costs and on Candidate::speed.
/// Candidates are identified by index; times are in ms. Parts are given in ms by the published costs.
class EngineEstimate
{
public:
    EngineEstimate(const config::EngineCosts &costs, const PromptRequest &request,
                   const std::vector<Candidate> &candidates, const PlacementWeights &weights,
                   std::uint64_t randomValue);

    /// \brief Number of candidates.
    [[nodiscard]] std::size_t size() const noexcept;
    [[nodiscard]] const Candidate &at(std::size_t candidate) const noexcept;

    /// \brief Whether a candidate has streams that tolerate only short gaps, or is reserved for them.
    [[nodiscard]] bool servesShortGaps(std::size_t candidate) const noexcept;
    /// \brief Whether the engine may answer and has a free slot.
    [[nodiscard]] bool hasSlot(std::size_t candidate) const noexcept;
    /// \brief Whether the engine accepts one more prefill part for another engine.
    [[nodiscard]] bool acceptsPart(std::size_t candidate) const noexcept;
    /// \brief Unreserved KV memory, tokens; below 0 if too much was reserved.
    [[nodiscard]] std::int64_t freeMemory(std::size_t candidate) const noexcept;
    /// \brief Whether the prompt and its answer fit into the unreserved KV memory.
    [[nodiscard]] bool fitsPrompt(std::size_t candidate) const noexcept;

    /// \brief Duration of one batch pass without prefill; 0 if no request generates at the engine.
    [[nodiscard]] double passMs(std::size_t candidate) const noexcept;
    /// \brief Time that the engine takes to prefill a part that takes `part` by the published costs.
    [[nodiscard]] double partMs(std::size_t candidate, double part) const noexcept;
    /// \brief Time of the prefill that is queued at the engine.
    [[nodiscard]] double queuedPrefillMs(std::size_t candidate) const noexcept;
    /// \brief Time until the engine has prefilled a part after its current work.
    [[nodiscard]] double finishMs(std::size_t candidate, double part) const noexcept;
    /// \brief Time until the target and all helpers have prefilled their parts.
    [[nodiscard]] double finishMs(std::size_t target, const std::vector<std::size_t> &helpers,
                                  double part) const noexcept;
    /// \brief Time until a slot becomes free if all are taken, given that answers end one after the other.
    [[nodiscard]] double slotWaitMs(std::size_t candidate) const noexcept;
    /// \brief Weighted delay beyond the tolerated gaps of the engine's streams if it prefills one more part: a batch
    /// pass lasts until its prefill is done.
    [[nodiscard]] double streamDelayCost(std::size_t candidate, double part) const noexcept;
    /// \brief Whether the engine's streams stay within their tolerated gaps if it prefills one more part. An engine
    /// without streams accepts parts of any length, but only if little prefill is queued there.
    [[nodiscard]] bool staysInTime(std::size_t candidate, double part) const noexcept;
    /// \brief Number of streams that tolerate neither only short gaps nor the longest gap of the service.
    [[nodiscard]] std::int64_t middleStreams(std::size_t candidate) const noexcept;
    /// \brief Cost of reaching the engine, plus jitter that differs by request, so that daemons which see the same
    /// loads choose differently.
    [[nodiscard]] double networkCostMs(std::size_t candidate) const noexcept;
    /// \brief Whether the engine is among the random subset that the request considers. The older the known loads, the
    /// more daemons choose by the same ones and the smaller the subset.
    [[nodiscard]] bool isConsidered(std::size_t candidate) const noexcept;
    /// \brief Total cost of prefilling a part at the engine.
    [[nodiscard]] double prefillCost(std::size_t candidate, double part) const noexcept;

private:
    /// Longest batch pass that keeps streams with the given tolerated gap in time.
    [[nodiscard]] double maxPassMs(core::Duration gap) const noexcept;

    /// Smallest gap tolerated by the engine's streams other than those that tolerate only short gaps.
    [[nodiscard]] core::Duration otherStreamsGap(std::size_t candidate) const noexcept;

    const config::EngineCosts &m_costs;
    const PromptRequest &m_request;
    const std::vector<Candidate> &m_candidates;
    const PlacementWeights &m_weights;
    const std::uint64_t m_randomValue;
};

//----------------------------------------------------------------------------------------------------------------------

/// \brief Places a prompt whose stream tolerates only short gaps on one engine or a few, where its first event comes
/// soonest and preferably where other such streams are.
[[nodiscard]] std::optional<Placement> placeShortGaps(const config::EngineCosts &costs, const PromptRequest &request,
                                                      const EngineEstimate &engines, const PlacementWeights &weights);

/// \brief Places a prompt of a stream that tolerates longer gaps evenly on all engines whose streams stay in time, so
/// that no batch pass becomes long anywhere.
///
/// Returns std::nullopt to keep the prompt waiting while it would miss its TTFT objective at the engines that are free
/// for it, or, if it is late anyway, while it would occupy few of them for long. The KV memory of a prompt that fits no
/// single engine is divided among several.
[[nodiscard]] std::optional<Placement> placeSpread(const config::EngineCosts &costs, const PromptRequest &request,
                                                   const EngineEstimate &engines, const PlacementWeights &weights);

} // namespace spurlug::relay
