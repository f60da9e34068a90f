//----------------------------------------------------------------------------------------------------------------------
// spurlug: what an engine would do with a prompt, or a part of one, beside the work it has
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

/// \brief Estimates for the candidates of one prompt, by the engines' published costs. Candidates go by their index;
/// times are in ms.
class EngineEstimate
{
public:
    EngineEstimate(const config::EngineCosts &costs, const PromptRequest &request,
                   const std::vector<Candidate> &candidates, const PlacementRule &rule, std::uint64_t pick);

    /// \brief Number of candidates.
    [[nodiscard]] std::size_t size() const noexcept;
    [[nodiscard]] const Candidate &at(std::size_t candidate) const noexcept;

    /// \brief Whether a candidate holds tight streams or is kept for them.
    [[nodiscard]] bool servesTight(std::size_t candidate) const noexcept;
    /// \brief Whether a slot is free for one request more.
    [[nodiscard]] bool hasSlot(std::size_t candidate) const noexcept;
    /// \brief Whether it takes one part more of a prompt of another engine.
    [[nodiscard]] bool takesPart(std::size_t candidate) const noexcept;
    /// \brief KV memory that is not given out, tokens; below 0 when too much was.
    [[nodiscard]] std::int64_t freeMemory(std::size_t candidate) const noexcept;
    /// \brief Whether the prompt and its answer fit into the free memory.
    [[nodiscard]] bool holdsPrompt(std::size_t candidate) const noexcept;

    /// \brief Reading that waits there.
    [[nodiscard]] double aheadMs(std::size_t candidate) const noexcept;
    /// \brief Time until it has read a part behind what is there.
    [[nodiscard]] double finishMs(std::size_t candidate, double part) const noexcept;
    /// \brief Time until all of them have.
    [[nodiscard]] double finishMs(std::size_t target, const std::vector<std::size_t> &helpers,
                                  double part) const noexcept;
    /// \brief Time until a slot falls free where all are taken: answers end one after the other.
    [[nodiscard]] double slotWaitMs(std::size_t candidate) const noexcept;
    /// \brief Delay of the streams there beyond what they bear when it reads a part more: a pass lasts until its
    /// reading is done.
    [[nodiscard]] double harmMs(std::size_t candidate, double part) const noexcept;
    /// \brief Whether the streams there stay in time when it reads a part more. Where there are none, a pass may be
    /// of any length, but little may wait for it.
    [[nodiscard]] bool staysCalm(std::size_t candidate, double part) const noexcept;
    /// \brief Cost of the way to it, and a little that differs by request: daemons that see the same loads must not all
    /// choose alike.
    [[nodiscard]] double wayMs(std::size_t candidate) const noexcept;
    /// \brief Whether a request considers an engine to answer it. The older the loads, the more daemons choose by the
    /// same ones; so each request considers a random part of the engines, and the best one of it.
    [[nodiscard]] bool considered(std::size_t candidate) const noexcept;
    /// \brief Cost of reading a part there.
    [[nodiscard]] double readingCost(std::size_t candidate, double part) const noexcept;

private:
    /// Longest pass that keeps streams in time which bear such pauses.
    [[nodiscard]] double longestPassMs(core::Duration pause) const noexcept;

    const config::EngineCosts &m_costs;
    const PromptRequest &m_request;
    const std::vector<Candidate> &m_candidates;
    const PlacementRule &m_rule;
    const std::uint64_t m_pick;
};

//----------------------------------------------------------------------------------------------------------------------

/// \brief A prompt whose stream bears short pauses only: at one engine, or a few, where its first event comes soonest
/// and others of its kind are.
[[nodiscard]] std::optional<Placement> placeTight(const config::EngineCosts &costs, const PromptRequest &request,
                                                  const EngineEstimate &engines, const PlacementRule &rule);

/// \brief A prompt whose stream bears longer pauses: evenly over all engines whose streams stay in time, so that no
/// pass is long anywhere.
///
/// It is kept waiting (nothing is returned) while it could not be in time at the engines that are free for it, or, if
/// it is late anyway, while it would hold few of them for long. A prompt that no engine can hold lies in the memory of
/// several.
[[nodiscard]] std::optional<Placement> placeSpread(const config::EngineCosts &costs, const PromptRequest &request,
                                                   const EngineEstimate &engines, const PlacementRule &rule);

} // namespace spurlug::relay
