//----------------------------------------------------------------------------------------------------------------------
// spurlug: weights for the choice of targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>

namespace spurlug::settings
{

/// \brief Weights for the choice of targets. Costs are in ms of delay. docs/ROUTING.md explains the weights;
/// docs/BENANGJAYA.md lists the ranges in which they make no difference.
struct PlacementWeights
{
    /// Streams whose maximum gap between events is below this tolerate only short gaps ("tight"): prefilling a long
    /// prompt beside them makes them late. The value only divides the gaps of the routes into two kinds.
    core::Duration tightGap = absl::Milliseconds(400);
    /// Fraction of the shortest gap tolerated by an engine's streams that a batch pass may take, because known loads
    /// are slightly out of date.
    double passShare = 0.78;
    /// Prefill, ms, that may be queued at an engine without requests before long prompts wait in the daemon instead.
    double emptyAheadMs = 250;
    /// Cost of placing the first stream that tolerates longer gaps on an engine. It exceeds the time of one and a half
    /// passes beside streams (60 to 150 ms), so that such streams gather on few engines: an engine without streams
    /// prefills parts of any length, one with streams only parts that fit into their gaps.
    double gatherCostMs = 300;
    /// Time that prefill may take for a prompt whose first event will be late, in multiples of the TTFT objective.
    double lateSpan = 0.5;
    /// Fraction of the remaining caller timeout that such a prompt may take, because estimates are inexact.
    double patienceShare = 0.8;
    /// Cost per ms of a batch pass beyond the limit of `passShare`, for each stream that it delays.
    double harmWeight = 1;
    double expectedWeight = 0.2; ///< Cost per ms of the expected time until the first event.
    double lateWeight = 3; ///< Additional cost per ms beyond the fraction `aimShare` of the TTFT objective.
    double aimShare = 0.6; ///< Fraction of the TTFT objective that is safely in time.
    double helperCostMs = 4; ///< Cost of each additional engine that prefills a part of a tight prompt.
    /// Cost of placing a tight stream on an engine that is not reserved for them, because it keeps long prompts from
    /// being prefilled there.
    double notKeptCostMs = 60;
    double fillCostMs = 100; ///< Cost of taking the last slot of an engine; falls to 0 at `tightFill`.
    double otherDomainCostMs = 0.5; ///< Cost of a target in another failure domain: the network round trip.
    /// Prefill, ms, that may be queued at an engine before tight requests wait in the daemon, from where whichever
    /// engine finishes first can take them.
    double mostAheadTightMs = 250;
    /// Prefill, ms, that may be queued at an engine before requests are refused; callers leave a stream without
    /// events after 2 s.
    double mostQueueMs = 1000;
    double queueShare = 0.5; ///< Requests that may queue at an engine beyond its slots, as a fraction of the slots.
    /// Fraction of their slots up to which engines reserved for tight streams are filled before one more is reserved.
    double tightFill = 0.75;
    double tightSpare = 4; ///< Number of tight streams for which room is reserved beyond the current ones.
    double tightOnlyShare = 0.6; ///< Maximum fraction of the engines that are reserved for tight streams.
    int mostHelpers = 15; ///< An engine accepts 16 at most.
    std::int64_t leastPartTokens = 2000; ///< Smaller parts are not worth a message.
    /// Fraction of an engine's KV memory that may be allocated; the rest covers rounding to blocks.
    double memoryShare = 0.97;
    /// Requests that may queue at a plain target beyond its slots before requests wait in the daemon, as a fraction of
    /// the slots.
    double plainQueueShare = 1.0;
};

} // namespace spurlug::settings
