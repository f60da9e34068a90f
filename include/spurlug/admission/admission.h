//----------------------------------------------------------------------------------------------------------------------
// spurlug: whether a request is taken, and for whom
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/configuration.h"
#include "spurlug/core/time.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace spurlug::admission
{

/// \brief Who sent a request and under which terms.
struct Caller
{
    config::ConfigurationRef configuration;
    const config::Organisation *organisation = nullptr;
    const config::RequestClass *requestClass = nullptr; ///< Null: the default terms.
    core::Duration deadline; ///< From arrival.
};

/// \brief Finds out who sent a request.
/// \param authorization Value of the Authorization header.
/// \param className Value of the class header; empty: the first class, if there is one.
/// \param deadlineText Value of the deadline header, milliseconds; empty: the class's default.
/// \throws Refused
[[nodiscard]] Caller identifyCaller(const config::ConfigurationRef &configuration, std::string_view authorization,
                                    std::string_view className, std::string_view deadlineText);

/// \brief Engines that a prompt needs at once.
/// \throws Refused with PromptTooLong when no group may be that large.
[[nodiscard]] int enginesNeeded(const config::Pool &pool, std::int64_t kvTokens);

/// \brief Bytes per token of each model, learned from the usage that engines report. Safe to use from several threads.
class TokenRatios
{
public:
    /// \brief Takes an answer's usage into account.
    void learn(const std::string &model, std::int64_t promptBytes, std::int64_t promptTokens)
        ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Estimated tokens of a prompt.
    [[nodiscard]] std::int64_t estimate(const config::Pool &pool, std::int64_t promptBytes) const
        ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    mutable absl::Mutex m_mutex;
    std::map<std::string, double> m_bytesPerToken ABSL_GUARDED_BY(m_mutex);
};

} // namespace spurlug::admission
