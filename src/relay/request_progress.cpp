//----------------------------------------------------------------------------------------------------------------------
// spurlug: state and decisions of one relayed request
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/relay/request_progress.h"

#include "spurlug/control/scheduler_client.h"
#include "spurlug/core/http_status.h"
#include "spurlug/core/log.h"

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
constexpr auto CertainAge = absl::Milliseconds(2500);
/// New requests are refused from then on: they might not end before the process must exit.
constexpr auto RefusedWhileDrainingAfter = absl::Seconds(3);

constexpr int MostUrgent = 0;
constexpr int LeastUrgent = 9;
constexpr std::int64_t LengthRanks = 3; // Engine priorities by prompt length within one operator priority.
constexpr std::int64_t ShortPrompt = 16'000; // Tokens.
constexpr std::int64_t LongPrompt = 70'000; // Tokens.

/// A daemon that places prompts without a scheduler does not know the load from other daemons. It assumes that its load
/// data has this age, so that a request considers a random seventh of the engines and daemons choose different ones.
constexpr auto LoadAgeAlone = absl::Milliseconds(500);

nlohmann::json idsOf(const std::vector<core::Ref<Target>> &targets)
{
    auto ids = nlohmann::json::array();
    for (const auto &target : targets) {
        ids.push_back(target->entry.id);
    }
    return ids;
}

} // namespace

RequestProgress::RequestProgress(RelayContext &context, RequestFacts facts, core::Time arrivedAt)
    : m_context(context)
    , m_facts(std::move(facts))
    , m_arrivedAt(arrivedAt)
{
    ++m_context.inProgress;
}

RequestProgress::~RequestProgress()
{
    --m_context.inProgress;
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
    // A request that was already sent continues: its stream may be resumed at another target until this process ends.
    if (m_attempts == 0 && now - m_context.drainingSince > RefusedWhileDrainingAfter) {
        return refuse(Reason::Stopping, now);
    }
    m_table = m_context.table;
    const auto &proof = m_context.configurationProof;
    const bool isNewest = proof.version() <= m_table->version;
    const bool certain = isNewest && proof.age(m_table->version, now) <= CertainAge;
    m_route = m_table->find(m_facts.host, m_facts.path);
    if (m_route == nullptr) {
        return refuse(certain ? Reason::UnknownPath : Reason::StaleConfiguration, now);
    }
    if (m_deadline == absl::InfiniteFuture()) {
        m_deadline = m_arrivedAt + std::min(m_facts.patience, m_route->timeout);
    }
    m_priority = m_route->priority;
    m_organisation.clear();
    if (m_route->isPublic || !m_table->keysNeeded) {
        noteDigest();
        return refuseQuarantined(now);
    }
    if (!m_context.keysAreFresh(now)) {
        return refuse(Reason::StaleConfiguration, now);
    }
    const auto *organisation = m_facts.key ? m_table->organisation(*m_facts.key) : nullptr;
    if (organisation == nullptr) {
        const auto unknown = m_facts.key ? Reason::UnknownKey : Reason::MissingKey;
        return refuse(certain ? unknown : Reason::StaleConfiguration, now);
    }
    m_organisation = organisation->name;
    if (organisation->priority >= 0) {
        m_priority = organisation->priority;
    }
    noteDigest();
    return refuseQuarantined(now);
}

void RequestProgress::noteDigest()
{
    const auto content = core::hexText(m_facts.content);
    m_digest = core::digestOf({m_organisation, m_facts.host, content});
}

const std::string &RequestProgress::chooseService()
{
    const auto &shares = m_route->services;
    const bool stays = std::any_of(shares.begin(), shares.end(), [this](const auto &share) {
        return share.service == m_service && share.weight > 0;
    });
    if (stays) {
        return m_service;
    }
    double total = 0;
    for (const auto &share : shares) {
        total += share.weight;
    }
    auto drawn = std::uniform_real_distribution<double>(0, std::max(total, 1e-9))(m_context.random);
    m_service = shares.front().service;
    for (const auto &share : shares) {
        if (drawn < share.weight) {
            m_service = share.service;
            break;
        }
        drawn -= share.weight;
    }
    m_counted = false;
    return m_service;
}

bool RequestProgress::isTight() const noexcept
{
    return m_route->gapAim < m_context.settings.placement.tightGap;
}

PromptRequest RequestProgress::promptRequest(core::Time now) const
{
    PromptRequest request;
    request.prompt = *m_facts.prompt;
    request.aim = m_route->aim;
    request.tight = isTight();
    request.waited = now - m_arrivedAt;
    request.mayQueue = mayQueueAfter(request.waited, m_route->aim);
    request.patience = std::min(callerPatience(), m_deadline - m_arrivedAt);
    if (const auto found = m_context.pauses.find(m_service); found != m_context.pauses.end()) {
        request.pauses = found->second;
    }
    request.loadAge = LoadAgeAlone;
    return request;
}

TargetQuery RequestProgress::query(core::Time now)
{
    TargetQuery query;
    query.service = chooseService();
    if (!m_counted) {
        m_context.retries.request(query.service, now);
        m_counted = true;
    }
    const auto *spec = m_table->service(query.service);
    if (spec != nullptr && spec->engine && m_facts.prompt) {
        query.prompt = promptRequest(now);
    }
    query.unwanted = m_context.targets.unwantedHere(now);
    query.nearHelpers = m_someHelpRefused;
    query.notAt = m_unreachable;
    const bool mayReturn = m_sentTo.size() >= static_cast<std::size_t>(m_route->mostTargets);
    if (mayReturn) {
        query.onlyAt = m_refusedBy;
    } else {
        query.notAt.insert(query.notAt.end(), m_sentTo.begin(), m_sentTo.end());
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

void RequestProgress::begin(const ChosenTargets &chosen, std::string_view scheduler, core::Time now)
{
    m_current = chosen;
    m_helperAtFault = false;
    m_sentAt = now;
    ++m_attempts;
    const auto expected = now + chosen.expected;
    const auto works = workOf(chosen, m_facts.prompt.value_or(PromptFacts{}));
    for (std::size_t i = 0; i < works.size(); ++i) {
        const bool answers = i + 1 == works.size();
        const auto kind = answers ? Share::Kind::Request : Share::Kind::Part;
        const auto &[target, work] = works[i];
        m_shares.push_back(
            std::make_unique<Share>(target, kind, work, now, expected, answers && isTight(), works.size()));
    }
    if (scheduler.empty()) {
        noteWork();
    }
    m_context.metrics.count(metrics::Counter::AttemptsStarted);
    core::log(core::LogLevel::Info, "request_sent",
              {{"request", m_facts.id},
               {"digest", core::hexText(m_digest)},
               {"attempt", m_attempts},
               {"repeatCause", m_repeatCause == Reason::None ? "" : core::nameOf(m_repeatCause)},
               {"route", m_route->name},
               {"service", m_service},
               {"configuration", m_table->version},
               {"proofAgeMs", core::toMs(m_context.configurationProof.age(m_table->version, now))},
               {"target", chosen.target->entry.id},
               {"helpers", idsOf(chosen.helpers)},
               {"promptTokens", m_facts.prompt ? m_facts.prompt->promptTokens : 0},
               {"expectedMs", core::toMs(chosen.expected)},
               {"waitedMs", core::toMs(now - m_arrivedAt)},
               {"readMs", core::toMs(chosen.partRead) * static_cast<std::int64_t>(chosen.helpers.size() + 1)},
               {"scheduler", scheduler},
               {"timeLeftMs", core::toMs(m_deadline - now)}});
}

void RequestProgress::noteWork()
{
    if (m_context.scheduling != nullptr) {
        m_context.scheduling->workChanged();
    }
}

void RequestProgress::heard(core::Time now) noexcept
{
    m_current.target->heardAt = now;
}

void RequestProgress::answered(core::Time now)
{
    for (const auto &share : m_shares) {
        share->promptRead();
    }
    if (m_answeredAt != absl::InfinitePast()) {
        m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
        m_lastEventAt = now;
        return;
    }
    m_answeredAt = now;
    m_lastEventAt = now;
    noteReached();
    noteWork();
    if (m_facts.prompt) {
        m_context.metrics.time(metrics::firstTokenTimer(m_facts.prompt->promptTokens), now - m_arrivedAt);
    }
}

void RequestProgress::endAttempt(Outcome outcome, Reason reason, std::optional<TargetFault> fault,
                                 const std::string &detail, core::Time now)
{
    m_shares.clear();
    noteWork();
    m_atTargets += now - m_sentAt;
    const auto hash = m_current.target->hash;
    if (reason != Reason::ConnectFailed && !contains(m_sentTo, hash)) {
        m_sentTo.push_back(hash);
    }
    if (reason == Reason::ConnectFailed) {
        m_unreachable.push_back(hash);
    } else if (outcome == Outcome::NotRun) {
        m_refusedBy.push_back(hash);
    } else {
        std::erase(m_refusedBy, hash);
    }
    if (fault == TargetFault::Busy && !m_helperAtFault) {
        m_current.target->fullPause.refused(now);
    }
    m_ranSomewhere = m_ranSomewhere || outcome != Outcome::NotRun;
    const bool isBusy = fault == TargetFault::Busy && m_helperAtFault;
    if (m_context.scheduling != nullptr && (fault || outcome == Outcome::Completed) && !isBusy) {
        m_context.scheduling->outcome({hash, fault});
    }
    if (fault == TargetFault::Unreachable) {
        m_context.links.failed(m_context.settings.failureDomain, m_current.target->entry.failureDomain, hash, now);
    }
    auto &health = m_current.target->health;
    if (fault) {
        health.failed(*fault, m_context.ejection, now);
    } else if (outcome == Outcome::Completed) {
        health.succeeded(now);
    }
    if (outcome == Outcome::Completed) {
        noteSurvived(now);
    }
    if (outcome == Outcome::Completed && !fault) {
        return;
    }
    core::log(core::LogLevel::Info, "attempt_failed",
              {{"request", m_facts.id},
               {"digest", core::hexText(m_digest)},
               {"attempt", m_attempts},
               {"target", m_current.target->entry.id},
               {"outcome", core::nameOf(outcome)},
               {"reason", core::nameOf(reason)},
               {"fault", fault ? core::nameOf(*fault) : "none"},
               {"detail", detail},
               {"afterMs", core::toMs(now - m_sentAt)},
               {"targetLeftOut", health.ejected(now)}});
}

void RequestProgress::withhold(Reason reason, core::Time now)
{
    m_shares.clear();
    noteWork();
    m_atTargets += now - m_sentAt;
    core::log(core::LogLevel::Info, "attempt_withheld",
              {{"request", m_facts.id},
               {"attempt", m_attempts},
               {"target", m_current.target->entry.id},
               {"reason", core::nameOf(reason)},
               {"afterMs", core::toMs(now - m_sentAt)}});
}

const core::Ref<Target> &RequestProgress::target() const noexcept
{
    return m_current.target;
}

core::Time RequestProgress::sentAt() const noexcept
{
    return m_sentAt;
}

bool RequestProgress::needs(const Target &target) const noexcept
{
    if (m_current.target == &target) {
        return true;
    }
    const auto &helpers = m_current.helpers;
    const auto holders = helpers.begin() + static_cast<std::ptrdiff_t>(m_current.holdingTokens.size());
    if (std::find(helpers.begin(), holders, &target) != holders) {
        return true;
    }
    return std::any_of(m_shares.begin(), m_shares.end(), [&target](const auto &share) {
        return share->target() == &target && share->readingDueAt() != absl::InfinitePast();
    });
}

bool RequestProgress::atEngine() const
{
    const auto *spec = m_table ? m_table->service(m_service) : nullptr;
    return spec != nullptr && spec->engine && m_facts.prompt;
}

RequestProgress::Places RequestProgress::placesOf(const std::string &service, core::Time now) const
{
    Places places;
    for (const auto &target : m_context.targets.listed(service, now)) {
        places.taken += std::min<std::int64_t>(target->load(now).requests, target->entry.slots);
        places.all += target->entry.slots;
    }
    return places;
}

void RequestProgress::finish(Outcome outcome, Reason reason, int status, core::Time now)
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_shares.clear();
    m_context.metrics.countEnd(outcome, reason);
    const bool full = reason == Reason::NoCapacity;
    const auto places = full ? placesOf(m_service, now) : Places{};
    const bool hasPauseAim = m_route != nullptr && m_route->gapAim != absl::InfiniteDuration();
    core::log(core::LogLevel::Info, "request_ended",
              {{"request", m_facts.id},
               {"digest", core::hexText(m_digest)},
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
               {"aimMs", m_route != nullptr ? core::toMs(m_route->aim) : 0},
               {"gapAimMs", hasPauseAim ? core::toMs(m_route->gapAim) : 0},
               {"placesTaken", places.taken},
               {"places", places.all},
               {"totalMs", core::toMs(now - m_arrivedAt)}});
}

const RequestFacts &RequestProgress::facts() const noexcept
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

bool RequestProgress::ranSomewhere() const noexcept
{
    return m_ranSomewhere;
}

int RequestProgress::enginePriority() const noexcept
{
    // Among requests of one operator priority, engines admit short prompts first: they occupy a slot for less time.
    const auto tokens = m_facts.prompt->promptTokens;
    const auto length = tokens < ShortPrompt ? 0 : tokens < LongPrompt ? 1 : 2;
    return static_cast<int>(std::clamp<std::int64_t>(m_priority * LengthRanks + length, MostUrgent, LeastUrgent));
}

Refusal RequestProgress::lastWord(Reason reason, core::Time now) const
{
    Refusal refusal;
    refusal.status = finalStatus(m_ranSomewhere, reason);
    refusal.reason = reason;
    if (!m_ranSomewhere) {
        refusal.retryAfter = retryAfter(reason, now);
    }
    return refusal;
}

} // namespace spurlug::relay
