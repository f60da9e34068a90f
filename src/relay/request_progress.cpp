//----------------------------------------------------------------------------------------------------------------------
// spurlug: state and decisions of one relayed request
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/request_progress.h"

#include "spurlug/control/scheduler_client.h"
#include "spurlug/core/http_status.h"
#include "spurlug/core/log.h"
#include "spurlug/core/text.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace spurlug::relay
{

namespace
{

using core::Outcome;
using core::Reason;

/// Up to this age of the configuration, an unknown route or key is treated as nonexistent: a change takes effect
/// within this time at every daemon that learns of it.
constexpr auto MaxCertainAge = absl::Milliseconds(2500);

constexpr int HighestEnginePriority = 0;
constexpr int LowestEnginePriority = 9;
constexpr std::int64_t PromptLengthClasses = 3; // Engine priorities by prompt length within one operator priority.
constexpr std::int64_t ShortPromptTokens = 16'000; // Tokens.
constexpr std::int64_t LongPromptTokens = 70'000; // Tokens.

/// A daemon that places prompts without a scheduler does not know the load from other daemons. It assumes that its load
/// data has this age, so that a request considers a random seventh of the engines and daemons choose different ones.
constexpr auto UnscheduledLoadAge = absl::Milliseconds(500);

nlohmann::json targetIds(const std::vector<core::Ref<Target>> &targets)
{
    auto ids = nlohmann::json::array();
    for (const auto &target : targets) {
        ids.push_back(target->entry.id);
    }
    return ids;
}

/// Crash evidence is kept for so many parts of a prompt, the first ones: their number is the caller's choice.
constexpr std::size_t MaxSharedParts = 128;

std::vector<core::Digest> sharedPartsOf(const std::vector<std::string> &promptParts)
{
    std::vector<core::Digest> digests;
    for (std::size_t i = 0; i + 1 < promptParts.size() && i < MaxSharedParts; ++i) {
        digests.push_back(promptPartDigest(promptParts[i]));
    }
    std::sort(digests.begin(), digests.end());
    digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
    return digests;
}

overload::Kind kindOf(const PromptRequest &prompt) noexcept
{
    return prompt.shortGaps ? overload::Kind::ShortGaps : overload::Kind::LongGaps;
}

} // namespace

RequestProgress::RequestProgress(RelayContext &context, RequestInfo facts, core::Time arrivedAt)
    : m_context(context)
    , m_facts(std::move(facts))
    , m_arrivedAt(arrivedAt)
    , m_sharedParts(sharedPartsOf(m_facts.promptParts))
{
    m_registration.id = m_facts.id;
    m_registration.arrivedAt = arrivedAt;
    m_context.activeRequests.push_back(m_registration);
    ++m_context.requestsInProgress;
}

RequestProgress::~RequestProgress()
{
    --m_context.requestsInProgress;
}

Refusal RequestProgress::refuse(Reason reason, core::Time now) const
{
    return {core::http_status::statusOf(reason), reason, retryAfter(reason, now)};
}

std::optional<Refusal> RequestProgress::authorise(core::Time now)
{
    if (!m_context.table) {
        return refuse(Reason::NotReady, now);
    }
    if (m_context.shutdown.refusesArrival(m_arrivedAt)) {
        return refuse(Reason::Stopping, now);
    }
    m_table = m_context.table;
    const auto &freshness = m_context.configurationFreshness;
    const bool isNewest = freshness.newestVersion() <= m_table->version;
    const bool certain = isNewest && freshness.age(m_table->version, now) <= MaxCertainAge;
    m_route = m_table->find(m_facts.host, m_facts.path);
    if (m_route == nullptr) {
        return refuse(certain ? Reason::UnknownPath : Reason::StaleConfiguration, now);
    }
    if (m_deadline == absl::InfiniteFuture()) {
        m_deadline = m_arrivedAt + std::min(m_facts.requestTimeout, m_route->timeout);
    }
    m_priority = m_route->priority;
    m_organisation.clear();
    if (m_route->isPublic || !m_table->keysRequired) {
        computeDigest();
        return refuseQuarantined(now);
    }
    if (!m_context.canCheckKeys(now)) {
        return refuse(Reason::StaleConfiguration, now);
    }
    const auto *organisation = m_facts.key ? m_table->organisationForKey(*m_facts.key) : nullptr;
    if (organisation == nullptr) {
        const auto unknown = m_facts.key ? Reason::UnknownKey : Reason::MissingKey;
        return refuse(certain ? unknown : Reason::StaleConfiguration, now);
    }
    m_organisation = organisation->name;
    if (organisation->priority >= 0) {
        m_priority = organisation->priority;
    }
    computeDigest();
    return refuseQuarantined(now);
}

void RequestProgress::computeDigest()
{
    const auto content = core::toHex(m_facts.contentDigest);
    m_digest = core::digestOf({m_organisation, m_facts.host, content});
}

std::string RequestProgress::partsForLog() const
{
    constexpr std::size_t MaxLoggedParts = 8;
    std::string parts;
    for (std::size_t i = 0; i + 1 < m_facts.promptParts.size() && i < MaxLoggedParts; ++i) {
        core::append(parts, parts.empty() ? "" : ",", m_facts.promptParts[i]);
    }
    return parts;
}

const std::string &RequestProgress::chooseService()
{
    const auto &shares = m_route->services;
    const bool keepsService = std::any_of(shares.begin(), shares.end(), [this](const auto &share) {
        return share.service == m_service && share.weight > 0;
    });
    if (keepsService) {
        return m_service;
    }
    double total = 0;
    for (const auto &share : shares) {
        total += share.weight;
    }
    auto randomWeight = std::uniform_real_distribution<double>(0, std::max(total, 1e-9))(m_context.random);
    m_service = shares.front().service;
    for (const auto &share : shares) {
        if (randomWeight < share.weight) {
            m_service = share.service;
            break;
        }
        randomWeight -= share.weight;
    }
    m_countedInBudget = false;
    return m_service;
}

bool RequestProgress::needsShortGaps() const noexcept
{
    return m_route->gapObjective < m_context.settings.placement.tightGap;
}

bool RequestProgress::toleratesLongestGap() const
{
    const auto found = m_context.pauses.find(m_service);
    if (!m_context.features().admission || needsShortGaps() || found == m_context.pauses.end()) {
        return false;
    }
    const auto &longestGap = found->second.longestGap;
    return longestGap > absl::ZeroDuration() && m_route->gapObjective >= longestGap; // It may be infinite.
}

PromptRequest RequestProgress::promptRequest(core::Time now) const
{
    PromptRequest request;
    request.prompt = *m_facts.prompt;
    request.ttftObjective = m_route->latencyObjective;
    request.shortGaps = needsShortGaps();
    request.longGap = toleratesLongestGap();
    request.gapsByEngine = m_context.features().admission;
    request.waited = now - m_arrivedAt;
    request.mayQueue = mayQueueAtEngine(request.waited, m_route->latencyObjective);
    request.callerTimeout = std::min(callerTimeout(), m_deadline - m_arrivedAt);
    if (const auto found = m_context.pauses.find(m_service); found != m_context.pauses.end()) {
        request.toleratedGaps = found->second;
    }
    request.loadAge = UnscheduledLoadAge;
    return request;
}

TargetQuery RequestProgress::query(core::Time now)
{
    TargetQuery query;
    query.service = chooseService();
    if (!m_countedInBudget) {
        m_context.retries.noteRequest(query.service, now);
        m_countedInBudget = true;
    }
    const auto *spec = m_table->serviceNamed(query.service);
    if (spec != nullptr && spec->engine && m_facts.prompt) {
        query.prompt = promptRequest(now);
    }
    query.avoidedTargets = m_context.targets.avoidedTargets(now);
    query.localHelpersOnly = m_anyHelpFailed;
    query.organisation = m_organisation.empty() ? 0 : static_cast<std::uint32_t>(core::fastHash(m_organisation));
    query.digest = m_digest.high;
    query.timeLeft = m_deadline - now;
    query.mayHaveRun = m_mayHaveRun;
    query.excludedTargets = m_unreachableTargets;
    if (m_isTrial && m_attempts == 0) {
        query.allowedTargets = trialTargets(query.service, now);
    }
    const bool targetLimitReached = m_sentTo.size() >= static_cast<std::size_t>(m_route->maxTargets);
    if (targetLimitReached) {
        query.allowedTargets = m_refusingTargets;
    } else {
        query.excludedTargets.insert(query.excludedTargets.end(), m_sentTo.begin(), m_sentTo.end());
    }
    return query;
}

std::optional<ChosenTargets> RequestProgress::choose(core::Time now)
{
    if (!evacuationsKnown(m_context)) {
        return std::nullopt; // The target might be in an evacuated failure domain.
    }
    return chooseTargets(m_context, query(now), now);
}

bool RequestProgress::isLimitedAlone(const TargetQuery &query) const noexcept
{
    return m_context.features().admission && query.prompt && !m_mayHaveRun;
}

double RequestProgress::admissionCost(const TargetQuery &query) const
{
    const auto *spec = m_table->serviceNamed(query.service);
    const bool countsRequests = query.prompt->shortGaps || spec == nullptr || !spec->engine;
    return countsRequests ? 1 : prefillPartMs(*spec->engine, query.prompt->prompt.promptTokens, 1);
}

bool RequestProgress::mayDecideAlone(const TargetQuery &query, core::Time now)
{
    return !isLimitedAlone(query)
        || m_context.localAdmission.mayAdmit(kindOf(*query.prompt), admissionCost(query),
                                             m_context.loadViews.newest(now), now);
}

void RequestProgress::noteDecidedAlone(const TargetQuery &query, core::Time now)
{
    if (isLimitedAlone(query)) {
        m_context.localAdmission.noteAdmitted(kindOf(*query.prompt), admissionCost(query),
                                              m_context.loadViews.newest(now));
    }
}

void RequestProgress::beginAttempt(const ChosenTargets &chosen, std::string_view scheduler, core::Time now)
{
    m_chosen = chosen;
    m_peer.clear();
    m_helperCausedFailure = false;
    m_sentAt = now;
    m_gaps = {};
    m_partsSound = false;
    m_attemptAnsweredAt = absl::InfinitePast();
    ++m_attempts;
    const auto dueAt = now + chosen.publishedTtft();
    auto works = addedWork(chosen, m_facts.prompt.value_or(PromptInfo{}));
    works.back().second.longGapRequests = toleratesLongestGap() ? 1 : 0;
    for (std::size_t i = 0; i < works.size(); ++i) {
        const bool answers = i + 1 == works.size();
        const auto kind = answers ? LocalWork::Kind::Request : LocalWork::Kind::PrefillPart;
        const auto &[target, work] = works[i];
        m_localWork.push_back(
            std::make_unique<LocalWork>(target, kind, work, now, dueAt, answers && needsShortGaps(), works.size()));
    }
    if (scheduler.empty()) {
        reportLoadChange();
    }
    m_context.metrics.count(metrics::Counter::AttemptsStarted);
    core::log(core::LogLevel::Info, "request_sent",
              {{"request", m_facts.id},
               {"digest", core::toHex(m_digest)},
               {"attempt", m_attempts},
               {"repeatCause", m_retryCause == Reason::None ? "" : core::nameOf(m_retryCause)},
               {"route", m_route->name},
               {"service", m_service},
               {"configuration", m_table->version},
               {"proofAgeMs", core::toMs(m_context.configurationFreshness.age(m_table->version, now))},
               {"target", chosen.target->entry.id},
               {"helpers", targetIds(chosen.helpers)},
               {"promptTokens", m_facts.prompt ? m_facts.prompt->promptTokens : 0},
               {"parts", partsForLog()},
               {"expectedMs", core::toMs(chosen.expectedTtft)},
               {"waitedMs", core::toMs(now - m_arrivedAt)},
               {"readMs", core::toMs(chosen.partPrefillTime) * static_cast<std::int64_t>(chosen.helpers.size() + 1)},
               {"scheduler", scheduler},
               {"timeLeftMs", core::toMs(m_deadline - now)}});
}

void RequestProgress::reportLoadChange()
{
    if (m_context.schedulerClient != nullptr) {
        m_context.schedulerClient->noteWorkChanged();
    }
}

void RequestProgress::recordTunnel(const std::string &peer)
{
    m_peer = peer;
    core::log(
        core::LogLevel::Info, "attempt_tunnelled",
        {{"request", m_facts.id}, {"attempt", m_attempts}, {"target", m_chosen.target->entry.id}, {"peer", peer}});
}

void RequestProgress::setStage(RequestStage stage) noexcept
{
    m_registration.stage = stage;
}

void RequestProgress::recordActivity(core::Time now) noexcept
{
    m_chosen.target->lastResponseAt = now;
}

void RequestProgress::recordAnswer(core::Time now)
{
    for (const auto &work : m_localWork) {
        work->notePrefillDone();
    }
    if (m_attemptAnsweredAt == absl::InfinitePast()) {
        m_attemptAnsweredAt = now;
        if (m_context.features().admission && m_chosen.expectedTtft > absl::ZeroDuration()) {
            m_context.metrics.addSample(metrics::Timer::PredictionError,
                                        absl::AbsDuration(now - m_sentAt - m_chosen.expectedTtft));
        }
        recordFirstEvent(now);
    } else {
        m_gaps.add(now - m_lastEventAt, m_chosen.published.pass);
        if (hasAnsweredForLong(now)) {
            recordPartsSound(now);
        }
    }
    if (m_answeredAt != absl::InfinitePast()) {
        m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
        m_lastEventAt = now;
        return;
    }
    m_answeredAt = now;
    m_lastEventAt = now;
    recordReachability();
    reportLoadChange();
    if (m_facts.prompt) {
        m_context.metrics.addSample(metrics::firstTokenTimer(m_facts.prompt->promptTokens), now - m_arrivedAt);
    }
}

void RequestProgress::recordFirstEvent(core::Time now)
{
    if (!m_context.features().targetFeedback || !usesEngine()) {
        return;
    }
    m_chosen.target->health.noteFirstEvent(now);
    if (m_context.schedulerClient != nullptr) {
        m_context.schedulerClient->queueOutcome(
            {.target = m_chosen.target->hash, .fault = std::nullopt, .firstEventOnly = true});
        reportLoadChange();
    }
}

void RequestProgress::endAttempt(Outcome outcome, Reason reason, std::optional<TargetFault> fault,
                                 const std::string &detail, core::Time now)
{
    m_localWork.clear();
    reportLoadChange();
    m_attemptTime += now - m_sentAt;
    const auto hash = m_chosen.target->hash;
    if (reason != Reason::ConnectFailed && !contains(m_sentTo, hash)) {
        m_sentTo.push_back(hash);
    }
    if (reason == Reason::ConnectFailed) {
        m_unreachableTargets.push_back(hash);
    } else if (outcome == Outcome::NotRun) {
        m_refusingTargets.push_back(hash);
    } else {
        std::erase(m_refusingTargets, hash);
    }
    if (fault == TargetFault::Busy && !m_helperCausedFailure) {
        m_chosen.target->refusalBackoff.noteRefusal(now);
    }
    m_mayHaveRun = m_mayHaveRun || outcome != Outcome::NotRun;
    const auto samples = outcome == Outcome::Completed && !fault ? speedSamples(now) : SpeedSamples{};
    applySpeedSamples(m_context, *m_chosen.target, samples, now);
    const bool helperBusy = fault == TargetFault::Busy && m_helperCausedFailure;
    if (m_context.schedulerClient != nullptr && (fault || outcome == Outcome::Completed) && !helperBusy) {
        m_context.schedulerClient->queueOutcome({hash, fault, 0, samples.first, samples.gap});
    }
    if (fault == TargetFault::Unreachable) {
        m_context.links.noteFailure(m_context.settings.failureDomain, m_chosen.target->entry.failureDomain, hash, now);
    }
    auto &health = m_chosen.target->health;
    if (fault) {
        if (health.noteFailure(*fault, m_context.ejection, now)) {
            m_context.metrics.count(metrics::Counter::EjectionsSpared);
        }
    } else if (outcome == Outcome::Completed) {
        health.noteSuccess(now);
    }
    if (outcome == Outcome::Completed) {
        recordSuccess(now);
    }
    if (outcome == Outcome::Completed && !fault) {
        return;
    }
    core::log(core::LogLevel::Info, "attempt_failed",
              {{"request", m_facts.id},
               {"digest", core::toHex(m_digest)},
               {"attempt", m_attempts},
               {"target", m_chosen.target->entry.id},
               {"outcome", core::nameOf(outcome)},
               {"reason", core::nameOf(reason)},
               {"fault", fault ? core::nameOf(*fault) : "none"},
               {"detail", detail},
               {"peer", m_peer},
               {"afterMs", core::toMs(now - m_sentAt)},
               {"answerBytes", m_context.memory.answers.used()},
               {"targetLeftOut", health.isEjected(now)}});
}

SpeedSamples RequestProgress::speedSamples(core::Time now)
{
    if (!m_context.features().targetFeedback || !m_peer.empty()) {
        return {}; // The times of a tunnelled attempt contain those of the peer.
    }
    if (!usesEngine()) {
        return {std::nullopt, m_context.answerTimes[m_service].add(now - m_sentAt)};
    }
    SpeedSamples samples;
    samples.gap = m_gaps.ratio(m_chosen.published.pass);
    if (m_chosen.helpers.empty()) { // Otherwise a helper may be the slow one.
        samples.first = firstEventRatio(m_attemptAnsweredAt - m_sentAt, m_chosen.published);
    }
    return samples;
}

void RequestProgress::cancelAttempt(Reason reason, core::Time now)
{
    m_localWork.clear();
    reportLoadChange();
    m_attemptTime += now - m_sentAt;
    core::log(core::LogLevel::Info, "attempt_withheld",
              {{"request", m_facts.id},
               {"attempt", m_attempts},
               {"target", m_chosen.target->entry.id},
               {"reason", core::nameOf(reason)},
               {"afterMs", core::toMs(now - m_sentAt)}});
}

const core::Ref<Target> &RequestProgress::target() const noexcept
{
    return m_chosen.target;
}

core::Time RequestProgress::sentAt() const noexcept
{
    return m_sentAt;
}

bool RequestProgress::dependsOn(const Target &target) const noexcept
{
    if (m_chosen.target == &target) {
        return true;
    }
    const auto &helpers = m_chosen.helpers;
    const auto holders = helpers.begin() + static_cast<std::ptrdiff_t>(m_chosen.reservedTokens.size());
    if (std::find(helpers.begin(), holders, &target) != holders) {
        return true;
    }
    return std::any_of(m_localWork.begin(), m_localWork.end(), [&target](const auto &work) {
        return work->target() == &target && work->prefillDueAt() != absl::InfinitePast();
    });
}

bool RequestProgress::usesEngine() const
{
    const auto *spec = m_table ? m_table->serviceNamed(m_service) : nullptr;
    return spec != nullptr && spec->engine && m_facts.prompt;
}

RequestProgress::SlotUsage RequestProgress::slotUsage(const std::string &service, core::Time now) const
{
    SlotUsage usage;
    for (const auto &target : m_context.targets.availableTargets(service, now)) {
        usage.used += std::min<std::int64_t>(target->load(now).requests, target->entry.slots);
        usage.total += target->entry.slots;
    }
    return usage;
}

void RequestProgress::finish(Outcome outcome, Reason reason, int status, core::Time now)
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_localWork.clear();
    m_context.metrics.countEnd(outcome, reason);
    const bool full = reason == Reason::NoCapacity;
    const auto slots = full ? slotUsage(m_service, now) : SlotUsage{};
    const bool hasGapAim = m_route != nullptr && m_route->gapObjective != absl::InfiniteDuration();
    core::log(core::LogLevel::Info, "request_ended",
              {{"request", m_facts.id},
               {"digest", core::toHex(m_digest)},
               {"route", m_route != nullptr ? m_route->name : ""},
               {"service", m_service},
               {"organisation", m_organisation},
               {"configuration", m_table ? m_table->version : 0},
               {"outcome", core::nameOf(outcome)},
               {"reason", core::nameOf(reason)},
               {"status", status},
               {"attempts", m_attempts},
               {"firstMs", m_answeredAt == absl::InfinitePast() ? -1 : core::toMs(m_answeredAt - m_arrivedAt)},
               {"longestGapMs", core::toMs(m_longestGap)},
               {"aimMs", m_route != nullptr ? core::toMs(m_route->latencyObjective) : 0},
               {"gapAimMs", hasGapAim ? core::toMs(m_route->gapObjective) : 0},
               {"placesTaken", slots.used},
               {"places", slots.total},
               {"totalMs", core::toMs(now - m_arrivedAt)}});
}

const RequestInfo &RequestProgress::facts() const noexcept
{
    return m_facts;
}

const core::Digest &RequestProgress::digest() const noexcept
{
    return m_digest;
}

const config::Route &RequestProgress::route() const noexcept
{
    return *m_route;
}

const std::string &RequestProgress::organisation() const noexcept
{
    return m_organisation;
}

int RequestProgress::priority() const noexcept
{
    return static_cast<int>(m_priority);
}

core::Time RequestProgress::deadline() const noexcept
{
    return m_deadline;
}

int RequestProgress::attempts() const noexcept
{
    return m_attempts;
}

bool RequestProgress::mayHaveRun() const noexcept
{
    return m_mayHaveRun;
}

int RequestProgress::enginePriority() const noexcept
{
    // Among requests of one operator priority, engines admit short prompts first: they occupy a slot for less time.
    const auto tokens = m_facts.prompt->promptTokens;
    const auto lengthClass = tokens < ShortPromptTokens ? 0 : tokens < LongPromptTokens ? 1 : 2;
    return static_cast<int>(std::clamp<std::int64_t>(m_priority * PromptLengthClasses + lengthClass,
                                                     HighestEnginePriority, LowestEnginePriority));
}

Refusal RequestProgress::finalRefusal(Reason reason, core::Time now) const
{
    Refusal refusal;
    refusal.status = finalStatus(m_mayHaveRun, reason);
    refusal.reason = reason;
    if (!m_mayHaveRun) {
        refusal.retryAfter = retryAfter(reason, now);
    }
    return refusal;
}

} // namespace spurlug::relay
