//----------------------------------------------------------------------------------------------------------------------
// spurlug: the fleet's configuration, as written by operators
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/config/configuration.h"

#include "spurlug/core/error.h"
#include "spurlug/core/hash.h"
#include "spurlug/core/text.h"

#include <algorithm>
#include <set>

namespace spurlug::config
{

namespace
{

constexpr std::int64_t MaxTokens = 100'000'000;
constexpr std::int64_t MaxDurationMs = 86'400'000;
constexpr std::int64_t MaxGroupSize = 64;
constexpr std::int64_t MaxPriority = 1000;
constexpr std::size_t DigestDigits = 64;
constexpr double MaxRate = 1e12;

template<typename Item>
const Item *findByName(const std::vector<Item> &items, std::string_view name) noexcept
{
    const auto found = std::find_if(items.begin(), items.end(), [name](const Item &item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

TargetSpec parseTarget(core::ObjectReader &reader)
{
    TargetSpec target;
    target.id = reader.string("id");
    target.failureDomain = reader.string("failureDomain");
    target.checksFencingEpoch = reader.boolean("checksFence", false);
    const auto address = reader.string("address");
    try {
        target.address = core::parseAddress(address.empty() ? "missing:0" : address);
    } catch (const core::InvalidDocument &) {
        reader.addFault("address", "HOST:PORT");
    }
    return target;
}

Pool parsePool(core::ObjectReader &reader)
{
    Pool pool;
    pool.name = reader.string("name");
    pool.model = reader.string("model");
    pool.longPromptTokens = reader.integer("longThresholdTokens", 1, MaxTokens, pool.longPromptTokens);
    pool.engineKvTokens = reader.integer("engineTokens", 1, MaxTokens, pool.engineKvTokens);
    pool.maxGroupSize = reader.integer("maxGroup", 1, MaxGroupSize, pool.maxGroupSize);
    pool.maxLongPromptShare = reader.number("longShare", 0, 1, pool.maxLongPromptShare);
    pool.initialBytesPerToken = reader.number("bytesPerToken", 0.1, 100, pool.initialBytesPerToken);
    const auto routing = core::enumFromName<RoutingStrategy>(reader.string("routing", "expected_ttft"));
    if (!routing) {
        reader.addFault("routing", "expected_ttft, random, round_robin, least_outstanding or power_of_two");
    }
    pool.routing = routing.value_or(RoutingStrategy::ExpectedTtft);
    reader.forEachObject("targets", [&](core::ObjectReader &child) { pool.targets.push_back(parseTarget(child)); });
    return pool;
}

Service parseService(core::ObjectReader &reader)
{
    Service service;
    service.name = reader.string("name");
    service.repeatableMethods = reader.strings("repeatableMethods");
    reader.forEachObject("targets", [&](core::ObjectReader &child) { service.targets.push_back(parseTarget(child)); });
    return service;
}

KeyDigest parseKeyDigest(core::ObjectReader &reader)
{
    KeyDigest key;
    key.salt = reader.string("salt");
    key.digest = reader.string("digest");
    if (key.digest.size() != DigestDigits) {
        reader.addFault("digest", "64 hexadecimal digits");
    }
    return key;
}

Organisation parseOrganisation(core::ObjectReader &reader)
{
    Organisation organisation;
    organisation.name = reader.string("name");
    organisation.weight = reader.number("weight", 0.001, 1000, organisation.weight);
    organisation.maxRequestsPerSecond = reader.number("requestsPerSecond", 0, MaxRate, 0);
    organisation.maxPromptTokensPerMinute = reader.number("promptTokensPerMinute", 0, MaxRate, 0);
    organisation.maxConcurrentLongPrompts = reader.integer("longPromptsAtOnce", 0, MaxTokens, 0);
    reader.forEachObject("keys",
                         [&](core::ObjectReader &child) { organisation.keys.push_back(parseKeyDigest(child)); });
    return organisation;
}

RequestClass parseRequestClass(core::ObjectReader &reader)
{
    RequestClass requestClass;
    requestClass.name = reader.string("name");
    requestClass.defaultDeadline
        = core::fromMs(reader.integer("defaultDeadlineMs", 1, MaxDurationMs, core::toMs(requestClass.defaultDeadline)));
    requestClass.maxDeadline
        = core::fromMs(reader.integer("maxDeadlineMs", 1, MaxDurationMs, core::toMs(requestClass.maxDeadline)));
    requestClass.priority = reader.integer("priority", 0, MaxPriority, 0);
    if (requestClass.defaultDeadline > requestClass.maxDeadline) {
        reader.addFault("defaultDeadlineMs", "at most maxDeadlineMs");
    }
    return requestClass;
}

/// Records a fault when a name occurs twice in a list.
class UniqueNames
{
public:
    explicit UniqueNames(std::vector<core::Fault> &faults)
        : m_faults(faults)
    { }

    void add(const std::string &pointer, const std::string &name)
    {
        if (!m_seen.insert(name).second) {
            m_faults.push_back({pointer, core::cat("a unique name ('", name, "' occurs twice)")});
        }
    }

private:
    std::vector<core::Fault> &m_faults;
    std::set<std::string> m_seen;
};

void checkNames(const Configuration &configuration, std::vector<core::Fault> &faults)
{
    UniqueNames models(faults);
    UniqueNames targets(faults);
    for (const auto &pool : configuration.pools) {
        models.add("/pools", pool.model);
        for (const auto &target : pool.targets) {
            targets.add("/pools", target.id);
        }
    }
    UniqueNames services(faults);
    for (const auto &service : configuration.services) {
        services.add("/services", service.name);
        for (const auto &target : service.targets) {
            targets.add("/services", target.id);
        }
    }
    UniqueNames organisations(faults);
    UniqueNames salts(faults);
    for (const auto &organisation : configuration.organisations) {
        organisations.add("/organisations", organisation.name);
        for (const auto &key : organisation.keys) {
            salts.add("/organisations", key.salt);
        }
    }
    UniqueNames classes(faults);
    for (const auto &requestClass : configuration.classes) {
        classes.add("/classes", requestClass.name);
    }
}

} // namespace

const Pool *Configuration::poolForModel(std::string_view model) const noexcept
{
    const auto found
        = std::find_if(pools.begin(), pools.end(), [model](const Pool &pool) { return pool.model == model; });
    return found == pools.end() ? nullptr : &*found;
}

const Pool *Configuration::poolNamed(std::string_view name) const noexcept
{
    return findByName(pools, name);
}

const Service *Configuration::serviceNamed(std::string_view name) const noexcept
{
    return findByName(services, name);
}

const RequestClass *Configuration::classNamed(std::string_view name) const noexcept
{
    return findByName(classes, name);
}

const Organisation *Configuration::organisationNamed(std::string_view name) const noexcept
{
    const auto found = m_organisationsByName.find(name);
    return found == m_organisationsByName.end() ? nullptr : &organisations[found->second];
}

const Organisation *Configuration::organisationForKey(std::string_view key) const
{
    const auto salt = key.substr(0, key.find('.'));
    const auto found = m_keyOwners.find(salt);
    if (found == m_keyOwners.end() || !core::equalInConstantTime(keyDigest(salt, key), found->second.digest)) {
        return nullptr;
    }
    return &organisations[found->second.organisation];
}

void Configuration::buildIndex()
{
    for (std::size_t i = 0; i < organisations.size(); ++i) {
        m_organisationsByName[organisations[i].name] = i;
        for (const auto &key : organisations[i].keys) {
            m_keyOwners[key.salt] = KeyOwner{key.digest, i};
        }
    }
}

std::string keyDigest(std::string_view salt, std::string_view key)
{
    return core::sha256Hex(core::cat(salt, "\n", key));
}

ConfigurationRef parseConfiguration(const nlohmann::json &document, std::int64_t generation,
                                    std::vector<core::Fault> &faults)
{
    auto configuration = core::makeRef<Configuration>();
    configuration->generation = generation;
    core::ObjectReader reader(document, "", faults);
    reader.forEachObject("pools", [&](auto &child) { configuration->pools.push_back(parsePool(child)); });
    reader.forEachObject("services", [&](auto &child) { configuration->services.push_back(parseService(child)); });
    reader.forEachObject("organisations",
                         [&](auto &child) { configuration->organisations.push_back(parseOrganisation(child)); });
    reader.forEachObject("classes", [&](auto &child) { configuration->classes.push_back(parseRequestClass(child)); });
    reader.rejectUnknownMembers();
    checkNames(*configuration, faults);
    configuration->buildIndex();
    return configuration;
}

} // namespace spurlug::config
