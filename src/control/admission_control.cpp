//----------------------------------------------------------------------------------------------------------------------
// spurlug: the scheduler's admission of placement requests by prediction
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/admission_control.h"

#include "spurlug/core/log.h"
#include "spurlug/core/text.h"
#include "spurlug/relay/placement.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace spurlug::control
{

namespace
{

using overload::Kind;
using overload::Verdict;

/// A scheduler has the work reports of all daemons after this time; before, it refuses nobody by prediction.
constexpr auto SettlingTime = absl::Milliseconds(300);
/// A scheduler that no daemon used for this long has lost its reports and starts anew.
constexpr auto MaxSilence = absl::Milliseconds(1600);
/// Rounds follow each other after 10 ms while something waits; the margin covers delayed ones.
constexpr auto MaxRoundAge = absl::Milliseconds(30);
constexpr auto RefusalTtl = absl::Milliseconds(500); ///< Daemons ask again after 30 ms if a reply was lost.
constexpr core::Duration ShortGapsAveraging = absl::Seconds(2); ///< As long as their callers wait.
/// Callers of these prompts wait for about 12 s: a burst of 2 s says little about the whole of such a wait, and prompts
/// were refused in it that would have been in time.
constexpr core::Duration LongGapsAveraging = absl::Seconds(10);
/// Share of their time that engines spend on prefill, before it is measured.
constexpr double InitialPrefillShare = 0.5;

} // namespace

Kind kindOf(const PlacementRequest &request) noexcept
{
    return request.shortGaps ? Kind::ShortGaps : Kind::LongGaps;
}

AdmissionControl::AdmissionControl(relay::RelayContext &context)
    : m_context(context)
{ }

bool AdmissionControl::isActive() const noexcept
{
    return m_context.features().admission;
}

void AdmissionControl::noteActivity(core::Time now)
{
    if (now - m_lastActivityAt > MaxSilence) {
        m_activeSince = now;
    }
    m_lastActivityAt = now;
}

double AdmissionControl::initialDrain(const std::string &service, Kind kind, core::Time now) const
{
    constexpr double MsPerSecond = 1000;
    const auto *spec = m_context.table->serviceNamed(service);
    if (spec == nullptr || !spec->engine) {
        return 0; // The configuration changed while requests waited.
    }
    const auto &costs = *spec->engine;
    const auto engines = static_cast<double>(m_context.targets.availableTargets(service, now).size());
    if (kind == Kind::LongGaps) {
        return engines * MsPerSecond * InitialPrefillShare;
    }
    relay::Outstanding full;
    full.decodingRequests = costs.slots;
    full.decodingContextTokens = costs.slots * costs.meanPromptTokens;
    const auto stepMs = relay::decodePassMs(costs, full) / std::max(costs.stepsPerPass, 1);
    const auto answerMs = stepMs * static_cast<double>(costs.meanAnswerTokens);
    return answerMs > 0 ? engines * costs.slots * MsPerSecond / answerMs : 0;
}

AdmissionControl::Lane &AdmissionControl::laneOf(const std::string &service, Kind kind, core::Time now)
{
    const auto found = std::find_if(m_lanes.begin(), m_lanes.end(),
                                    [&](const Lane &lane) { return lane.kind == kind && lane.service == service; });
    if (found != m_lanes.end()) {
        return *found;
    }
    const bool hasFloor = kind == Kind::LongGaps && m_context.features().fairShares;
    const auto averagingTime = kind == Kind::LongGaps ? LongGapsAveraging : ShortGapsAveraging;
    const auto lateShare = hasFloor ? m_context.settings.overload.floorShare : overload::Admission::MinLateShare;
    return m_lanes.emplace_back(
        Lane{service, kind, overload::Admission(initialDrain(service, kind, now), lateShare, averagingTime), {}});
}

const AdmissionControl::Lane *AdmissionControl::findLane(const std::string &service, Kind kind) const
{
    const auto found = std::find_if(m_lanes.begin(), m_lanes.end(),
                                    [&](const Lane &lane) { return lane.kind == kind && lane.service == service; });
    return found != m_lanes.end() ? &*found : nullptr;
}

AdmissionTicket AdmissionControl::admit(const PlacementRequest &request, core::Time arrivedAt, core::Time now)
{
    const auto &costs = *m_context.table->serviceNamed(request.service)->engine;
    const auto engines = request.shortGaps ? 1 : m_context.settings.placement.mostHelpers + 1;
    AdmissionTicket ticket;
    ticket.prompt.arrivedAt = arrivedAt;
    ticket.prompt.leavesAt = std::min(arrivedAt + request.callerTimeout, now + request.timeLeft);
    ticket.prompt.ttftObjective = request.ttftObjective;
    ticket.prompt.leastTtft = absl::Milliseconds(
        relay::prefillPartMs(costs, request.prompt.promptTokens, static_cast<std::size_t>(engines)));
    ticket.work = request.shortGaps ? 1 : relay::prefillPartMs(costs, request.prompt.promptTokens, 1);
    auto &lane = laneOf(request.service, kindOf(request), now);
    switch (request.digest != 0 ? lane.returns.arrivalOf(request.digest, now) : overload::Arrival::New) {
    case overload::Arrival::New:
        break;
    case overload::Arrival::Early:
        m_context.metrics.count(metrics::Counter::ReturnsEarly);
        break;
    case overload::Arrival::OnTime:
        m_context.metrics.count(metrics::Counter::ReturnsOnTime);
        lane.returns.remove(request.digest);
        ticket.returnedOnTime = true;
        break;
    }
    return ticket;
}

Verdict AdmissionControl::decide(const PlacementRequest &request, AdmissionTicket &ticket,
                                 const overload::WorkAhead &ahead, core::Time now)
{
    auto &lane = laneOf(request.service, kindOf(request), now);
    auto prediction = lane.admission.predict(ticket.prompt, ahead, now);
    if (prediction.verdict == Verdict::InTime && !ticket.inTime) {
        prediction.verdict = Verdict::Late; // It keeps its place, so that the prediction of others stays valid.
    }
    ticket.expectedWait = prediction.wait;
    if (prediction.verdict != Verdict::InTime && std::exchange(ticket.inTime, false)
        && prediction.verdict == Verdict::Late) {
        m_context.metrics.count(metrics::Counter::AdmissionLate);
    }
    return prediction.verdict;
}

void AdmissionControl::noteGrant(const PlacementRequest &request, const AdmissionTicket &ticket,
                                 core::Duration expectedTtft, core::Time now)
{
    auto &lane = laneOf(request.service, kindOf(request), now);
    lane.admission.noteGrant(ticket.work, expectedTtft - ticket.prompt.leastTtft, now);
    lane.returns.remove(request.digest);
}

void AdmissionControl::noteArrival(const PlacementRequest &request, const AdmissionTicket &ticket, core::Time now)
{
    if (ticket.inTime) {
        laneOf(request.service, kindOf(request), now).admission.noteArrival(ticket.work, now);
    }
}

void AdmissionControl::noteWaiting(const std::string &service, Kind kind, core::Time now)
{
    auto &lane = laneOf(service, kind, now);
    lane.grantsAtOnce = false;
    lane.admission.setWaiting(true, now);
}

void AdmissionControl::noteGrantAtOnce(const std::string &service, Kind kind, core::Time now)
{
    auto &lane = laneOf(service, kind, now);
    lane.grantsAtOnce = true;
    lane.admission.setWaiting(false, now);
}

void AdmissionControl::noteRound(const std::vector<LaneBacklog> &backlogs, core::Time now)
{
    for (auto &lane : m_lanes) {
        const bool unplaced = std::any_of(backlogs.begin(), backlogs.end(), [&lane](const LaneBacklog &backlog) {
            return backlog.kind == lane.kind && backlog.service == lane.service && backlog.unplaced;
        });
        // Those that still wait while arrivals are granted at once fit nowhere; the grants then equal the arrivals.
        const bool waits = unplaced && !lane.grantsAtOnce;
        lane.admission.setWaiting(waits, now);
        lane.unplacedAt = waits ? now : lane.unplacedAt;
    }
}

PlacementReply AdmissionControl::refuse(const PlacementRequest &request, const AdmissionTicket &ticket,
                                        const overload::WorkAhead &ahead, core::Time now)
{
    auto &lane = laneOf(request.service, kindOf(request), now);
    const auto drain = lane.admission.drainPerSecond(now);
    const auto drainTime = [drain](double work) {
        return drain > 0 ? absl::Seconds(work / drain) : core::Duration(absl::InfiniteDuration());
    };
    overload::RefusedCaller caller;
    caller.digest = request.digest;
    caller.timeLeft = request.timeLeft;
    caller.leastTtft = ticket.prompt.leastTtft;
    caller.backlog = drainTime(ahead.inTime + ahead.late);
    caller.spacing = drainTime(ticket.work);
    caller.expectedWait = ticket.expectedWait;
    PlacementReply reply;
    reply.vm = m_context.settings.vm;
    reply.requestNumber = request.requestNumber;
    reply.kind = ReplyKind::Refused;
    reply.retryAfter = lane.returns.enter(caller, now);
    reply.expectedWait = ticket.expectedWait;
    m_refusals[{request.vm, request.requestNumber}] = {reply, now};
    m_context.metrics.count(metrics::Counter::AdmissionRefused);
    const auto expected = now + ticket.expectedWait + ticket.prompt.leastTtft - ticket.prompt.arrivedAt;
    core::log(core::LogLevel::Info, "placement_refused",
              {{"by", request.vm},
               {"digest", absl::StrCat(absl::Hex(request.digest, absl::kZeroPad16))},
               {"service", request.service},
               {"kind", request.shortGaps ? "short" : "long"},
               {"organisation", request.organisation},
               {"waitedMs", core::toMs(now - ticket.prompt.arrivedAt)},
               {"expectedMs", core::toMs(std::min(expected, core::Duration(absl::Hours(1))))},
               {"leavesMs", core::toMs(ticket.prompt.leavesAt - now)},
               {"aheadInTime", ahead.inTime},
               {"aheadLate", ahead.late},
               {"drainPerSecond", drain},
               {"inTimePerSecond", lane.admission.arrivalPerSecond(now)},
               {"viewAgeMs", 0},
               {"retryMs", core::toMs(reply.retryAfter)}});
    return reply;
}

void AdmissionControl::removeExpired(core::Time now)
{
    std::erase_if(m_refusals, [now](const auto &item) { return now - item.second.sentAt > RefusalTtl; });
}

double AdmissionControl::drainPerSecond(Kind kind, core::Time now) const
{
    double sum = 0;
    for (const auto &lane : m_lanes) {
        sum += lane.kind == kind ? lane.admission.drainPerSecond(now) : 0;
    }
    return sum;
}

std::optional<PlacementReply> AdmissionControl::findRefusal(const PlacementRequest &request) const
{
    const auto found = m_refusals.find({request.vm, request.requestNumber});
    return found != m_refusals.end() ? std::optional(found->second.reply) : std::nullopt;
}

bool AdmissionControl::mayRefuse(const PlacementRequest &request, core::Time now) const
{
    return !request.mayHaveRun && request.digest != 0 && now - m_activeSince >= SettlingTime;
}

bool AdmissionControl::recentlyFull(const PlacementRequest &request, core::Time now) const
{
    const auto *lane = findLane(request.service, kindOf(request));
    return lane != nullptr && now - lane->unplacedAt <= MaxRoundAge;
}

bool AdmissionControl::canBeInTime(const PlacementRequest &request, const AdmissionTicket &ticket, core::Time now) const
{
    const auto *lane = findLane(request.service, kindOf(request));
    return ticket.inTime && (lane == nullptr || lane->admission.canBeInTime(ticket.prompt, absl::ZeroDuration(), now));
}

} // namespace spurlug::control
