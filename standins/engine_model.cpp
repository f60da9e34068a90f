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
constexpr std::size_t CacheEventsKept = 4096;
constexpr std::int64_t LongPriority = 100; // Jobs of this or a higher value count as long, not as urgent.

std::int64_t tokensOf(const std::string &prompt, const EngineCosts &costs)
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
    constexpr std::int64_t Most = 1'000'000'000;
    EngineCosts costs;
    costs.kvTokens = reader.integer("kvTokens", 1, Most, costs.kvTokens);
    costs.maxStreams = reader.integer("maxStreams", 1, Most, costs.maxStreams);
    costs.chunkTokens = reader.integer("chunkTokens", 1, Most, costs.chunkTokens);
    costs.prefillMicrosPerToken = reader.number("prefillMicrosPerToken", 0, Most, costs.prefillMicrosPerToken);
    costs.prefillNanosPerTokenContext
        = reader.number("prefillNanosPerTokenContext", 0, Most, costs.prefillNanosPerTokenContext);
    costs.decodeMicrosPerStep = reader.number("decodeMicrosPerStep", 0, Most, costs.decodeMicrosPerStep);
    costs.decodeMicrosPerStream = reader.number("decodeMicrosPerStream", 0, Most, costs.decodeMicrosPerStream);
    costs.blockTokens = reader.integer("blockTokens", 1, Most, costs.blockTokens);
    costs.bytesPerToken = reader.integer("bytesPerToken", 1, Most, costs.bytesPerToken);
    costs.transferMicrosPerToken = reader.number("transferMicrosPerToken", 0, Most, costs.transferMicrosPerToken);
    costs.cacheEventLagMs = reader.number("cacheEventLagMs", 0, Most, costs.cacheEventLagMs);
    costs.loseCacheEvery = reader.integer("loseCacheEvery", 0, Most, costs.loseCacheEvery);
    costs.timeScale = reader.number("timeScale", 0, Most, costs.timeScale);
    reader.rejectOthers();
    if (!faults.empty()) {
        throw spurlug::core::InvalidDocument(
            core::cat(path, ": ", faults.front().pointer, ": expected ", faults.front().expected));
    }
    return costs;
}

EngineModel::EngineModel(EngineCosts costs)
    : m_costs(costs)
    , m_cacheEvents(absl::Milliseconds(costs.cacheEventLagMs), static_cast<std::uint64_t>(costs.loseCacheEvery),
                    CacheEventsKept)
{ }

EngineModel::Submission EngineModel::submit(EngineJob request, JobEvents events)
{
    if (m_jobs.contains(request.id)) {
        return Submission::Duplicate;
    }
    if (static_cast<std::int64_t>(m_jobs.size()) >= m_costs.maxStreams) {
        return Submission::Full;
    }
    if (!request.reservation.empty() && !m_reservations.contains(request.reservation)) {
        return Submission::NoReservation;
    }
    auto job = std::make_unique<Job>();
    job->promptTokens = tokensOf(request.prompt, m_costs);
    if (request.reservation.empty() && job->promptTokens + request.answerTokens > m_costs.kvTokens) {
        return Submission::TooLarge;
    }
    job->blocks = hashBlocks(request.prompt, m_costs);
    job->seed = spurlug::core::fastHash(request.prompt);
    job->nextToken = request.resumeFrom;
    job->request = std::move(request);
    job->request.prompt.clear();
    job->events = std::move(events);
    const auto id = job->request.id;
    m_order.push_back(id);
    m_jobs[id] = std::move(job);
    return Submission::Accepted;
}

bool EngineModel::cancel(const std::string &id)
{
    if (!m_jobs.contains(id)) {
        return false;
    }
    m_jobs.erase(id);
    m_order.remove(id);
    return true;
}

bool EngineModel::reserve(const std::string &id, std::int64_t tokens, Duration ttl, Time now)
{
    const auto known = m_reservations.find(id);
    if (known != m_reservations.end()) {
        known->second.expiresAt = now + ttl;
        return true;
    }
    if (used() + tokens > m_costs.kvTokens) {
        return false;
    }
    m_reservations[id] = Held{tokens, now + ttl, 0};
    evict();
    return true;
}

bool EngineModel::release(const std::string &id)
{
    std::vector<std::string> ended;
    for (const auto &[jobId, job] : m_jobs) {
        if (job->request.reservation == id) {
            ended.push_back(jobId);
        }
    }
    std::for_each(ended.begin(), ended.end(), [this](const auto &jobId) { cancel(jobId); });
    return m_reservations.erase(id) > 0;
}

bool EngineModel::addShare(const std::string &reservation, std::int64_t tokens)
{
    const auto held = m_reservations.find(reservation);
    if (held == m_reservations.end()) {
        return false;
    }
    held->second.shareLeft += tokens;
    return true;
}

std::optional<KvExport> EngineModel::exportKv(const std::string &jobId, const std::string &exportId, Duration ttl,
                                              Time now)
{
    m_now = now;
    const auto job = m_jobs.find(jobId);
    if (job == m_jobs.end() || job->second->prefilled < job->second->promptTokens) {
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
    m_now = now;
    remember(kv.blocks);
    return absl::Microseconds(static_cast<double>(kv.tokens) * m_costs.transferMicrosPerToken * m_costs.timeScale);
}

std::vector<CacheEvent> EngineModel::cacheEvents(std::uint64_t after, Time now) const
{
    return m_cacheEvents.since(after, now);
}

Duration EngineModel::step(Time now)
{
    m_now = now;
    expire(now);
    admitWaiting();
    double micros = 0;
    if (auto *job = nextPrefill()) {
        micros += prefillChunk(*job);
    } else {
        micros += shareChunk();
    }
    micros += decodeAll();
    return absl::Microseconds(micros * m_costs.timeScale);
}

void EngineModel::expire(Time now)
{
    std::vector<std::string> lapsed;
    for (const auto &[id, held] : m_reservations) {
        if (held.expiresAt < now) {
            lapsed.push_back(id);
        }
    }
    std::for_each(lapsed.begin(), lapsed.end(), [this](const auto &id) { release(id); });
}

void EngineModel::admitWaiting()
{
    std::vector<Job *> waiting;
    for (const auto &id : m_order) {
        if (auto &job = m_jobs.at(id); !job->admitted) {
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
        if (used() + needed > m_costs.kvTokens) {
            return false;
        }
        job.held = needed;
        evict();
    }
    job.prefilled = cachedPrefix(job);
    job.admitted = true;
    return true;
}

std::int64_t EngineModel::used() const
{
    std::int64_t tokens = 0;
    for (const auto &[id, job] : m_jobs) {
        tokens += job->held;
    }
    for (const auto &[id, held] : m_reservations) {
        tokens += held.tokens;
    }
    return tokens;
}

void EngineModel::evict()
{
    const auto room = std::max<std::int64_t>(0, m_costs.kvTokens - used());
    while (static_cast<std::int64_t>(m_cache.size()) * m_costs.blockTokens > room) {
        m_cacheEvents.add(CacheEventKind::Evicted, m_cacheOrder.front(), m_now);
        m_cache.erase(m_cacheOrder.front());
        m_cacheOrder.pop_front();
    }
}

void EngineModel::remember(const std::vector<std::uint64_t> &blocks)
{
    for (const auto block : blocks) {
        const auto known = m_cache.find(block);
        if (known != m_cache.end()) {
            m_cacheOrder.erase(known->second);
        } else {
            m_cacheEvents.add(CacheEventKind::Stored, block, m_now);
        }
        m_cacheOrder.push_back(block);
        m_cache[block] = std::prev(m_cacheOrder.end());
    }
    evict();
}

std::int64_t EngineModel::cachedPrefix(const Job &job) const
{
    std::int64_t tokens = 0;
    for (const auto block : job.blocks) {
        if (!m_cache.contains(block)) {
            break;
        }
        tokens += m_costs.blockTokens;
    }
    return std::min(tokens, job.promptTokens - 1);
}

EngineModel::Job *EngineModel::nextPrefill()
{
    Job *best = nullptr;
    for (const auto &id : m_order) {
        auto *job = m_jobs.at(id).get();
        const bool prefilling = job->admitted && job->prefilled < job->promptTokens;
        if (prefilling && (best == nullptr || job->request.priority < best->request.priority)) {
            best = job;
        }
    }
    return best;
}

double EngineModel::prefillChunk(Job &job)
{
    const auto share = std::max(1, job.request.group);
    const auto chunk = std::min(m_costs.chunkTokens * share, job.promptTokens - job.prefilled);
    const double context = static_cast<double>(job.prefilled) + static_cast<double>(chunk) / 2;
    const double perToken = m_costs.prefillMicrosPerToken + m_costs.prefillNanosPerTokenContext * context / 1000;
    job.prefilled += chunk;
    if (job.prefilled == job.promptTokens) {
        remember(job.blocks);
    }
    return static_cast<double>(chunk) * perToken / share;
}

/// Computes one chunk of a group's prefill as a member, which is thus busy about as long as the leader. Only the leader
/// counts the costs that depend on the context.
double EngineModel::shareChunk()
{
    for (auto &[id, held] : m_reservations) {
        if (held.shareLeft > 0) {
            const auto chunk = std::min(m_costs.chunkTokens, held.shareLeft);
            held.shareLeft -= chunk;
            return static_cast<double>(chunk) * m_costs.prefillMicrosPerToken;
        }
    }
    return 0;
}

double EngineModel::decodeAll()
{
    std::vector<std::string> done;
    std::int64_t decoding = 0;
    for (auto &[id, job] : m_jobs) {
        if (!job->admitted || job->prefilled < job->promptTokens) {
            continue;
        }
        ++decoding;
        if (job->nextToken < job->request.answerTokens) {
            const auto offset = job->nextToken++;
            job->events.token(offset, answerWord(job->seed, offset));
        }
        if (job->nextToken >= job->request.answerTokens) {
            done.push_back(id);
        }
    }
    std::for_each(done.begin(), done.end(), [this](const auto &id) { finish(id); });
    if (decoding == 0) {
        return 0;
    }
    return m_costs.decodeMicrosPerStep + m_costs.decodeMicrosPerStream * static_cast<double>(decoding);
}

void EngineModel::finish(const std::string &id)
{
    const auto job = std::move(m_jobs.at(id));
    cancel(id);
    job->events.finished(job->promptTokens, job->request.answerTokens);
}

EngineLoad EngineModel::load() const
{
    EngineLoad load;
    for (const auto &[id, job] : m_jobs) {
        const auto left = (job->promptTokens - job->prefilled) / std::max(1, job->request.group);
        load.queuedTokens += left;
        load.urgentTokens += job->request.priority < LongPriority ? left : 0;
    }
    for (const auto &[id, held] : m_reservations) {
        load.reservedTokens += held.tokens;
        load.queuedTokens += held.shareLeft;
    }
    load.reservations = static_cast<std::int64_t>(m_reservations.size());
    load.streams = static_cast<std::int64_t>(m_jobs.size());
    load.freeTokens = m_costs.kvTokens - used();
    load.cachedTokens = static_cast<std::int64_t>(m_cache.size()) * m_costs.blockTokens;
    load.prefillRate = MicrosPerSecond / (m_costs.prefillMicrosPerToken * std::max(m_costs.timeScale, 1e-6));
    return load;
}

const EngineCosts &EngineModel::costs() const noexcept
{
    return m_costs;
}

} // namespace standins
