//----------------------------------------------------------------------------------------------------------------------
// spurlug: routes, services and organisations of the relay's configuration
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/counted.h"
#include "spurlug/core/enum_names.h"
#include "spurlug/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace spurlug::config
{

/// \brief Whether a request of a route may run more than once.
enum class RouteKind
{
    Repeatable, ///< May run more than once.
    AtMostOnce,
    Stream, ///< The answer is an event stream; repeatable if the route is resumable.
};

/// \brief A service of a route and the weight of its share of the requests.
struct ServiceShare
{
    std::string service;
    double weight = 1;
};

/// \brief Services and service levels for the requests of a host and path.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::AtMostOnce;
    std::vector<ServiceShare> services;
    core::Duration timeout; ///< Maximum time to answer a request.
    core::Duration latencyObjective; ///< Objective for the time to the answer, of streams to the first event.
    core::Duration gapObjective = absl::InfiniteDuration(); ///< Objective for the longest gap between events.
    std::int64_t priority = 0; ///< 0 is the most urgent.
    int maxTargets = 1; ///< Maximum number of targets that one request is sent to.
    bool isPublic = false; ///< Requests need no key.
    bool resumable = false; ///< A broken stream may continue at another target.

    /// \brief Whether a request that may have run can be sent again.
    [[nodiscard]] bool repeatable() const noexcept
    {
        return kind == RouteKind::Repeatable || (kind == RouteKind::Stream && resumable);
    }
};

/// \brief Cost model of a model engine's batch passes, as published by the operator.
struct EngineCosts
{
    double stepMs = 1; ///< Duration of a token step, ms.
    double perSequenceMs = 0; ///< Added to a step by each decoding request, ms.
    double contextMsPerThousandTokens = 0; ///< Added to a step by each 1,000 tokens of context, ms.
    double prefillTokensPerMs = 200; ///< Prompt tokens prefilled per ms.
    double prefillMsPerMillionPairs
        = 0; ///< Added to prefill by each million pairs of a token and an earlier token, ms.
    double multiEngineStepMs = 0; ///< Added to each step by a prompt that is spread over several engines, ms.
    std::int64_t maxChunkTokens = 2048; ///< Maximum prompt tokens prefilled in one step.
    int stepsPerPass = 1; ///< Token steps of a pass with decoding requests.
    int slots = 1; ///< Maximum number of concurrent requests.
    std::int64_t kvMemoryTokens = 0; ///< KV memory, in tokens.
    std::int64_t meanPromptTokens = 0; ///< Mean prompt length, in tokens.
    std::int64_t meanAnswerTokens = 0; ///< Mean answer length, in tokens.
};

/// \brief Smallest gap objectives of the streams of a service; infinite when there are no such streams.
struct GapObjectives
{
    core::Duration shortGapStreams = absl::InfiniteDuration(); ///< Of streams that tolerate only short gaps.
    core::Duration otherStreams = absl::InfiniteDuration(); ///< Of all other streams.
    core::Duration longestGap = absl::ZeroDuration(); ///< Longest gap objective of any stream; 0 if there is none.
};

/// \brief A service and the properties shared by its targets.
struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    core::Duration warmUpTime = absl::ZeroDuration(); ///< Warm-up time: a target is slow for this long after its start.
    double warmUpRequestsPerSecond = 0; ///< Requests per second accepted during warm-up; 0: as many as afterwards.
    std::int64_t maxConnections = 0; ///< Maximum connections to one target from all daemons together.
    std::optional<EngineCosts> engine; ///< Set when the targets are model engines.

    /// \brief Whether the usual request fills the KV memory of an engine as soon as it fills its slots. Neither is then
    /// a reserve for the other: an engine with free slots may lack memory, and the reverse. False if no usual request
    /// is configured.
    [[nodiscard]] bool memoryBound() const noexcept;
};

/// \brief Limits for requests of callers.
struct CallerLimits
{
    std::int64_t maxHeadBytes = 16 << 10;
    std::int64_t maxBodyBytes = 4 << 20;
    core::Duration headTimeout = absl::Seconds(3);
    core::Duration idleTimeout = absl::Seconds(15);
};

/// \brief An organisation for which requests are served.
struct OrganisationSpec
{
    std::string name;
    std::int64_t priority = -1; ///< Overrides the route's priority; -1: not set.
};

/// \brief One version of the relay's configuration; immutable once it is shared.
struct RouteTable : core::RefCounted<RouteTable>
{
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::unordered_map<std::string, ServiceSpec> services;
    CallerLimits limits;
    bool keysRequired = false; ///< Whether requests of non-public routes need a key.
    std::unordered_map<std::string, OrganisationSpec> organisationByKey;

    /// \brief The route with the longest prefix of `path` among those of `host`; null when there is none.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const noexcept;
    /// \brief The route called `name`; null when there is none.
    [[nodiscard]] const Route *routeNamed(std::string_view name) const noexcept;
    /// \brief The service called `name`; null when there is none.
    [[nodiscard]] const ServiceSpec *serviceNamed(const std::string &name) const noexcept;
    /// \brief Whether the engines of any service have no reserve, see ServiceSpec::memoryBound.
    [[nodiscard]] bool contended() const noexcept;
    /// \brief Smallest gap objectives of the streams of each service.
    /// \param shortGapThreshold Streams with a gap objective below this tolerate only short gaps.
    [[nodiscard]] std::unordered_map<std::string, GapObjectives> gapObjectives(core::Duration shortGapThreshold) const;
    /// \brief The organisation that owns a key; null when there is none.
    [[nodiscard]] const OrganisationSpec *organisationForKey(const std::string &key) const noexcept;
};

/// \brief A shared, immutable route table.
using RouteTableRef = core::Ref<const RouteTable>;

} // namespace spurlug::config

namespace spurlug::core
{

template<>
struct EnumNames<config::RouteKind>
{
    using Kind = config::RouteKind;
    static constexpr std::array table{
        EnumName<Kind>{Kind::Repeatable, "repeatable"},
        EnumName<Kind>{Kind::AtMostOnce, "at_most_once"},
        EnumName<Kind>{Kind::Stream, "stream"},
    };
};

} // namespace spurlug::core
