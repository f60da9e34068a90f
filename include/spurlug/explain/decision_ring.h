//----------------------------------------------------------------------------------------------------------------------
// spurlug: ring buffer of the latest routing decisions
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/reason.h"
#include "spurlug/core/time.h"
#include "spurlug/routing/choose.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <cstdint>
#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace spurlug::explain
{

/// \brief One attempt of a recorded request.
struct AttemptRecord
{
    std::vector<routing::Candidate> candidates; ///< All candidates that were considered.
    std::vector<std::string> chosen; ///< The chosen target, or the targets of the chosen group.
    core::Duration startedAfter; ///< Time since the request arrived.
    core::Outcome outcome = core::Outcome::NotRun;
    core::Reason reason = core::Reason::None;
    std::string detail;
};

/// \brief Record of how and why a request was routed.
struct Decision
{
    std::string requestId;
    std::string organisation;
    std::string requestClass;
    std::string route; ///< Name of the model or service.
    std::int64_t generation = 0;
    std::int64_t promptTokens = 0; ///< Estimated prompt tokens.
    int engines = 1;
    core::Duration deadline;
    core::Duration waitedForGrant;
    core::Duration timeToFirstToken = absl::InfiniteDuration();
    core::Duration total;
    std::vector<AttemptRecord> attempts;
    core::Outcome outcome = core::Outcome::NotRun;
    core::Reason reason = core::Reason::None;
};

/// \brief Converts a decision to the form shown by `spurlugctl explain`; times are in milliseconds.
[[nodiscard]] nlohmann::ordered_json toJson(const Decision &decision);

/// \brief Keeps the latest decisions and drops the oldest first. Thread-safe.
class DecisionRing
{
public:
    /// \param capacity Maximum number of decisions kept.
    explicit DecisionRing(std::size_t capacity);

    void add(Decision decision) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief The decision for a request; nothing when it is not kept.
    [[nodiscard]] std::optional<Decision> find(const std::string &requestId) const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief At most `most` decisions after number `after`, oldest first, and the number of the last one.
    [[nodiscard]] std::pair<std::vector<Decision>, std::uint64_t> decisionsAfter(std::uint64_t after,
                                                                                 std::size_t max) const
        ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    const std::size_t m_capacity;
    mutable absl::Mutex m_mutex;
    std::deque<Decision> m_decisions ABSL_GUARDED_BY(m_mutex);
    std::unordered_map<std::string, std::uint64_t> m_numberByRequest ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_firstNumber ABSL_GUARDED_BY(m_mutex) = 1; ///< Number of the oldest decision kept.
};

} // namespace spurlug::explain
