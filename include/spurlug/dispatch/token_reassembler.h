//----------------------------------------------------------------------------------------------------------------------
// spurlug: reassembles an answer from token events that are late, repeated or out of order
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spurlug::dispatch
{

/// \brief Puts the tokens of a request in order across its attempts and returns each token once.
///
/// Each event carries the number of its attempt and the offset of its token. Events of earlier attempts and repeated
/// offsets are dropped. Tokens after a gap are held back until the gap is filled.
class TokenReassembler
{
public:
    /// \name Commands
    /// @{

    /// \brief Makes `attempt` the current attempt; discards the held-back tokens and the total of the one before.
    void beginAttempt(int attempt);

    /// \brief Adds the token of one event.
    /// \returns The payloads that are ready, in order; empty if the event was dropped or a gap precedes it.
    std::vector<std::string> accept(int attempt, std::int64_t offset, std::string payload);

    /// \brief Records that the whole answer has `total` tokens; ignored unless `attempt` is the current one.
    void setTotal(int attempt, std::int64_t total);

    /// @}
    /// \name Queries
    /// @{

    /// \brief Offset of the next token to return, at which a new attempt resumes.
    [[nodiscard]] std::int64_t nextOffset() const noexcept;

    /// \brief Whether all tokens of the answer were returned.
    [[nodiscard]] bool isComplete() const noexcept;

    /// \brief Number of events dropped because their offset was repeated or their attempt was not the current one.
    [[nodiscard]] std::int64_t droppedEvents() const noexcept;

    /// @}

private:
    int m_currentAttempt = 0;
    std::int64_t m_nextOffset = 0;
    std::optional<std::int64_t> m_total;
    std::map<std::int64_t, std::string> m_heldBack;
    std::int64_t m_droppedEvents = 0;
};

} // namespace spurlug::dispatch
