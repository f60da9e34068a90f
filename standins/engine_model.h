//----------------------------------------------------------------------------------------------------------------------
// spurlug: simulation of a model engine, without network access
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "cache_events.h"

#include "spurlug/core/time.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace standins
{

using spurlug::core::Duration;
using spurlug::core::Time;

/// \brief Published capacities and costs of an engine; see `standins/engine_costs.json`.
struct EngineCosts
{
    std::int64_t kvTokens = 400'000; ///< Size of the KV memory in tokens.
    std::int64_t maxStreams = 64; ///< Maximum number of requests that the engine holds at once.
    std::int64_t chunkTokens = 2048; ///< Maximum prompt tokens that a step prefills.
    double prefillMicrosPerToken = 20; ///< Cost of a prompt token at an empty context.
    double prefillNanosPerTokenContext = 0.2; ///< Additional cost per token of context (the quadratic part).
    double decodeMicrosPerStep = 12'000; ///< Fixed cost of a step that generates a token for each decoding stream.
    double decodeMicrosPerStream = 150; ///< Additional cost per decoding stream.
    std::int64_t blockTokens = 256; ///< Block size of the prefix cache.
    std::int64_t bytesPerToken = 4;
    double transferMicrosPerToken = 1; ///< Cost of KV memory imported from another engine.
    double cacheEventLagMs = 200; ///< Age from which on cache events are returned.
    std::int64_t cacheEventLossInterval = 50; ///< Interval of lost cache events (50: every 50th); 0: none is lost.
    double timeScale = 1.0; ///< Factor of all times; below 1 the engine is faster than the costs say.
};

/// \brief Reads costs from a JSON file. \throws InvalidDocument
[[nodiscard]] EngineCosts loadEngineCosts(const std::string &path);

/// \brief Returns the word that an engine generates at an offset; it depends on the prompt but not on the engine.
/// \param seed The spurlug::core::fastHash of the prompt.
[[nodiscard]] std::string answerWord(std::uint64_t seed, std::int64_t offset);

/// \brief A generation request to the engine.
struct EngineRequest
{
    std::string id;
    std::int64_t priority = 0; ///< Lower values are served first.
    std::string prompt;
    std::int64_t answerTokens = 64;
    std::int64_t resumeFrom = 0; ///< Number of tokens that the caller already has.
    std::string reservation; ///< Id of a KV memory reservation made before; empty: none.
    int groupSize = 1; ///< Number of engines that share the prefill.
};

/// \brief Callbacks of a job, called from EngineModel::step().
struct JobCallbacks
{
    std::function<void(std::int64_t offset, const std::string &text)> token;
    std::function<void(std::int64_t promptTokens, std::int64_t answerTokens)> finished;
};

/// \brief KV memory of one request for the transfer to another engine.
struct KvExport
{
    std::vector<std::uint64_t> blocks; ///< Hashes of the computed blocks.
    std::int64_t tokens = 0;
};

/// \brief Load that the engine reports.
struct EngineLoad
{
    std::int64_t queuedTokens = 0;
    std::int64_t urgentTokens = 0;
    std::int64_t streams = 0;
    std::int64_t freeTokens = 0;
    std::int64_t reservedTokens = 0;
    std::int64_t reservations = 0;
    std::int64_t cachedTokens = 0;
    double prefillRate = 0;
};

/// \brief Simulates continuous batching with chunked prefill, KV memory, reservations and a prefix cache.
///
/// A state machine without I/O: step() returns the duration of the step, and the caller sleeps. Not thread-safe.
class EngineModel
{
public:
    explicit EngineModel(EngineCosts costs);

    /// \name Commands
    /// @{
    enum class SubmitResult
    {
        Accepted,
        TooManyRequests, ///< The engine holds EngineCosts::maxStreams requests already.
        TooLarge, ///< The request exceeds the engine's whole KV memory.
        UnknownReservation, ///< The reservation is unknown.
        Duplicate, ///< A request with the same id is in progress.
    };
    SubmitResult submit(EngineRequest request, JobCallbacks callbacks);
    /// \brief Cancels a job. \returns False if there is no such job.
    bool cancel(const std::string &id);
    /// \brief Reserves KV memory, or extends the reservation of this id. \returns False if there is not enough memory.
    bool reserve(const std::string &id, std::int64_t tokens, Duration ttl, Time now);
    /// \brief Releases a reservation and cancels the jobs that use it. \returns False if there is no such reservation.
    bool release(const std::string &id);
    /// \brief Adds prompt tokens that this engine prefills for the leader of a group.
    /// \returns False if there is no such reservation.
    bool addGroupPrefill(const std::string &reservation, std::int64_t tokens);
    /// \brief Keeps a request's computed KV memory for another engine until `ttl` has passed.
    /// \returns Nothing if there is no such request, its prefill is not finished, or the memory does not suffice.
    std::optional<KvExport> exportKv(const std::string &jobId, const std::string &exportId, Duration ttl, Time now);
    /// \brief Adds KV memory computed by another engine to the prefix cache. \returns Duration of the transfer.
    Duration importKv(const KvExport &kv, Time now);
    /// \brief Runs one step. \returns Its duration; zero if there is nothing to do.
    Duration step(Time now);
    /// @}
    /// \name Queries
    /// @{
    [[nodiscard]] EngineLoad load() const;
    /// \brief Returns events of the prefix cache, delayed and with gaps.
    [[nodiscard]] std::vector<CacheEvent> cacheEvents(std::uint64_t after, Time now) const;
    [[nodiscard]] const EngineCosts &costs() const noexcept;
    /// @}

private:
    struct Job
    {
        EngineRequest request;
        JobCallbacks callbacks;
        std::int64_t promptTokens = 0;
        std::int64_t prefilledTokens = 0;
        std::int64_t nextToken = 0;
        std::int64_t allocatedTokens = 0; ///< KV tokens in use, without those of a reservation.
        bool isAdmitted = false;
        std::vector<std::uint64_t> blocks;
        std::uint64_t seed = 0;
    };
    struct Reservation
    {
        std::int64_t tokens = 0;
        Time expiresAt;
        std::int64_t groupPrefillTokens = 0; ///< Prompt tokens still to be prefilled for the leader of a group.
    };

    void releaseExpired(Time now);
    void admitWaiting();
    [[nodiscard]] bool tryAdmit(Job &job);
    [[nodiscard]] std::int64_t usedTokens() const;
    void evictBlocks();
    void cacheBlocks(const std::vector<std::uint64_t> &blocks);
    [[nodiscard]] std::int64_t cachedPrefixTokens(const Job &job) const;
    Job *nextPrefill();
    double prefillChunk(Job &job);
    double prefillGroupChunk();
    double decodeStep();
    void finish(const std::string &id);

    EngineCosts m_costs;
    Time m_lastTime = absl::UnixEpoch(); ///< Time of the last step(), exportKv() or importKv().
    CacheEvents m_cacheEvents;
    std::map<std::string, std::unique_ptr<Job>> m_jobs;
    std::list<std::string> m_arrivalOrder; ///< Job ids in order of arrival.
    std::map<std::string, Reservation> m_reservations;
    std::list<std::uint64_t> m_cacheOrder; ///< Hashes of the cached blocks, least recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cachedBlocks;
};

} // namespace standins
