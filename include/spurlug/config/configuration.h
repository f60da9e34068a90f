//----------------------------------------------------------------------------------------------------------------------
// spurlug: the fleet's configuration, as written by operators
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/routing_strategy.h"
#include "spurlug/core/address.h"
#include "spurlug/core/counted.h"
#include "spurlug/core/json_reader.h"
#include "spurlug/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace spurlug::config
{

/// \brief A target: a model engine or one process of a plain service.
struct TargetSpec
{
    std::string id;
    core::Address address;
    std::string failureDomain;
    bool checksFencingEpoch = false; ///< Whether the target rejects requests with an old fencing epoch.
};

/// \brief The engines that serve one model.
struct Pool
{
    std::string name;
    std::string model;
    std::int64_t longPromptTokens = 32'000; ///< Prompts of at least this size need a grant.
    std::int64_t engineKvTokens = 400'000; ///< KV memory of one engine, in tokens.
    std::int64_t maxGroupSize = 4; ///< Maximum number of engines that one prompt may occupy.
    double maxLongPromptShare = 0.5; ///< Maximum share of the engines that long prompts may occupy.
    RoutingStrategy routing = RoutingStrategy::ExpectedTtft;
    double initialBytesPerToken = 4.0; ///< Initial estimate; later learned from usage.
    std::vector<TargetSpec> targets;
};

/// \brief A plain service.
struct Service
{
    std::string name;
    std::vector<std::string> repeatableMethods; ///< HTTP methods of calls that may be sent again.
    std::vector<TargetSpec> targets;
};

/// \brief Salted digest of an API key; the key itself is never stored.
struct KeyDigest
{
    std::string salt;
    std::string digest; ///< SHA-256 of salt and key, 64 hexadecimal digits.
};

/// \brief An organisation for which requests are served.
struct Organisation
{
    std::string name;
    double weight = 1.0; ///< Relative share of contended targets.
    double maxRequestsPerSecond = 0; ///< 0: no limit.
    double maxPromptTokensPerMinute = 0; ///< 0: no limit.
    std::int64_t maxConcurrentLongPrompts = 0; ///< 0: no limit.
    std::vector<KeyDigest> keys;
};

/// \brief Deadlines and priority of a class of requests.
struct RequestClass
{
    std::string name;
    core::Duration defaultDeadline = absl::Seconds(60);
    core::Duration maxDeadline = absl::Seconds(600);
    std::int64_t priority = 0; ///< Engines serve lower values first.
};

/// \brief The configuration of one generation; immutable once it is shared.
struct Configuration : core::RefCounted<Configuration>
{
    std::int64_t generation = 0;
    std::vector<Pool> pools;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    std::vector<RequestClass> classes;

    /// \name Look-ups; null when there is no match
    /// @{
    [[nodiscard]] const Pool *poolForModel(std::string_view model) const noexcept;
    [[nodiscard]] const Pool *poolNamed(std::string_view name) const noexcept;
    [[nodiscard]] const Service *serviceNamed(std::string_view name) const noexcept;
    [[nodiscard]] const RequestClass *classNamed(std::string_view name) const noexcept;
    [[nodiscard]] const Organisation *organisationNamed(std::string_view name) const noexcept;
    /// \brief The organisation that owns an API key.
    ///
    /// The text before the key's first dot (`salt.secret`) identifies its digest, so that one hash is computed whatever
    /// the number of organisations.
    [[nodiscard]] const Organisation *organisationForKey(std::string_view key) const;
    /// @}

    /// \brief Builds the look-up tables; call once, before the configuration is shared.
    void buildIndex();

private:
    struct KeyOwner
    {
        std::string digest;
        std::size_t organisation;
    };
    std::map<std::string, KeyOwner, std::less<>> m_keyOwners;
    std::map<std::string, std::size_t, std::less<>> m_organisationsByName;
};

/// \brief A shared, immutable configuration.
using ConfigurationRef = core::Ref<const Configuration>;

/// \brief Digest under which an API key is stored.
[[nodiscard]] std::string keyDigest(std::string_view salt, std::string_view key);

/// \brief Parses a whole configuration document and records every fault in it.
/// \param generation Generation of the result.
/// \returns A configuration that is valid only if no fault was added to `faults`.
[[nodiscard]] ConfigurationRef parseConfiguration(const nlohmann::json &document, std::int64_t generation,
                                                  std::vector<core::Fault> &faults);

} // namespace spurlug::config
