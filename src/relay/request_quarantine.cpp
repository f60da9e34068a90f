//----------------------------------------------------------------------------------------------------------------------
// spurlug: quarantine of requests whose content or prompt parts crash targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/control/crash_exchange.h"
#include "spurlug/core/http_status.h"
#include "spurlug/core/log.h"
#include "spurlug/relay/quarantine_report.h"
#include "spurlug/relay/request_progress.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace spurlug::relay
{

namespace
{

/// An engine that a part crashes does so as it begins to answer. One that goes on for this long is not affected.
constexpr auto PartProofTime = absl::Seconds(1);

/// Only few trials are allowed in the whole fleet, so one daemon makes them: the first holder of the scheduler role. If
/// two daemons briefly disagree about who that is, one more target may crash.
bool sendsTrials(const RelayContext &context)
{
    const auto holders = context.roster.holders(control::Role::Scheduler, 1);
    return !holders.empty() && holders.front().vm == context.settings.vm;
}

} // namespace

std::vector<core::Digest> RequestProgress::suspects() const
{
    if (m_isTrial) {
        return {};
    }
    auto digests = m_sharedParts;
    digests.push_back(m_digest);
    return digests;
}

bool RequestProgress::isQuarantined() const
{
    const auto &crashes = m_context.crashes;
    return crashes.isQuarantined(m_digest)
        || std::any_of(m_sharedParts.begin(), m_sharedParts.end(),
                       [&crashes](const core::Digest &part) { return crashes.isQuarantined(part); });
}

bool RequestProgress::tryStartTrials(core::Time now)
{
    auto &crashes = m_context.crashes;
    auto quarantined = suspects();
    std::erase_if(quarantined, [&](const core::Digest &digest) { return !crashes.isQuarantined(digest); });
    const bool allDue = std::all_of(quarantined.begin(), quarantined.end(),
                                    [&](const core::Digest &digest) { return crashes.isTrialDue(digest, now); });
    if (!allDue) {
        return false;
    }
    for (const auto &digest : quarantined) {
        const bool started = crashes.tryStartTrial(digest, now);
        static_cast<void>(started); // It is due.
    }
    return true;
}

bool RequestProgress::tryStartComparison(core::Time now)
{
    const auto uniform = std::uniform_real_distribution<double>(0, 1)(m_context.random);
    return m_context.crashes.tryStartComparison(suspects(), uniform, sendsTrials(m_context), now);
}

std::vector<std::uint32_t> RequestProgress::trialTargets(const std::string &service, core::Time now)
{
    const auto available = m_context.targets.availableTargets(service, now);
    const bool isDrawn = std::any_of(available.begin(), available.end(),
                                     [this](const auto &target) { return target->hash == m_trialTarget; });
    if (!isDrawn && !available.empty()) {
        const auto index = std::uniform_int_distribution<std::size_t>(0, available.size() - 1)(m_context.random);
        m_trialTarget = available[index]->hash;
    }
    return {m_trialTarget};
}

std::optional<Refusal> RequestProgress::refuseQuarantined(core::Time now)
{
    if (!isWithheld()) {
        return std::nullopt;
    }
    m_isTrial = m_attempts == 0 && (tryStartComparison(now) || (sendsTrials(m_context) && tryStartTrials(now)));
    if (!m_isTrial) {
        return refuse(core::Reason::CrashesTargets, now);
    }
    m_context.metrics.count(metrics::Counter::QuarantineTrials);
    core::log(core::LogLevel::Warning, "quarantine_trial",
              {{"request", m_facts.id},
               {"digest", core::toHex(m_digest)},
               {"parts", partsForLog()},
               {"ends", m_context.crashes.crashCount(m_digest)}});
    return std::nullopt;
}

void RequestProgress::recordTargetCrash(const core::Ref<Target> &target, core::Time now)
{
    auto &crashes = m_context.crashes;
    const bool counts = crashes.noteCrash(m_digest, target->hash, now);
    const bool answering = m_attemptAnsweredAt != absl::InfinitePast();
    const bool partsAreSuspect = usesEngine() && !hasAnsweredForLong(now);
    if (partsAreSuspect) {
        for (const auto &part : m_sharedParts) {
            crashes.noteCrash(part, target->hash, now, SuspectKind::PromptPart);
        }
    }
    m_context.metrics.count(metrics::Counter::TargetCrashesUnderWork);
    core::log(core::LogLevel::Info, "target_ended_under_work",
              {{"request", m_facts.id},
               {"digest", core::toHex(m_digest)},
               {"target", target->entry.id},
               {"parts", partsForLog()},
               {"afterMs", core::toMs(now - m_sentAt)},
               {"firstEventMs", answering ? core::toMs(now - m_attemptAnsweredAt) : -1},
               {"counts", counts},
               {"partsCount", partsAreSuspect},
               {"ends", crashes.crashCount(m_digest)}});
    publishCrashRecords(now);
}

void RequestProgress::recordSuccess(core::Time now)
{
    if (m_context.crashes.noteSuccess(m_digest, now)) {
        publishCrashRecords(now);
    }
}

bool RequestProgress::hasAnsweredForLong(core::Time now) const noexcept
{
    return m_attemptAnsweredAt != absl::InfinitePast() && now - m_attemptAnsweredAt >= PartProofTime;
}

void RequestProgress::recordPartsSound(core::Time now)
{
    if (m_partsSound || !usesEngine()) {
        return;
    }
    m_partsSound = true;
    bool refuted = false;
    for (const auto &part : m_sharedParts) {
        refuted = m_context.crashes.noteSuccess(part, m_attemptAnsweredAt) || refuted;
    }
    if (refuted) {
        publishCrashRecords(now);
    }
}

void RequestProgress::publishCrashRecords(core::Time now)
{
    reportQuarantineChanges(m_context, "own request");
    if (m_context.crashExchange != nullptr) {
        m_context.crashExchange->publishChanges(now);
    }
}

} // namespace spurlug::relay
