//----------------------------------------------------------------------------------------------------------------------
// spurlug: routes, services and organisations of the relay
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

/// \brief What may be done twice with a request of a route.
enum class RouteKind
{
    Repeatable, ///< May run more than once.
    AtMostOnce,
    Stream, ///< Answers with events; repeatable where it can be resumed.
};

/// \brief A service that a route sends to, and its share of the requests.
struct ServiceShare
{
    std::string service;
    double weight = 1;
};

/// \brief Where requests of a host and path go, and what is promised for them.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::AtMostOnce;
    std::vector<ServiceShare> services;
    core::Duration timeout; ///< Longest time a request is held.
    core::Duration aim; ///< Time to the answer, of streams to the first event, that counts as in time.
    core::Duration gapAim = absl::InfiniteDuration(); ///< Longest pause between events that counts as in time.
    std::int64_t priority = 0; ///< 0 is the most urgent.
    int mostTargets = 1; ///< Most targets that one request is sent to.
    bool isPublic = false; ///< Needs no key.
    bool resumable = false; ///< A broken stream may go on at another target.

    /// \brief Whether a request that may have run can be sent again.
    [[nodiscard]] bool repeatable() const noexcept
    {
        return kind == RouteKind::Repeatable || (kind == RouteKind::Stream && resumable);
    }
};

/// \brief How fast a model engine works: its batch passes, as the operator publishes them.
struct EngineCosts
{
    double stepMs = 1; ///< One token step, ms.
    double perSequenceMs = 0; ///< Added to a step by each request that generates, ms.
    double contextMsPerThousand = 0; ///< Added to a step by each 1,000 tokens of context, ms.
    double readTokensPerMs = 200; ///< Prompt tokens read in one ms.
    double pairsMsPerMillion = 0; ///< Added to reading by each million pairs of a token and an earlier one, ms.
    double hopMs = 0; ///< Added to each step by a prompt that lies on several engines, ms.
    std::int64_t chunkTokens = 2048; ///< Most prompt tokens read in one step.
    int stepsPerPass = 1; ///< Token steps of a pass that has generating requests.
    int slots = 1; ///< Requests that run at once.
    std::int64_t memoryTokens = 0; ///< KV memory, tokens.
    std::int64_t usualPrompt = 0; ///< Mean prompt, tokens.
    std::int64_t usualAnswer = 0; ///< Mean answer, tokens.
};

/// \brief Shortest pauses between events that streams of a service bear; infinite where there are no such streams.
struct ShortestPauses
{
    core::Duration tight = absl::InfiniteDuration(); ///< Of tight streams.
    core::Duration loose = absl::InfiniteDuration(); ///< Of all others.
};

/// \brief A service and what its targets have in common.
struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    core::Duration coldStart = absl::ZeroDuration(); ///< A target is slow for this long after its start.
    double coldPerSecond = 0; ///< Requests a second that a cold target bears; 0: as many as a warm one.
    std::int64_t mostConnections = 0; ///< To one target, from all daemons together.
    std::optional<EngineCosts> engine; ///< Set where the targets are model engines.
};

/// \brief What callers may send.
struct CallerLimits
{
    std::int64_t headBytes = 16 << 10;
    std::int64_t bodyBytes = 4 << 20;
    core::Duration headTimeout = absl::Seconds(3);
    core::Duration idleTimeout = absl::Seconds(15);
};

/// \brief Whom requests are served for.
struct OrganisationSpec
{
    std::string name;
    std::int64_t priority = -1; ///< Goes before the route's; -1: not set.
};

/// \brief One version of the relay's configuration; never changes once made.
struct RouteTable : core::Counted<RouteTable>
{
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::unordered_map<std::string, ServiceSpec> services;
    CallerLimits limits;
    bool keysNeeded = false; ///< Whether requests of routes that are not public need a key.
    std::unordered_map<std::string, OrganisationSpec> organisationByKey;

    /// \brief The route with the longest prefix of `path` among those of `host`; null when there is none.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const noexcept;
    [[nodiscard]] const Route *named(std::string_view name) const noexcept;
    [[nodiscard]] const ServiceSpec *service(const std::string &name) const noexcept;
    /// \brief Shortest pauses of the streams of each service.
    /// \param tightGap Streams that bear only shorter pauses than this are tight.
    [[nodiscard]] std::unordered_map<std::string, ShortestPauses> shortestPauses(core::Duration tightGap) const;
    /// \brief The organisation that holds a key; null when none does.
    [[nodiscard]] const OrganisationSpec *organisation(const std::string &key) const noexcept;
};

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
