//----------------------------------------------------------------------------------------------------------------------
// spurlug: the fleet's configuration, as operators write it
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

/// \brief One back end: a model engine or one process of a plain service.
struct TargetSpec
{
    std::string id;
    core::Address address;
    std::string failureDomain;
    bool checksFence = false; ///< Whether the target refuses orders with an old fencing epoch.
};

/// \brief Engines that serve one model.
struct Pool
{
    std::string name;
    std::string model;
    std::int64_t longThresholdTokens = 32'000; ///< Prompts from this size on need a grant.
    std::int64_t engineTokens = 400'000; ///< KV memory of one engine, tokens.
    std::int64_t maxGroup = 4; ///< Most engines that one prompt may occupy.
    double longShare = 0.5; ///< Largest share of the engines that long prompts may occupy.
    RoutingStrategy routing = RoutingStrategy::ExpectedTtft;
    double bytesPerToken = 4.0; ///< First estimate; learned from usage afterwards.
    std::vector<TargetSpec> targets;
};

/// \brief A plain service.
struct Service
{
    std::string name;
    std::vector<std::string> repeatableMethods; ///< HTTP methods whose calls may be sent again.
    std::vector<TargetSpec> targets;
};

/// \brief An API key as it is kept: never the key itself.
struct KeyDigest
{
    std::string salt;
    std::string digest; ///< SHA-256 of salt and key, 64 hexadecimal digits.
};

/// \brief Who a request is served for.
struct Organisation
{
    std::string name;
    double weight = 1.0; ///< Share when targets are contended.
    double requestsPerSecond = 0; ///< 0: no limit.
    double promptTokensPerMinute = 0; ///< 0: no limit.
    std::int64_t longPromptsAtOnce = 0; ///< 0: no limit.
    std::vector<KeyDigest> keys;
};

/// \brief What a caller may ask for in time and urgency.
struct RequestClass
{
    std::string name;
    core::Duration defaultDeadline = absl::Seconds(60);
    core::Duration maxDeadline = absl::Seconds(600);
    std::int64_t priority = 0; ///< Lower is served earlier by engines.
};

/// \brief A whole configuration of one generation; immutable once it is shared.
struct Configuration : core::Counted<Configuration>
{
    std::int64_t generation = 0;
    std::vector<Pool> pools;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    std::vector<RequestClass> classes;

    [[nodiscard]] const Pool *poolForModel(std::string_view model) const noexcept;
    [[nodiscard]] const Pool *poolNamed(std::string_view name) const noexcept;
    [[nodiscard]] const Service *serviceNamed(std::string_view name) const noexcept;
    [[nodiscard]] const RequestClass *classNamed(std::string_view name) const noexcept;
    [[nodiscard]] const Organisation *organisationNamed(std::string_view name) const noexcept;
    /// \brief The organisation whose key this is, or null.
    ///
    /// The key names its digest by the text before its first dot (`salt.secret`), so that one hash is computed however
    /// many organisations there are.
    [[nodiscard]] const Organisation *organisationForKey(std::string_view key) const;
    /// \brief Builds the tables behind the look-ups; call once, before sharing.
    void index();

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

/// \brief Digest under which an API key is kept.
[[nodiscard]] std::string keyDigest(std::string_view salt, std::string_view key);

/// \brief Reads a whole configuration document and notes every fault in it.
/// \param generation Generation that the result carries.
/// \returns A configuration, of use only when `faults` stayed empty.
[[nodiscard]] ConfigurationRef readConfiguration(const nlohmann::json &document, std::int64_t generation,
                                                 std::vector<core::Fault> &faults);

} // namespace spurlug::config
