//----------------------------------------------------------------------------------------------------------------------
// spurlug: control plane messages between daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/messages.h"

#include "spurlug/control.pb.h"
#include "spurlug/membership/work_codec.h"

#include <algorithm>
#include <limits>

namespace spurlug::control
{

namespace
{

using membership::clamp32;

constexpr std::uint32_t Never = std::numeric_limits<std::uint32_t>::max(); // Encodes an infinite duration.

std::uint32_t ms32(core::Duration span)
{
    return span == absl::InfiniteDuration() ? Never : clamp32(core::toMs(span));
}

core::Duration spanOf(std::uint32_t ms)
{
    return ms == Never ? absl::InfiniteDuration() : core::fromMs(ms);
}

std::uint32_t micros32(core::Duration span)
{
    return clamp32(absl::ToInt64Microseconds(span));
}

template<typename Values, typename Field>
void writeAll(const Values &values, Field &field)
{
    for (const auto value : values) {
        field.Add(static_cast<std::uint32_t>(value));
    }
}

template<typename Field>
void writeRates(const std::vector<targets::RateNews> &rates, Field &field)
{
    for (const auto &rate : rates) {
        membership::writeRate(rate, *field.Add());
    }
}

template<typename Field>
std::vector<targets::RateNews> readRates(const Field &field)
{
    std::vector<targets::RateNews> rates;
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
    writeAll(report.leaving, *out.mutable_leaving());
    writeRates(report.rates, *out.mutable_rates());
    for (const auto &outcome : report.outcomes) {
        auto &outcomeOut = *out.add_outcomes();
        outcomeOut.set_target(outcome.target);
        outcomeOut.set_fault(outcome.fault ? static_cast<std::uint32_t>(*outcome.fault) + 1 : 0);
        outcomeOut.set_asked_by(outcome.askedBy);
    }
    out.set_wants_word(report.wantsWord);
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
    report.leaving.assign(in.leaving().begin(), in.leaving().end());
    report.rates = readRates(in.rates());
    const auto last = static_cast<std::uint32_t>(relay::TargetFault::Busy);
    for (const auto &outcomeIn : in.outcomes()) {
        TargetOutcome outcome;
        outcome.target = outcomeIn.target();
        outcome.askedBy = outcomeIn.asked_by();
        if (outcomeIn.fault() > 0) {
            outcome.fault = static_cast<relay::TargetFault>(std::min(outcomeIn.fault() - 1, last));
        }
        report.outcomes.push_back(outcome);
    }
    report.wantsWord = in.wants_word();
    return report;
}

void write(const ReportTaken &taken, wire::ControlDatagram &datagram)
{
    datagram.mutable_report_taken()->set_vm(taken.vm);
}

void write(const PlacementAsk &ask, wire::ControlDatagram &datagram)
{
    auto &out = *datagram.mutable_ask();
    out.set_vm(ask.vm);
    out.set_failure_domain(ask.failureDomain);
    out.set_ask(ask.ask);
    out.set_service(ask.service);
    out.set_prompt_tokens(clamp32(ask.prompt.promptTokens));
    out.set_answer_tokens(clamp32(ask.prompt.mostAnswerTokens));
    out.set_aim_ms(ms32(ask.aim));
    out.set_tight(ask.tight);
    out.set_waited_ms(ms32(ask.waited));
    out.set_patience_ms(ms32(ask.patience));
    out.set_priority(clamp32(ask.priority));
    writeAll(ask.notAt, *out.mutable_not_at());
    writeAll(ask.onlyAt, *out.mutable_only_at());
    writeAll(ask.unwanted, *out.mutable_unwanted());
    writeRates(ask.rates, *out.mutable_rates());
    out.set_at_home(ask.atHome);
    out.set_near_helpers(ask.nearHelpers);
}

PlacementAsk read(const wire::PlacementAsk &in)
{
    PlacementAsk ask;
    ask.vm = in.vm();
    ask.failureDomain = in.failure_domain();
    ask.ask = in.ask();
    ask.service = in.service();
    ask.prompt = {in.prompt_tokens(), in.answer_tokens()};
    ask.aim = spanOf(in.aim_ms());
    ask.tight = in.tight();
    ask.waited = spanOf(in.waited_ms());
    ask.patience = spanOf(in.patience_ms());
    ask.priority = static_cast<int>(std::min<std::uint32_t>(in.priority(), std::numeric_limits<int>::max()));
    ask.notAt.assign(in.not_at().begin(), in.not_at().end());
    ask.onlyAt.assign(in.only_at().begin(), in.only_at().end());
    ask.unwanted.assign(in.unwanted().begin(), in.unwanted().end());
    ask.rates = readRates(in.rates());
    ask.atHome = in.at_home();
    ask.nearHelpers = in.near_helpers();
    return ask;
}

void write(const PlacementAnswer &answer, wire::ControlDatagram &datagram)
{
    auto &out = *datagram.mutable_answer();
    out.set_vm(answer.vm);
    out.set_ask(answer.ask);
    out.set_kind(static_cast<std::uint32_t>(answer.kind));
    out.set_grant(answer.grant);
    out.set_target(answer.target);
    writeAll(answer.helpers, *out.mutable_helpers());
    for (const auto tokens : answer.holdingTokens) {
        out.add_holding_tokens(clamp32(tokens));
    }
    out.set_expected_us(micros32(answer.expected));
    out.set_part_us(micros32(answer.partRead));
}

PlacementAnswer read(const wire::PlacementAnswer &in)
{
    PlacementAnswer answer;
    answer.vm = in.vm();
    answer.ask = in.ask();
    const auto last = static_cast<std::uint32_t>(AnswerKind::NotHere);
    answer.kind = static_cast<AnswerKind>(std::min(in.kind(), last));
    answer.grant = in.grant();
    answer.target = in.target();
    answer.helpers.assign(in.helpers().begin(), in.helpers().end());
    answer.holdingTokens.assign(in.holding_tokens().begin(), in.holding_tokens().end());
    answer.expected = absl::Microseconds(in.expected_us());
    answer.partRead = absl::Microseconds(in.part_us());
    return answer;
}

void write(const PlacementCancel &cancel, wire::ControlDatagram &datagram)
{
    datagram.mutable_cancel()->set_vm(cancel.vm);
    datagram.mutable_cancel()->set_ask(cancel.ask);
}

void write(const ProofQuestion &question, wire::ControlDatagram &datagram)
{
    datagram.mutable_question()->set_number(question.number);
}

void write(const ProofAnswer &answer, wire::ControlDatagram &datagram)
{
    auto &out = *datagram.mutable_proof();
    out.set_number(answer.number);
    out.set_vm(answer.vm);
    out.set_version(static_cast<std::uint64_t>(answer.version));
    out.set_proof_ms(ms32(answer.proofAge));
    out.set_contact_ms(ms32(answer.contactAge));
    out.set_targets_era(static_cast<std::uint64_t>(answer.targetsPosition.era));
    out.set_targets_revision(static_cast<std::uint64_t>(answer.targetsPosition.revision));
    out.set_targets_ms(ms32(answer.targetsAge));
    out.set_regained_ms(ms32(answer.regainedAge));
    out.set_evacuations_era(static_cast<std::uint64_t>(answer.evacuations.position.era));
    out.set_evacuations_revision(static_cast<std::uint64_t>(answer.evacuations.position.revision));
    for (const auto &domain : answer.evacuations.domains) {
        out.add_evacuated(domain);
    }
}

ProofAnswer read(const wire::ProofAnswer &in)
{
    ProofAnswer answer;
    answer.number = in.number();
    answer.vm = in.vm();
    answer.version = static_cast<std::int64_t>(in.version());
    answer.proofAge = spanOf(in.proof_ms());
    answer.contactAge = spanOf(in.contact_ms());
    answer.targetsPosition
        = {static_cast<std::int64_t>(in.targets_era()), static_cast<std::int64_t>(in.targets_revision())};
    answer.targetsAge = spanOf(in.targets_ms());
    answer.regainedAge = spanOf(in.regained_ms());
    answer.evacuations.position
        = {static_cast<std::int64_t>(in.evacuations_era()), static_cast<std::int64_t>(in.evacuations_revision())};
    answer.evacuations.domains.insert(in.evacuated().begin(), in.evacuated().end());
    return answer;
}

void write(const CrashNews &news, wire::ControlDatagram &datagram)
{
    auto &out = *datagram.mutable_crashes();
    for (const auto &suspect : news.suspects) {
        auto &suspectOut = *out.add_suspects();
        suspectOut.set_work_high(suspect.work.high);
        suspectOut.set_work_low(suspect.work.low);
        for (const auto &end : suspect.ends) {
            auto &endOut = *suspectOut.add_ends();
            endOut.set_target(end.target);
            endOut.set_age_ms(ms32(end.age));
        }
        suspectOut.set_ran_well_ms(ms32(suspect.ranWellAge));
    }
}

CrashNews read(const wire::CrashNews &in)
{
    CrashNews news;
    for (const auto &suspectIn : in.suspects()) {
        SuspectNews suspect;
        suspect.work = {suspectIn.work_high(), suspectIn.work_low()};
        for (const auto &endIn : suspectIn.ends()) {
            suspect.ends.push_back({endIn.target(), spanOf(endIn.age_ms())});
        }
        suspect.ranWellAge = spanOf(suspectIn.ran_well_ms());
        news.suspects.push_back(std::move(suspect));
    }
    return news;
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
        return ReportTaken{in.report_taken().vm()};
    case Kind::kAsk:
        return read(in.ask());
    case Kind::kAnswer:
        return read(in.answer());
    case Kind::kCancel:
        return PlacementCancel{in.cancel().vm(), in.cancel().ask()};
    case Kind::kQuestion:
        return ProofQuestion{in.question().number()};
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
