//----------------------------------------------------------------------------------------------------------------------
// spurlug: identification of callers and estimation of prompt sizes
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

/// \brief Sender of a request and the terms that apply to it.
struct Caller
{
    config::ConfigurationRef configuration; ///< Owns what the pointers refer to.
    const config::Organisation *organisation = nullptr;
    const config::RequestClass *requestClass = nullptr; ///< Null for the default terms.
    core::Duration deadline; ///< Measured from arrival.
};

/// \brief Determines the caller of a request from its headers.
/// \param authorization Value of the Authorization header.
/// \param className Value of the class header; if empty, the first class is used, if there is one.
/// \param deadlineText Value of the deadline header in milliseconds; if empty, the class's default is used.
/// \throws Refused with NotReady, MissingKey, UnknownKey, UnknownClass or InvalidDeadline.
[[nodiscard]] Caller identifyCaller(const config::ConfigurationRef &configuration, std::string_view authorization,
                                    std::string_view className, std::string_view deadlineText);

/// \brief Number of engines that a prompt needs at the same time.
/// \param kvTokens KV memory for the prompt and its answer.
/// \throws Refused with PromptTooLong if that exceeds the pool's largest group.
[[nodiscard]] int enginesNeeded(const config::Pool &pool, std::int64_t kvTokens);

/// \brief Bytes per token of each model, estimated from the usage that engines report. Thread-safe.
class TokenEstimator
{
public:
    /// \brief Updates the estimate with the usage of an answer.
    void update(const std::string &model, std::int64_t promptBytes, std::int64_t promptTokens)
        ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Estimated number of tokens of a prompt.
    [[nodiscard]] std::int64_t estimate(const config::Pool &pool, std::int64_t promptBytes) const
        ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    mutable absl::Mutex m_mutex;
    std::map<std::string, double> m_bytesPerToken ABSL_GUARDED_BY(m_mutex);
};

} // namespace spurlug::admission
