//----------------------------------------------------------------------------------------------------------------------
// spurlug: relays one admitted request to its targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/admission/byte_budget.h"
#include "spurlug/config/configuration.h"
#include "spurlug/core/counted.h"
#include "spurlug/core/worker_pool.h"
#include "spurlug/dispatch/event_channel.h"
#include "spurlug/dispatch/retry.h"
#include "spurlug/dispatch/token_reassembler.h"
#include "spurlug/explain/decision_ring.h"
#include "spurlug/grants/grant_source.h"
#include "spurlug/metrics/metrics.h"
#include "spurlug/routing/choose.h"
#include "spurlug/targets/target_table.h"

#include <atomic>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace spurlug::dispatch
{

/// \brief Objects and settings that all requests share; outlives every request.
struct HandlerContext
{
    targets::TargetTable &targets;
    metrics::Metrics &metrics;
    explain::DecisionRing &decisions;
    core::WorkerPool &attemptPool; ///< Threads that send attempts and read the answers.
    grants::GroupManager &groups;
    grants::AcquireGrant acquireGrant;
    RetryBudget &retryBudget;
    RetryPolicy retryPolicy;
    routing::RouteRule routeRule;
    std::string failureDomain; ///< Targets in this failure domain are preferred.
    std::atomic<std::int64_t> requestsInProgress{0};
    std::atomic<std::uint64_t> roundRobinCounter{0}; ///< Counter for round-robin routing.
};

/// \brief Protocol of the targets that a request goes to.
enum class TargetKind
{
    Engine,
    Service,
};

/// \brief An admitted request.
struct AdmittedRequest
{
    std::string id;
    TargetKind kind = TargetKind::Engine;
    config::ConfigurationRef configuration; ///< Owns the list that `targets` points to.
    const std::vector<config::TargetSpec> *targets = nullptr;
    std::string route; ///< Name of the pool or service.
    std::string organisation;
    double weight = 1.0; ///< Weight of the organisation when targets are contended.
    std::string requestClass;
    std::int64_t priority = 0;
    std::int64_t promptTokens = 0; ///< Estimated prompt tokens; 1 for a service call.
    std::int64_t kvTokens = 0; ///< KV memory that the whole request needs, in tokens.
    int engines = 1; ///< Number of engines that serve the request together.
    config::RoutingStrategy routing = config::RoutingStrategy::ExpectedTtft;
    bool isLong = false; ///< A long request needs a grant from a broker.
    std::uint64_t prefixHash = 0; ///< Hash of the beginning of the prompt; 0 if there is none to share.
    bool repeatable = true; ///< Whether the request may be executed more than once.
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers; ///< Headers forwarded to the target.
    std::string body;
    admission::ByteBudget::Allocation bodyAllocation;
    core::Time arrivedAt;
    core::Time deadline;
};

/// \brief No output became available while `next` waited.
struct NoOutput
{ };

/// \brief Tokens for the caller, in order, each returned once.
struct Tokens
{
    std::vector<std::string> payloads;
};

/// \brief The request is complete; all its output was returned.
struct Finished
{
    std::string payload; ///< Usage and finish reason; empty for plain services.
};

/// \brief The request failed and will not be retried.
struct Failed
{
    AttemptResult result;
};

/// \brief Output of a request for its caller.
using Output = std::variant<NoOutput, Tokens, HeadEvent, BytesEvent, Finished, Failed>;

/// \brief Relays one request, with retries, until it is complete, fails or reaches its deadline.
///
/// Used by one thread at a time. The destructor cancels an attempt in progress and records the decision.
class RequestHandler : public core::RefCounted<RequestHandler>
{
public:
    /// \brief Counts the request as admitted. The first attempt starts when `next` is called.
    RequestHandler(HandlerContext &context, AdmittedRequest request);
    ~RequestHandler();
    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;

    /// \brief Waits at most `wait` for the next output. Once it has returned Finished or Failed, it returns that again.
    [[nodiscard]] Output next(core::Duration wait);

    /// \brief Cancels the request because its caller has disconnected; does nothing if the request has ended.
    void abandon();

    /// \brief The request that is relayed.
    [[nodiscard]] const AdmittedRequest &request() const noexcept;

    /// \brief Outcome of the request; nullopt while it is in progress.
    [[nodiscard]] std::optional<core::Outcome> outcome() const noexcept;

private:
    [[nodiscard]] Output advance(core::Duration wait, core::Time now);
    [[nodiscard]] Output awaitEvent(core::Duration wait, core::Time now);
    [[nodiscard]] bool prepareGroup(core::Duration wait, core::Time now);
    [[nodiscard]] std::optional<grants::TicketedGrant> requestGrant(core::Duration wait, core::Time now);
    [[nodiscard]] core::Ref<grants::Group> reserveGroup(const grants::TicketedGrant &granted, core::Time now);
    void startAttempt(core::Time now);
    void sendTo(const core::Address &address, const std::vector<std::string> &ids, core::Time now);
    [[nodiscard]] AttemptRequest makeAttemptRequest(const core::Address &address) const;
    [[nodiscard]] std::optional<targets::TargetView> selectTarget(core::Time now);
    [[nodiscard]] Output handleEvent(AttemptEvent event, core::Time now);
    [[nodiscard]] Output handleToken(TokenEvent event, core::Time now);
    [[nodiscard]] Output handleResult(const AttemptResult &result, core::Time now);
    [[nodiscard]] Output retryOrFail(const AttemptResult &result, core::Time now);
    [[nodiscard]] Output fail(AttemptResult result, core::Time now);
    void endAttempt(const AttemptResult &result, core::Time now);
    void recordFirstToken(core::Time now);
    void recordOutcome(core::Outcome outcome, core::Reason reason, core::Time now);

    HandlerContext &m_context;
    const AdmittedRequest m_request;
    TokenReassembler m_reassembler;
    core::Ref<EventChannel> m_channel; ///< Channel of the attempt in progress; null between attempts.
    core::Ref<grants::Group> m_group;
    std::vector<std::string> m_currentTargets; ///< Targets of the attempt in progress.
    std::vector<std::string> m_triedTargets;
    core::Time m_nextAttemptAt = absl::InfinitePast(); ///< The next attempt starts no earlier.
    core::Time m_lastTokenAt = absl::InfinitePast();
    int m_attemptCount = 0;
    bool m_headReceived
        = false; ///< Set once the head of a plain response was received; no retry is possible from then on.
    bool m_mayHaveRun = false; ///< Whether a target may have run an earlier attempt.
    std::optional<FinishEvent> m_finishEvent;
    std::optional<Output> m_finalOutput;
    explain::Decision m_decision;
    std::mt19937_64 m_random;
};

} // namespace spurlug::dispatch
