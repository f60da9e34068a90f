//----------------------------------------------------------------------------------------------------------------------
// spurlug: identification of callers and estimation of prompt sizes
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/admission/admission.h"

#include "spurlug/core/error.h"
#include "spurlug/core/text.h"

#include <algorithm>
#include <cmath>

namespace spurlug::admission
{

namespace
{

using core::Reason;
using core::Refused;

constexpr std::string_view Bearer = "Bearer ";

const config::Organisation &findOrganisation(const config::Configuration &configuration, std::string_view authorization)
{
    if (!authorization.starts_with(Bearer)) {
        throw Refused(Reason::MissingKey, "send an API key as 'Authorization: Bearer KEY'");
    }
    const auto *organisation = configuration.organisationForKey(authorization.substr(Bearer.size()));
    if (organisation == nullptr) {
        throw Refused(Reason::UnknownKey, "the API key is not known");
    }
    return *organisation;
}

const config::RequestClass *findClass(const config::Configuration &configuration, std::string_view name)
{
    if (name.empty()) {
        return configuration.classes.empty() ? nullptr : &configuration.classes.front();
    }
    const auto *requestClass = configuration.classNamed(name);
    if (requestClass == nullptr) {
        throw Refused(Reason::UnknownClass, core::cat("there is no request class '", name, "'"));
    }
    return requestClass;
}

core::Duration parseDeadline(std::string_view text, const config::RequestClass &terms)
{
    if (text.empty()) {
        return terms.defaultDeadline;
    }
    std::int64_t milliseconds = 0;
    if (!core::parseInteger(text, milliseconds) || milliseconds <= 0) {
        throw Refused(Reason::InvalidDeadline, "the deadline must be a positive number of milliseconds");
    }
    return std::min(core::fromMs(milliseconds), terms.maxDeadline);
}

} // namespace

Caller identifyCaller(const config::ConfigurationRef &configuration, std::string_view authorization,
                      std::string_view className, std::string_view deadlineText)
{
    constexpr int RetryAfterSeconds = 1;
    if (!configuration) {
        throw Refused(Reason::NotReady, "this daemon has no configuration yet", RetryAfterSeconds);
    }
    static const config::RequestClass defaultTerms;
    Caller caller;
    caller.configuration = configuration;
    caller.organisation = &findOrganisation(*configuration, authorization);
    caller.requestClass = findClass(*configuration, className);
    caller.deadline = parseDeadline(deadlineText, caller.requestClass ? *caller.requestClass : defaultTerms);
    return caller;
}

int enginesNeeded(const config::Pool &pool, std::int64_t kvTokens)
{
    const auto engines = (kvTokens + pool.engineKvTokens - 1) / pool.engineKvTokens;
    if (engines > pool.maxGroupSize) {
        throw Refused(Reason::PromptTooLong,
                      core::cat("the prompt and its answer need ", kvTokens, " tokens of memory; at most ",
                                pool.maxGroupSize * pool.engineKvTokens, " can be had"));
    }
    return static_cast<int>(std::max<std::int64_t>(engines, 1));
}

void TokenEstimator::update(const std::string &model, std::int64_t promptBytes, std::int64_t promptTokens)
{
    if (promptBytes <= 0 || promptTokens <= 0) {
        return;
    }
    constexpr double SampleWeight = 0.05; // Of one answer in the moving average.
    const double ratio = static_cast<double>(promptBytes) / static_cast<double>(promptTokens);
    absl::MutexLock lock(&m_mutex);
    auto &mean = m_bytesPerToken.try_emplace(model, ratio).first->second;
    mean += SampleWeight * (ratio - mean);
}

std::int64_t TokenEstimator::estimate(const config::Pool &pool, std::int64_t promptBytes) const
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_bytesPerToken.find(pool.model);
    const double ratio = found == m_bytesPerToken.end() ? pool.initialBytesPerToken : found->second;
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(promptBytes) / ratio));
}

} // namespace spurlug::admission
