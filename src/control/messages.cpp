//----------------------------------------------------------------------------------------------------------------------
// spurlug: control plane messages between daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/messages.h"

#include "spurlug/control.pb.h"
#include "spurlug/membership/load_view_codec.h"
#include "spurlug/membership/work_codec.h"

#include <algorithm>
#include <limits>

namespace spurlug::control
{

namespace
{

using membership::clampToUint32;

constexpr std::uint32_t InfiniteMs = std::numeric_limits<std::uint32_t>::max(); // Encodes an infinite duration.

std::uint32_t toMs32(core::Duration duration)
{
    return duration == absl::InfiniteDuration() ? InfiniteMs : clampToUint32(core::toMs(duration));
}

core::Duration fromMs32(std::uint32_t ms)
{
    return ms == InfiniteMs ? absl::InfiniteDuration() : core::fromMs(ms);
}

/// Encodes an optional ratio; 0 means that there is none.
std::uint32_t toThousandths(std::optional<double> ratio)
{
    constexpr double Thousand = 1000;
    constexpr double MaxRatio = 1e6;
    const auto valid = ratio && *ratio > 0 ? std::min(*ratio, MaxRatio) : 0;
    return static_cast<std::uint32_t>(valid * Thousand);
}

std::optional<double> fromThousandths(std::uint32_t value)
{
    constexpr double Thousandth = 0.001;
    return value > 0 ? std::optional(value * Thousandth) : std::nullopt;
}

std::uint32_t toMicros32(core::Duration duration)
{
    return clampToUint32(absl::ToInt64Microseconds(duration));
}

template<typename Values, typename Field>
void writeAll(const Values &values, Field &field)
{
    for (const auto value : values) {
        field.Add(static_cast<std::uint32_t>(value));
    }
}

template<typename Field>
void writeRates(const std::vector<targets::RateReport> &rates, Field &field)
{
    for (const auto &rate : rates) {
        membership::writeRate(rate, *field.Add());
    }
}

template<typename Field>
std::vector<targets::RateReport> readRates(const Field &field)
{
    std::vector<targets::RateReport> rates;
    for (const auto &rate : field) {
        rates.push_back(membership::readRate(rate));
    }
    return rates;
}

void write(const WorkReport &report, wire::ControlDatagram &datagram)
{
    auto &out = *datagram.mutable_report();
    out.set_vm(report.vm);
    out.set_failure_domain(report.failureDomain);
    out.set_incarnation(report.incarnation);
    out.set_sequence(report.sequence);
    out.set_newest_grant(report.newestGrant);
    for (const auto &work : report.work) {
        membership::writeWork(work, *out.add_work());
    }
    writeAll(report.unreachable, *out.mutable_unreachable());
    writeAll(report.draining, *out.mutable_leaving());
    writeRates(report.rates, *out.mutable_rates());
    for (const auto &outcome : report.outcomes) {
        auto &outcomeOut = *out.add_outcomes();
        outcomeOut.set_target(outcome.target);
        outcomeOut.set_fault(outcome.fault ? static_cast<std::uint32_t>(*outcome.fault) + 1 : 0);
        outcomeOut.set_asked_by(outcome.requestingEngine);
        outcomeOut.set_first_ratio(toThousandths(outcome.firstRatio));
        outcomeOut.set_gap_ratio(toThousandths(outcome.gapRatio));
        outcomeOut.set_first_event_only(outcome.firstEventOnly);
    }
    out.set_wants_word(report.wantsAck);
}

WorkReport read(const wire::WorkReport &in)
{
    WorkReport report;
    report.vm = in.vm();
    report.failureDomain = in.failure_domain();
    report.incarnation = in.incarnation();
    report.sequence = in.sequence();
    report.newestGrant = in.newest_grant();
    for (const auto &work : in.work()) {
        report.work.push_back(membership::readWork(work));
    }
    report.unreachable.assign(in.unreachable().begin(), in.unreachable().end());
    report.draining.assign(in.leaving().begin(), in.leaving().end());
    report.rates = readRates(in.rates());
    const auto lastFault = static_cast<std::uint32_t>(relay::TargetFault::Busy);
    for (const auto &outcomeIn : in.outcomes()) {
        TargetOutcome outcome;
        outcome.target = outcomeIn.target();
        outcome.requestingEngine = outcomeIn.asked_by();
        outcome.firstRatio = fromThousandths(outcomeIn.first_ratio());
        outcome.gapRatio = fromThousandths(outcomeIn.gap_ratio());
        outcome.firstEventOnly = outcomeIn.first_event_only();
        if (outcomeIn.fault() > 0) {
            outcome.fault = static_cast<relay::TargetFault>(std::min(outcomeIn.fault() - 1, lastFault));
        }
        report.outcomes.push_back(outcome);
    }
    report.wantsAck = in.wants_word();
    return report;
}

void write(const ReportAck &ack, wire::ControlDatagram &datagram)
{
    datagram.mutable_report_taken()->set_vm(ack.vm);
}

void write(const PlacementRequest &request, wire::ControlDatagram &datagram)
{
    auto &out = *datagram.mutable_ask();
    out.set_vm(request.vm);
    out.set_failure_domain(request.failureDomain);
    out.set_ask(request.requestNumber);
    out.set_service(request.service);
    out.set_prompt_tokens(clampToUint32(request.prompt.promptTokens));
    out.set_answer_tokens(clampToUint32(request.prompt.maxAnswerTokens));
    out.set_aim_ms(toMs32(request.ttftObjective));
    out.set_tight(request.shortGaps);
    out.set_long_gap(request.longGap);
    out.set_waited_ms(toMs32(request.waited));
    out.set_patience_ms(toMs32(request.callerTimeout));
    out.set_priority(clampToUint32(request.priority));
    writeAll(request.excludedTargets, *out.mutable_not_at());
    writeAll(request.allowedTargets, *out.mutable_only_at());
    writeAll(request.avoidedTargets, *out.mutable_unwanted());
    writeRates(request.rates, *out.mutable_rates());
    out.set_organisation(request.organisation);
    out.set_digest(request.digest);
    out.set_deadline_ms(request.timeLeft == absl::InfiniteDuration() ? 0 : std::max(toMs32(request.timeLeft), 1U));
    out.set_at_home(request.localDomainOnly);
    out.set_near_helpers(request.localHelpersOnly);
    out.set_may_have_run(request.mayHaveRun);
}

PlacementRequest read(const wire::PlacementAsk &in)
{
    PlacementRequest request;
    request.vm = in.vm();
    request.failureDomain = in.failure_domain();
    request.requestNumber = in.ask();
    request.service = in.service();
    request.prompt = {in.prompt_tokens(), in.answer_tokens()};
    request.ttftObjective = fromMs32(in.aim_ms());
    request.shortGaps = in.tight();
    request.longGap = in.long_gap();
    request.waited = fromMs32(in.waited_ms());
    request.callerTimeout = fromMs32(in.patience_ms());
    request.priority = static_cast<int>(std::min<std::uint32_t>(in.priority(), std::numeric_limits<int>::max()));
    request.excludedTargets.assign(in.not_at().begin(), in.not_at().end());
    request.allowedTargets.assign(in.only_at().begin(), in.only_at().end());
    request.avoidedTargets.assign(in.unwanted().begin(), in.unwanted().end());
    request.rates = readRates(in.rates());
    request.organisation = in.organisation();
    request.digest = in.digest();
    if (in.deadline_ms() > 0) {
        request.timeLeft = fromMs32(in.deadline_ms());
    }
    request.localDomainOnly = in.at_home();
    request.localHelpersOnly = in.near_helpers();
    request.mayHaveRun = in.may_have_run();
    return request;
}

void write(const PlacementReply &reply, wire::ControlDatagram &datagram)
{
    auto &out = *datagram.mutable_answer();
    out.set_vm(reply.vm);
    out.set_ask(reply.requestNumber);
    out.set_kind(static_cast<std::uint32_t>(reply.kind));
    out.set_grant(reply.grantNumber);
    out.set_target(reply.target);
    writeAll(reply.helpers, *out.mutable_helpers());
    for (const auto tokens : reply.reservedTokens) {
        out.add_holding_tokens(clampToUint32(tokens));
    }
    out.set_expected_us(toMicros32(reply.expectedTtft));
    out.set_part_us(toMicros32(reply.partPrefillTime));
    out.set_retry_ms(toMs32(reply.retryAfter));
    out.set_wait_ms(toMs32(reply.expectedWait));
    out.set_published_us(toMicros32(reply.published.ttft));
    out.set_pass_us(toMicros32(reply.published.pass));
    if (reply.load) {
        membership::writeLoadView(*reply.load, *out.mutable_load());
    }
}

PlacementReply read(const wire::PlacementAnswer &in)
{
    PlacementReply reply;
    reply.vm = in.vm();
    reply.requestNumber = in.ask();
    const auto last = static_cast<std::uint32_t>(ReplyKind::Refused);
    reply.kind = in.kind() <= last ? static_cast<ReplyKind>(in.kind()) : ReplyKind::Declined;
    reply.grantNumber = in.grant();
    reply.target = in.target();
    reply.helpers.assign(in.helpers().begin(), in.helpers().end());
    reply.reservedTokens.assign(in.holding_tokens().begin(), in.holding_tokens().end());
    reply.expectedTtft = absl::Microseconds(in.expected_us());
    reply.partPrefillTime = absl::Microseconds(in.part_us());
    reply.retryAfter = fromMs32(in.retry_ms());
    reply.expectedWait = fromMs32(in.wait_ms());
    reply.published.ttft = absl::Microseconds(in.published_us());
    reply.published.pass = absl::Microseconds(in.pass_us());
    if (in.has_load()) {
        reply.load = membership::readLoadView(in.load());
    }
    return reply;
}

void write(const PlacementCancel &cancel, wire::ControlDatagram &datagram)
{
    datagram.mutable_cancel()->set_vm(cancel.vm);
    datagram.mutable_cancel()->set_ask(cancel.requestNumber);
}

void write(const FreshnessQuery &query, wire::ControlDatagram &datagram)
{
    datagram.mutable_question()->set_number(query.number);
}

void write(const FreshnessReply &reply, wire::ControlDatagram &datagram)
{
    auto &out = *datagram.mutable_proof();
    out.set_number(reply.number);
    out.set_vm(reply.vm);
    out.set_version(static_cast<std::uint64_t>(reply.version));
    out.set_proof_ms(toMs32(reply.proofAge));
    out.set_contact_ms(toMs32(reply.directoryContactAge));
    out.set_targets_era(static_cast<std::uint64_t>(reply.targetsPosition.era));
    out.set_targets_revision(static_cast<std::uint64_t>(reply.targetsPosition.revision));
    out.set_targets_ms(toMs32(reply.targetsAge));
    out.set_regained_ms(toMs32(reply.directoryRecoveryAge));
    out.set_evacuations_era(static_cast<std::uint64_t>(reply.evacuations.position.era));
    out.set_evacuations_revision(static_cast<std::uint64_t>(reply.evacuations.position.revision));
    for (const auto &domain : reply.evacuations.domains) {
        out.add_evacuated(domain);
    }
}

FreshnessReply read(const wire::ProofAnswer &in)
{
    FreshnessReply reply;
    reply.number = in.number();
    reply.vm = in.vm();
    reply.version = static_cast<std::int64_t>(in.version());
    reply.proofAge = fromMs32(in.proof_ms());
    reply.directoryContactAge = fromMs32(in.contact_ms());
    reply.targetsPosition
        = {static_cast<std::int64_t>(in.targets_era()), static_cast<std::int64_t>(in.targets_revision())};
    reply.targetsAge = fromMs32(in.targets_ms());
    reply.directoryRecoveryAge = fromMs32(in.regained_ms());
    reply.evacuations.position
        = {static_cast<std::int64_t>(in.evacuations_era()), static_cast<std::int64_t>(in.evacuations_revision())};
    reply.evacuations.domains.insert(in.evacuated().begin(), in.evacuated().end());
    return reply;
}

void write(const CrashReport &report, wire::ControlDatagram &datagram)
{
    auto &out = *datagram.mutable_crashes();
    for (const auto &suspect : report.suspects) {
        auto &suspectOut = *out.add_suspects();
        suspectOut.set_work_high(suspect.digest.high);
        suspectOut.set_work_low(suspect.digest.low);
        suspectOut.set_kind(static_cast<std::uint32_t>(suspect.kind));
        for (const auto &end : suspect.crashes) {
            auto &endOut = *suspectOut.add_ends();
            endOut.set_target(end.target);
            endOut.set_age_ms(toMs32(end.age));
        }
        suspectOut.set_ran_well_ms(toMs32(suspect.lastSuccessAge));
    }
}

CrashReport read(const wire::CrashNews &in)
{
    CrashReport report;
    for (const auto &suspectIn : in.suspects()) {
        SuspectReport suspect;
        suspect.digest = {suspectIn.work_high(), suspectIn.work_low()};
        const bool isPart = suspectIn.kind() == static_cast<std::uint32_t>(relay::SuspectKind::PromptPart);
        suspect.kind = isPart ? relay::SuspectKind::PromptPart : relay::SuspectKind::Content;
        for (const auto &endIn : suspectIn.ends()) {
            suspect.crashes.push_back({endIn.target(), fromMs32(endIn.age_ms())});
        }
        suspect.lastSuccessAge = fromMs32(suspectIn.ran_well_ms());
        report.suspects.push_back(std::move(suspect));
    }
    return report;
}

} // namespace

std::string writeMessage(const Message &message)
{
    wire::ControlDatagram datagram;
    std::visit([&datagram](const auto &body) { write(body, datagram); }, message);
    return datagram.SerializeAsString();
}

std::optional<Message> readMessage(std::string_view datagram)
{
    using Kind = wire::ControlDatagram::MessageCase;
    wire::ControlDatagram in;
    if (!in.ParseFromArray(datagram.data(), static_cast<int>(datagram.size()))) {
        return std::nullopt;
    }
    switch (in.message_case()) {
    case Kind::kReport:
        return read(in.report());
    case Kind::kReportTaken:
        return ReportAck{in.report_taken().vm()};
    case Kind::kAsk:
        return read(in.ask());
    case Kind::kAnswer:
        return read(in.answer());
    case Kind::kCancel:
        return PlacementCancel{in.cancel().vm(), in.cancel().ask()};
    case Kind::kQuestion:
        return FreshnessQuery{in.question().number()};
    case Kind::kProof:
        return read(in.proof());
    case Kind::kCrashes:
        return read(in.crashes());
    case Kind::MESSAGE_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace spurlug::control
