//----------------------------------------------------------------------------------------------------------------------
// spurlug: stand-in of a model engine: the model, without sockets
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

/// \brief Published costs of an engine; see `standins/engine_costs.json`.
struct EngineCosts
{
    std::int64_t kvTokens = 400'000; ///< KV memory.
    std::int64_t maxStreams = 64; ///< Requests at once.
    std::int64_t chunkTokens = 2048; ///< Prompt tokens of one step.
    double prefillMicrosPerToken = 20; ///< At an empty context.
    double prefillNanosPerTokenContext = 0.2; ///< On top, for each token of context: the quadratic part.
    double decodeMicrosPerStep = 12'000; ///< One token for each stream in decode.
    double decodeMicrosPerStream = 150;
    std::int64_t blockTokens = 256; ///< Granularity of the prefix cache.
    std::int64_t bytesPerToken = 4;
    double transferMicrosPerToken = 1; ///< Of KV memory imported from another engine.
    double cacheEventLagMs = 200; ///< Age from which on cache events are shown.
    std::int64_t loseCacheEvery = 50; ///< Each so-manieth cache event is lost; 0: none.
    double timeScale = 1.0; ///< Below 1 the engine is faster than the costs say.
};

/// \brief Reads costs from a JSON file. \throws InvalidDocument
[[nodiscard]] EngineCosts loadEngineCosts(const std::string &path);

/// \brief Word that an engine answers at an offset: the same for the same prompt, whichever engine answers.
/// \param seed spurlug::core::fastHash of the prompt.
[[nodiscard]] std::string answerWord(std::uint64_t seed, std::int64_t offset);

/// \brief What a request asks of the engine.
struct EngineJob
{
    std::string id;
    std::int64_t priority = 0; ///< Lower goes first.
    std::string prompt;
    std::int64_t answerTokens = 64;
    std::int64_t resumeFrom = 0; ///< Tokens that the caller has already.
    std::string reservation; ///< KV memory set aside before; empty: none.
    int group = 1; ///< Engines that share the prefill.
};

/// \brief What happens to a job; called from the engine's step.
struct JobEvents
{
    std::function<void(std::int64_t offset, const std::string &text)> token;
    std::function<void(std::int64_t promptTokens, std::int64_t answerTokens)> finished;
};

/// \brief KV memory of one request, on its way to another engine.
struct KvExport
{
    std::vector<std::uint64_t> blocks; ///< Hashes of the blocks that are computed.
    std::int64_t tokens = 0;
};

/// \brief Load as the engine reports it.
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

/// \brief Continuous batching with chunked prefill, KV memory, reservations and a prefix cache.
///
/// A pure state machine: `step` says how long the step takes, and the shell sleeps. Not safe for several threads.
class EngineModel
{
public:
    explicit EngineModel(EngineCosts costs);

    /// \name Commands
    /// @{
    enum class Submission
    {
        Accepted,
        Full, ///< As many requests as it may hold.
        TooLarge, ///< Its memory could never hold the request.
        NoReservation, ///< The reservation is unknown.
        Duplicate, ///< A request of that id is in progress.
    };
    Submission submit(EngineJob job, JobEvents events);
    /// \brief Ends a job. \returns False when there is no such job.
    bool cancel(const std::string &id);
    /// \brief Sets memory aside, or keeps it. \returns False when there is not enough.
    bool reserve(const std::string &id, std::int64_t tokens, Duration ttl, Time now);
    bool release(const std::string &id);
    /// \brief Adds a share of a group's prefill that this engine does for a leader.
    bool addShare(const std::string &reservation, std::int64_t tokens);
    /// \brief Keeps a request's computed KV memory for another engine until `ttl` has passed.
    /// \returns Nothing when there is no such request, or its prefill is not finished.
    std::optional<KvExport> exportKv(const std::string &jobId, const std::string &exportId, Duration ttl, Time now);
    /// \brief Takes KV memory computed elsewhere into the prefix cache. \returns Time of the transfer.
    Duration importKv(const KvExport &kv, Time now);
    /// \brief Does one step of work. \returns Its duration; zero when there is nothing to do.
    Duration step(Time now);
    /// @}
    /// \name Queries
    /// @{
    [[nodiscard]] EngineLoad load() const;
    /// \brief Events of the prefix cache, late and with gaps.
    [[nodiscard]] std::vector<CacheEvent> cacheEvents(std::uint64_t after, Time now) const;
    [[nodiscard]] const EngineCosts &costs() const noexcept;
    /// @}

private:
    struct Job
    {
        EngineJob request;
        JobEvents events;
        std::int64_t promptTokens = 0;
        std::int64_t prefilled = 0;
        std::int64_t nextToken = 0;
        std::int64_t held = 0; ///< KV tokens, those of a reservation not counted.
        bool admitted = false;
        std::vector<std::uint64_t> blocks;
        std::uint64_t seed = 0;
    };
    struct Held
    {
        std::int64_t tokens = 0;
        Time expiresAt;
        std::int64_t shareLeft = 0; ///< Prefill tokens to do for a leader.
    };

    void expire(Time now);
    void admitWaiting();
    [[nodiscard]] bool tryAdmit(Job &job);
    [[nodiscard]] std::int64_t used() const;
    void evict();
    void remember(const std::vector<std::uint64_t> &blocks);
    [[nodiscard]] std::int64_t cachedPrefix(const Job &job) const;
    Job *nextPrefill();
    double prefillChunk(Job &job);
    double shareChunk();
    double decodeAll();
    void finish(const std::string &id);

    EngineCosts m_costs;
    Time m_now = absl::UnixEpoch(); ///< Of the last command that told it.
    CacheEvents m_cacheEvents;
    std::map<std::string, std::unique_ptr<Job>> m_jobs;
    std::list<std::string> m_order; ///< Job ids as they came.
    std::map<std::string, Held> m_reservations;
    std::list<std::uint64_t> m_cacheOrder; ///< Least recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
};

} // namespace standins
