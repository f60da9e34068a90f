//----------------------------------------------------------------------------------------------------------------------
// spurlug: simulation of a model engine, without network access
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "engine_model.h"

#include "spurlug/core/error.h"
#include "spurlug/core/hash.h"
#include "spurlug/core/json_reader.h"
#include "spurlug/core/text.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <fstream>
#include <utility>

namespace standins
{

namespace core = spurlug::core;

namespace
{

constexpr double MicrosPerSecond = 1e6;
constexpr std::size_t MaxCacheEvents = 4096;
constexpr std::int64_t LongJobPriority = 100; // Jobs of this or a higher value count as long, not as urgent.

std::int64_t countTokens(const std::string &prompt, const EngineCosts &costs)
{
    const auto bytes = static_cast<std::int64_t>(prompt.size());
    return std::max<std::int64_t>(1, (bytes + costs.bytesPerToken - 1) / costs.bytesPerToken);
}

std::vector<std::uint64_t> hashBlocks(const std::string &prompt, const EngineCosts &costs)
{
    std::vector<std::uint64_t> blocks;
    const auto size = static_cast<std::size_t>(costs.blockTokens * costs.bytesPerToken);
    std::uint64_t hash = 1;
    for (std::size_t start = 0; start + size <= prompt.size(); start += size) {
        hash = spurlug::core::fastHash(std::string_view(prompt).substr(start, size), hash);
        blocks.push_back(hash);
    }
    return blocks;
}

} // namespace

std::string answerWord(std::uint64_t seed, std::int64_t offset)
{
    return absl::StrFormat("w%04x ", spurlug::core::fastHash(core::cat(offset), seed) & 0xffff);
}

EngineCosts loadEngineCosts(const std::string &path)
{
    std::ifstream file(path);
    const auto document = nlohmann::json::parse(file, nullptr, false);
    std::vector<spurlug::core::Fault> faults;
    spurlug::core::ObjectReader reader(document, "", faults);
    constexpr std::int64_t MaxValue = 1'000'000'000;
    EngineCosts costs;
    costs.kvTokens = reader.integer("kvTokens", 1, MaxValue, costs.kvTokens);
    costs.maxStreams = reader.integer("maxStreams", 1, MaxValue, costs.maxStreams);
    costs.chunkTokens = reader.integer("chunkTokens", 1, MaxValue, costs.chunkTokens);
    costs.prefillMicrosPerToken = reader.number("prefillMicrosPerToken", 0, MaxValue, costs.prefillMicrosPerToken);
    costs.prefillNanosPerTokenContext
        = reader.number("prefillNanosPerTokenContext", 0, MaxValue, costs.prefillNanosPerTokenContext);
    costs.decodeMicrosPerStep = reader.number("decodeMicrosPerStep", 0, MaxValue, costs.decodeMicrosPerStep);
    costs.decodeMicrosPerStream = reader.number("decodeMicrosPerStream", 0, MaxValue, costs.decodeMicrosPerStream);
    costs.blockTokens = reader.integer("blockTokens", 1, MaxValue, costs.blockTokens);
    costs.bytesPerToken = reader.integer("bytesPerToken", 1, MaxValue, costs.bytesPerToken);
    costs.transferMicrosPerToken = reader.number("transferMicrosPerToken", 0, MaxValue, costs.transferMicrosPerToken);
    costs.cacheEventLagMs = reader.number("cacheEventLagMs", 0, MaxValue, costs.cacheEventLagMs);
    costs.cacheEventLossInterval = reader.integer("loseCacheEvery", 0, MaxValue, costs.cacheEventLossInterval);
    costs.timeScale = reader.number("timeScale", 0, MaxValue, costs.timeScale);
    reader.rejectUnknownMembers();
    if (!faults.empty()) {
        throw spurlug::core::InvalidDocument(
            core::cat(path, ": ", faults.front().pointer, ": expected ", faults.front().expected));
    }
    return costs;
}

EngineModel::EngineModel(EngineCosts costs)
    : m_costs(costs)
    , m_cacheEvents(absl::Milliseconds(costs.cacheEventLagMs), static_cast<std::uint64_t>(costs.cacheEventLossInterval),
                    MaxCacheEvents)
{ }

EngineModel::SubmitResult EngineModel::submit(EngineRequest request, JobCallbacks callbacks)
{
    if (m_jobs.contains(request.id)) {
        return SubmitResult::Duplicate;
    }
    if (static_cast<std::int64_t>(m_jobs.size()) >= m_costs.maxStreams) {
        return SubmitResult::TooManyRequests;
    }
    if (!request.reservation.empty() && !m_reservations.contains(request.reservation)) {
        return SubmitResult::UnknownReservation;
    }
    auto job = std::make_unique<Job>();
    job->promptTokens = countTokens(request.prompt, m_costs);
    if (request.reservation.empty() && job->promptTokens + request.answerTokens > m_costs.kvTokens) {
        return SubmitResult::TooLarge;
    }
    job->blocks = hashBlocks(request.prompt, m_costs);
    job->seed = spurlug::core::fastHash(request.prompt);
    job->nextToken = request.resumeFrom;
    job->request = std::move(request);
    job->request.prompt.clear();
    job->callbacks = std::move(callbacks);
    const auto id = job->request.id;
    m_arrivalOrder.push_back(id);
    m_jobs[id] = std::move(job);
    return SubmitResult::Accepted;
}

bool EngineModel::cancel(const std::string &id)
{
    if (!m_jobs.contains(id)) {
        return false;
    }
    m_jobs.erase(id);
    m_arrivalOrder.remove(id);
    return true;
}

bool EngineModel::reserve(const std::string &id, std::int64_t tokens, Duration ttl, Time now)
{
    const auto known = m_reservations.find(id);
    if (known != m_reservations.end()) {
        known->second.expiresAt = now + ttl;
        return true;
    }
    if (usedTokens() + tokens > m_costs.kvTokens) {
        return false;
    }
    m_reservations[id] = Reservation{tokens, now + ttl, 0};
    evictBlocks();
    return true;
}

bool EngineModel::release(const std::string &id)
{
    std::vector<std::string> cancelled;
    for (const auto &[jobId, job] : m_jobs) {
        if (job->request.reservation == id) {
            cancelled.push_back(jobId);
        }
    }
    std::for_each(cancelled.begin(), cancelled.end(), [this](const auto &jobId) { cancel(jobId); });
    return m_reservations.erase(id) > 0;
}

bool EngineModel::addGroupPrefill(const std::string &reservation, std::int64_t tokens)
{
    const auto found = m_reservations.find(reservation);
    if (found == m_reservations.end()) {
        return false;
    }
    found->second.groupPrefillTokens += tokens;
    return true;
}

std::optional<KvExport> EngineModel::exportKv(const std::string &jobId, const std::string &exportId, Duration ttl,
                                              Time now)
{
    m_lastTime = now;
    const auto job = m_jobs.find(jobId);
    if (job == m_jobs.end() || job->second->prefilledTokens < job->second->promptTokens) {
        return std::nullopt;
    }
    const auto tokens = job->second->promptTokens;
    if (!reserve(exportId, tokens, ttl, now)) {
        return std::nullopt;
    }
    return KvExport{job->second->blocks, tokens};
}

Duration EngineModel::importKv(const KvExport &kv, Time now)
{
    m_lastTime = now;
    cacheBlocks(kv.blocks);
    return absl::Microseconds(static_cast<double>(kv.tokens) * m_costs.transferMicrosPerToken * m_costs.timeScale);
}

std::vector<CacheEvent> EngineModel::cacheEvents(std::uint64_t after, Time now) const
{
    return m_cacheEvents.eventsAfter(after, now);
}

Duration EngineModel::step(Time now)
{
    m_lastTime = now;
    releaseExpired(now);
    admitWaiting();
    double micros = 0;
    if (auto *job = nextPrefill()) {
        micros += prefillChunk(*job);
    } else {
        micros += prefillGroupChunk();
    }
    micros += decodeStep();
    return absl::Microseconds(micros * m_costs.timeScale);
}

void EngineModel::releaseExpired(Time now)
{
    std::vector<std::string> expired;
    for (const auto &[id, reservation] : m_reservations) {
        if (reservation.expiresAt < now) {
            expired.push_back(id);
        }
    }
    std::for_each(expired.begin(), expired.end(), [this](const auto &id) { release(id); });
}

void EngineModel::admitWaiting()
{
    std::vector<Job *> waiting;
    for (const auto &id : m_arrivalOrder) {
        if (auto &job = m_jobs.at(id); !job->isAdmitted) {
            waiting.push_back(job.get());
        }
    }
    std::stable_sort(waiting.begin(), waiting.end(), [](const auto *left, const auto *right) {
        return left->request.priority < right->request.priority;
    });
    for (auto *job : waiting) {
        if (!tryAdmit(*job)) {
            return;
        }
    }
}

bool EngineModel::tryAdmit(Job &job)
{
    if (job.request.reservation.empty()) {
        const auto needed = job.promptTokens + job.request.answerTokens;
        if (usedTokens() + needed > m_costs.kvTokens) {
            return false;
        }
        job.allocatedTokens = needed;
        evictBlocks();
    }
    job.prefilledTokens = cachedPrefixTokens(job);
    job.isAdmitted = true;
    return true;
}

std::int64_t EngineModel::usedTokens() const
{
    std::int64_t tokens = 0;
    for (const auto &[id, job] : m_jobs) {
        tokens += job->allocatedTokens;
    }
    for (const auto &[id, reservation] : m_reservations) {
        tokens += reservation.tokens;
    }
    return tokens;
}

void EngineModel::evictBlocks()
{
    const auto availableTokens = std::max<std::int64_t>(0, m_costs.kvTokens - usedTokens());
    while (static_cast<std::int64_t>(m_cachedBlocks.size()) * m_costs.blockTokens > availableTokens) {
        m_cacheEvents.add(CacheEventKind::Evicted, m_cacheOrder.front(), m_lastTime);
        m_cachedBlocks.erase(m_cacheOrder.front());
        m_cacheOrder.pop_front();
    }
}

void EngineModel::cacheBlocks(const std::vector<std::uint64_t> &blocks)
{
    for (const auto block : blocks) {
        const auto known = m_cachedBlocks.find(block);
        if (known != m_cachedBlocks.end()) {
            m_cacheOrder.erase(known->second);
        } else {
            m_cacheEvents.add(CacheEventKind::Stored, block, m_lastTime);
        }
        m_cacheOrder.push_back(block);
        m_cachedBlocks[block] = std::prev(m_cacheOrder.end());
    }
    evictBlocks();
}

std::int64_t EngineModel::cachedPrefixTokens(const Job &job) const
{
    std::int64_t tokens = 0;
    for (const auto block : job.blocks) {
        if (!m_cachedBlocks.contains(block)) {
            break;
        }
        tokens += m_costs.blockTokens;
    }
    return std::min(tokens, job.promptTokens - 1);
}

EngineModel::Job *EngineModel::nextPrefill()
{
    Job *best = nullptr;
    for (const auto &id : m_arrivalOrder) {
        auto *job = m_jobs.at(id).get();
        const bool prefilling = job->isAdmitted && job->prefilledTokens < job->promptTokens;
        if (prefilling && (best == nullptr || job->request.priority < best->request.priority)) {
            best = job;
        }
    }
    return best;
}

double EngineModel::prefillChunk(Job &job)
{
    const auto share = std::max(1, job.request.groupSize);
    const auto chunk = std::min(m_costs.chunkTokens * share, job.promptTokens - job.prefilledTokens);
    const double context = static_cast<double>(job.prefilledTokens) + static_cast<double>(chunk) / 2;
    const double perToken = m_costs.prefillMicrosPerToken + m_costs.prefillNanosPerTokenContext * context / 1000;
    job.prefilledTokens += chunk;
    if (job.prefilledTokens == job.promptTokens) {
        cacheBlocks(job.blocks);
    }
    return static_cast<double>(chunk) * perToken / share;
}

/// Computes one chunk of a group's prefill as a member, which is thus busy about as long as the leader. Only the leader
/// counts the costs that depend on the context.
double EngineModel::prefillGroupChunk()
{
    for (auto &[id, reservation] : m_reservations) {
        if (reservation.groupPrefillTokens > 0) {
            const auto chunk = std::min(m_costs.chunkTokens, reservation.groupPrefillTokens);
            reservation.groupPrefillTokens -= chunk;
            return static_cast<double>(chunk) * m_costs.prefillMicrosPerToken;
        }
    }
    return 0;
}

double EngineModel::decodeStep()
{
    std::vector<std::string> finishedIds;
    std::int64_t decoding = 0;
    for (auto &[id, job] : m_jobs) {
        if (!job->isAdmitted || job->prefilledTokens < job->promptTokens) {
            continue;
        }
        ++decoding;
        if (job->nextToken < job->request.answerTokens) {
            const auto offset = job->nextToken++;
            job->callbacks.token(offset, answerWord(job->seed, offset));
        }
        if (job->nextToken >= job->request.answerTokens) {
            finishedIds.push_back(id);
        }
    }
    std::for_each(finishedIds.begin(), finishedIds.end(), [this](const auto &id) { finish(id); });
    if (decoding == 0) {
        return 0;
    }
    return m_costs.decodeMicrosPerStep + m_costs.decodeMicrosPerStream * static_cast<double>(decoding);
}

void EngineModel::finish(const std::string &id)
{
    const auto job = std::move(m_jobs.at(id));
    cancel(id);
    job->callbacks.finished(job->promptTokens, job->request.answerTokens);
}

EngineLoad EngineModel::load() const
{
    EngineLoad load;
    for (const auto &[id, job] : m_jobs) {
        const auto remainingTokens = (job->promptTokens - job->prefilledTokens) / std::max(1, job->request.groupSize);
        load.queuedTokens += remainingTokens;
        load.urgentTokens += job->request.priority < LongJobPriority ? remainingTokens : 0;
    }
    for (const auto &[id, reservation] : m_reservations) {
        load.reservedTokens += reservation.tokens;
        load.queuedTokens += reservation.groupPrefillTokens;
    }
    load.reservations = static_cast<std::int64_t>(m_reservations.size());
    load.streams = static_cast<std::int64_t>(m_jobs.size());
    load.freeTokens = m_costs.kvTokens - usedTokens();
    load.cachedTokens = static_cast<std::int64_t>(m_cachedBlocks.size()) * m_costs.blockTokens;
    load.prefillRate = MicrosPerSecond / (m_costs.prefillMicrosPerToken * std::max(m_costs.timeScale, 1e-6));
    return load;
}

const EngineCosts &EngineModel::costs() const noexcept
{
    return m_costs;
}

} // namespace standins
