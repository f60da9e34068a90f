//----------------------------------------------------------------------------------------------------------------------
// spurlug: weights of the choice of targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>

namespace spurlug::settings
{

/// \brief Weights of the choice; costs are in ms of delay. docs/ROUTING.md explains them; the ranges in which they make
/// no difference stand in docs/BENANGJAYA.md.
struct PlacementRule
{
    /// Streams whose longest pause is below this are tight: a long prompt read beside them makes them late. It only
    /// parts the pauses of the routes in two kinds.
    core::Duration tightGap = absl::Milliseconds(400);
    /// Part of the shortest pause of an engine's streams that a pass may take: loads are known a little late.
    double passShare = 0.78;
    /// Reading that may wait at an engine that answers no request before long prompts wait here instead, ms.
    double emptyAheadMs = 250;
    /// Of a first request that bears longer pauses at an engine. More than one and a half passes beside streams take
    /// (60 to 150 ms), so that these streams gather: an engine without streams reads parts of any length, one with
    /// streams only such as fit into their pauses.
    double gatherCostMs = 300;
    double lateSpan = 0.5; ///< Aims that reading may take of a prompt whose first event will be late.
    /// Part of the caller's remaining patience that such a prompt may take: estimates err.
    double patienceShare = 0.8;
    double harmWeight = 1; ///< Of each ms of a pass beyond `passShare`, for each stream that it delays.
    double expectedWeight = 0.2; ///< Of each ms until the first event, while that is in time.
    double lateWeight = 3; ///< Of each ms beyond the part of the aim that is in time for sure.
    double aimShare = 0.6; ///< That part.
    double helperCostMs = 4; ///< Of one more engine that reads a part of a tight prompt.
    /// Of a tight stream at an engine that is not kept for them: it keeps long prompts from being read there.
    double notKeptCostMs = 60;
    double fillCostMs = 100; ///< Of the last slot of an engine; falls to 0 at `tightFill`.
    double otherDomainCostMs = 0.5; ///< Of a target elsewhere: the way there and back.
    /// Reading that may wait at an engine before requests wait here instead, ms: whichever engine gets through first
    /// can take them then.
    double mostAheadTightMs = 250;
    /// Reading that may wait at an engine before requests are refused, ms: callers leave a silent stream after 2 s.
    double mostQueueMs = 1000;
    double queueShare = 0.5; ///< Requests that may queue at an engine beyond its slots, as a share of them.
    /// Share of their slots that engines kept for tight streams are filled to before one more is kept.
    double tightFill = 0.75;
    double tightSpare = 4; ///< Tight streams that room is kept for beyond those there are.
    double tightOnlyShare = 0.6; ///< Most of the engines that are kept for tight streams.
    int mostHelpers = 15; ///< An engine takes 16 at most.
    std::int64_t leastPartTokens = 2000; ///< Smaller parts are not worth a message.
    double memoryShare = 0.97; ///< Part of an engine's memory that is given out; the rest covers rounding to blocks.
    /// Queue at a plain target beyond its slots, as a share of them, before requests wait here.
    double plainQueueShare = 1.0;
};

} // namespace spurlug::settings
