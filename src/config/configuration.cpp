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

constexpr std::int64_t MostTokens = 100'000'000;
constexpr std::int64_t MostMs = 86'400'000;
constexpr std::int64_t MostGroup = 64;
constexpr std::int64_t MostPriority = 1000;
constexpr std::size_t DigestDigits = 64;
constexpr double MostRate = 1e12;

template<typename Item>
const Item *findNamed(const std::vector<Item> &items, std::string_view name) noexcept
{
    const auto found = std::find_if(items.begin(), items.end(), [name](const Item &item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

TargetSpec readTarget(core::ObjectReader &reader)
{
    TargetSpec target;
    target.id = reader.text("id");
    target.failureDomain = reader.text("failureDomain");
    target.checksFence = reader.flag("checksFence", false);
    const auto address = reader.text("address");
    try {
        target.address = core::parseAddress(address.empty() ? "missing:0" : address);
    } catch (const core::InvalidDocument &) {
        reader.fault("address", "HOST:PORT");
    }
    return target;
}

Pool readPool(core::ObjectReader &reader)
{
    Pool pool;
    pool.name = reader.text("name");
    pool.model = reader.text("model");
    pool.longThresholdTokens = reader.integer("longThresholdTokens", 1, MostTokens, pool.longThresholdTokens);
    pool.engineTokens = reader.integer("engineTokens", 1, MostTokens, pool.engineTokens);
    pool.maxGroup = reader.integer("maxGroup", 1, MostGroup, pool.maxGroup);
    pool.longShare = reader.number("longShare", 0, 1, pool.longShare);
    pool.bytesPerToken = reader.number("bytesPerToken", 0.1, 100, pool.bytesPerToken);
    const auto routing = core::valueNamed<RoutingStrategy>(reader.text("routing", "expected_ttft"));
    if (!routing) {
        reader.fault("routing", "expected_ttft, random, round_robin, least_outstanding or power_of_two");
    }
    pool.routing = routing.value_or(RoutingStrategy::ExpectedTtft);
    reader.objects("targets", [&](core::ObjectReader &child) { pool.targets.push_back(readTarget(child)); });
    return pool;
}

Service readService(core::ObjectReader &reader)
{
    Service service;
    service.name = reader.text("name");
    service.repeatableMethods = reader.texts("repeatableMethods");
    reader.objects("targets", [&](core::ObjectReader &child) { service.targets.push_back(readTarget(child)); });
    return service;
}

KeyDigest readKey(core::ObjectReader &reader)
{
    KeyDigest key;
    key.salt = reader.text("salt");
    key.digest = reader.text("digest");
    if (key.digest.size() != DigestDigits) {
        reader.fault("digest", "64 hexadecimal digits");
    }
    return key;
}

Organisation readOrganisation(core::ObjectReader &reader)
{
    Organisation organisation;
    organisation.name = reader.text("name");
    organisation.weight = reader.number("weight", 0.001, 1000, organisation.weight);
    organisation.requestsPerSecond = reader.number("requestsPerSecond", 0, MostRate, 0);
    organisation.promptTokensPerMinute = reader.number("promptTokensPerMinute", 0, MostRate, 0);
    organisation.longPromptsAtOnce = reader.integer("longPromptsAtOnce", 0, MostTokens, 0);
    reader.objects("keys", [&](core::ObjectReader &child) { organisation.keys.push_back(readKey(child)); });
    return organisation;
}

RequestClass readClass(core::ObjectReader &reader)
{
    RequestClass requestClass;
    requestClass.name = reader.text("name");
    requestClass.defaultDeadline
        = core::fromMs(reader.integer("defaultDeadlineMs", 1, MostMs, core::toMs(requestClass.defaultDeadline)));
    requestClass.maxDeadline
        = core::fromMs(reader.integer("maxDeadlineMs", 1, MostMs, core::toMs(requestClass.maxDeadline)));
    requestClass.priority = reader.integer("priority", 0, MostPriority, 0);
    if (requestClass.defaultDeadline > requestClass.maxDeadline) {
        reader.fault("defaultDeadlineMs", "at most maxDeadlineMs");
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
    return findNamed(pools, name);
}

const Service *Configuration::serviceNamed(std::string_view name) const noexcept
{
    return findNamed(services, name);
}

const RequestClass *Configuration::classNamed(std::string_view name) const noexcept
{
    return findNamed(classes, name);
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

void Configuration::index()
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
    return core::contentHash(core::cat(salt, "\n", key));
}

ConfigurationRef readConfiguration(const nlohmann::json &document, std::int64_t generation,
                                   std::vector<core::Fault> &faults)
{
    auto configuration = core::makeCounted<Configuration>();
    configuration->generation = generation;
    core::ObjectReader reader(document, "", faults);
    reader.objects("pools", [&](auto &child) { configuration->pools.push_back(readPool(child)); });
    reader.objects("services", [&](auto &child) { configuration->services.push_back(readService(child)); });
    reader.objects("organisations",
                   [&](auto &child) { configuration->organisations.push_back(readOrganisation(child)); });
    reader.objects("classes", [&](auto &child) { configuration->classes.push_back(readClass(child)); });
    reader.rejectOthers();
    checkNames(*configuration, faults);
    configuration->index();
    return configuration;
}

} // namespace spurlug::config
