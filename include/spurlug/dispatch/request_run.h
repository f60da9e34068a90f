//----------------------------------------------------------------------------------------------------------------------
// spurlug: the life of one admitted request
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/admission/byte_budget.h"
#include "spurlug/config/configuration.h"
#include "spurlug/core/counted.h"
#include "spurlug/core/worker_pool.h"
#include "spurlug/dispatch/event_channel.h"
#include "spurlug/dispatch/reassembly.h"
#include "spurlug/dispatch/retry.h"
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

/// \brief What requests share; outlives every request.
struct RunContext
{
    targets::TargetTable &targets;
    metrics::Metrics &metrics;
    explain::DecisionRing &decisions;
    core::WorkerPool &attempts; ///< Threads that read targets.
    grants::GroupKeeper &groups;
    grants::AcquireGrant acquireGrant;
    RetryBudget &retryBudget;
    RetryRule retryRule;
    routing::RouteRule routeRule;
    std::string failureDomain; ///< Targets here are taken first.
    std::atomic<std::int64_t> inProgress{0};
    std::atomic<std::uint64_t> turn{0}; ///< Of round robin.
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
    config::ConfigurationRef configuration; ///< Keeps `targets` alive.
    const std::vector<config::TargetSpec> *targets = nullptr;
    std::string route; ///< Pool or service.
    std::string organisation;
    double weight = 1.0;
    std::string requestClass;
    std::int64_t priority = 0;
    std::int64_t tokens = 0; ///< Prompt.
    std::int64_t kvTokens = 0; ///< KV memory the whole request needs.
    int engines = 1;
    config::RoutingStrategy routing = config::RoutingStrategy::ExpectedTtft;
    bool isLong = false; ///< Needs a grant.
    std::uint64_t prefix = 0;
    bool repeatable = true;
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers; ///< Passed on to the target.
    std::string body;
    admission::ByteBudget::Hold bodyHold;
    core::Time arrivedAt;
    core::Time deadline;
};

/// \brief Nothing happened while waiting.
struct Quiet
{ };

/// \brief Tokens to hand to the caller, in order, each once.
struct Tokens
{
    std::vector<std::string> payloads;
};

/// \brief The whole answer was handed out.
struct Finished
{
    std::string payload; ///< Usage and finish reason; empty for plain services.
};

/// \brief The request failed for good.
struct Failed
{
    AttemptEnd end;
};

/// \brief What a request hands to its caller.
using Output = std::variant<Quiet, Tokens, HeadEvent, BytesEvent, Finished, Failed>;

/// \brief Drives one request through its attempts until it is finished, fails or passes its deadline.
///
/// Used by one thread at a time. The end of its life cancels what is in progress and records the decision.
class RequestRun : public core::Counted<RequestRun>
{
public:
    RequestRun(RunContext &context, AdmittedRequest request);
    ~RequestRun();
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    /// \brief Waits for the next output, at most `wait`. After Finished or Failed it returns the same again.
    [[nodiscard]] Output next(core::Duration wait);

    /// \brief Gives the request up because its caller is gone.
    void abandon();

    [[nodiscard]] const AdmittedRequest &request() const noexcept;

    /// \brief How the request ended; nothing while it goes on.
    [[nodiscard]] std::optional<core::Outcome> outcome() const noexcept;

private:
    [[nodiscard]] Output pursue(core::Duration wait, core::Time now);
    [[nodiscard]] Output awaitEvent(core::Duration wait, core::Time now);
    [[nodiscard]] bool prepareGroup(core::Duration wait, core::Time now);
    [[nodiscard]] std::optional<grants::Granted> askForGrant(core::Duration wait, core::Time now);
    [[nodiscard]] core::Ref<grants::Group> reserveGroup(const grants::Granted &granted, core::Time now);
    void startAttempt(core::Time now);
    void sendTo(const core::Address &address, const std::vector<std::string> &ids, core::Time now);
    [[nodiscard]] AttemptRequest makeAttempt(const core::Address &address) const;
    [[nodiscard]] std::optional<targets::TargetView> chooseShort(core::Time now);
    [[nodiscard]] Output take(AttemptEvent event, core::Time now);
    [[nodiscard]] Output takeToken(TokenEvent event, core::Time now);
    [[nodiscard]] Output takeEnd(const AttemptEnd &end, core::Time now);
    [[nodiscard]] Output afterFailure(const AttemptEnd &end, core::Time now);
    [[nodiscard]] Output fail(AttemptEnd end, core::Time now);
    void closeAttempt(const AttemptEnd &end, core::Time now);
    void noteFirstToken(core::Time now);
    void recordEnd(core::Outcome outcome, core::Reason reason, core::Time now);

    RunContext &m_context;
    const AdmittedRequest m_request;
    Reassembly m_reassembly;
    core::Ref<EventChannel> m_channel; ///< Of the attempt in progress; null between attempts.
    core::Ref<grants::Group> m_group;
    std::vector<std::string> m_current; ///< Targets of the attempt in progress.
    std::vector<std::string> m_tried;
    core::Time m_notBefore = absl::InfinitePast(); ///< A retry waits until then.
    core::Time m_lastToken = absl::InfinitePast();
    int m_attempts = 0;
    bool m_headSent = false; ///< Part of a plain response was handed out: no retry any more.
    bool m_mayHaveRun = false; ///< Some attempt may have run.
    std::optional<FinishEvent> m_finish;
    std::optional<Output> m_end;
    explain::Decision m_decision;
    std::mt19937_64 m_random;
};

} // namespace spurlug::dispatch
