//----------------------------------------------------------------------------------------------------------------------
// spurlug: the latest decisions, kept for questions
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
    std::vector<routing::Candidate> candidates; ///< All that were considered.
    std::vector<std::string> chosen; ///< One target, or a group.
    core::Duration at; ///< Since the request arrived.
    core::Outcome outcome = core::Outcome::NotRun;
    core::Reason reason = core::Reason::None;
    std::string detail;
};

/// \brief Why a request was served the way it was.
struct Decision
{
    std::string requestId;
    std::string organisation;
    std::string requestClass;
    std::string route; ///< Model or service.
    std::int64_t generation = 0;
    std::int64_t tokens = 0; ///< Estimated prompt tokens.
    int engines = 1;
    core::Duration deadline;
    core::Duration waitedForGrant;
    core::Duration firstToken = absl::InfiniteDuration();
    core::Duration total;
    std::vector<AttemptRecord> attempts;
    core::Outcome outcome = core::Outcome::NotRun;
    core::Reason reason = core::Reason::None;
};

/// \brief A decision as `spurlugctl explain` shows it; times in milliseconds.
[[nodiscard]] nlohmann::ordered_json toJson(const Decision &decision);

/// \brief Keeps the latest decisions, the oldest dropped first. Safe to use from several threads.
class DecisionRing
{
public:
    explicit DecisionRing(std::size_t capacity);

    void add(Decision decision) ABSL_LOCKS_EXCLUDED(m_mutex);

    [[nodiscard]] std::optional<Decision> find(const std::string &requestId) const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Decisions after number `after`, oldest first, at most `most`, and the number of the last one.
    [[nodiscard]] std::pair<std::vector<Decision>, std::uint64_t> since(std::uint64_t after, std::size_t most) const
        ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    const std::size_t m_capacity;
    mutable absl::Mutex m_mutex;
    std::deque<Decision> m_decisions ABSL_GUARDED_BY(m_mutex);
    std::unordered_map<std::string, std::uint64_t> m_numbers ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_first ABSL_GUARDED_BY(m_mutex) = 1; ///< Number of the oldest decision kept.
};

} // namespace spurlug::explain
