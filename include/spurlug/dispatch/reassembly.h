//----------------------------------------------------------------------------------------------------------------------
// spurlug: the whole answer, in order, from events that come late, twice or disordered
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

/// \brief Puts a request's tokens in order across attempts and hands out each once.
///
/// Events carry the attempt they belong to and the offset of their token. Events of an attempt that was given up, and
/// offsets that were handed out before, are dropped; gaps are waited for.
class Reassembly
{
public:
    /// \name Commands
    /// @{

    /// \brief Makes `attempt` the one whose events count; what earlier ones left waiting is dropped.
    void begin(int attempt);

    /// \brief Takes one event.
    /// \returns The payloads that can be handed out now, in order.
    std::vector<std::string> accept(int attempt, std::int64_t offset, std::string payload);

    /// \brief Notes that an attempt said the answer has `total` tokens.
    void finish(int attempt, std::int64_t total);

    /// @}
    /// \name Queries
    /// @{

    /// \brief Offset of the next token to hand out: a new attempt resumes there.
    [[nodiscard]] std::int64_t next() const noexcept;

    /// \brief Whether the whole answer was handed out.
    [[nodiscard]] bool complete() const noexcept;

    /// \brief Events dropped because they were repeated, stale or out of range.
    [[nodiscard]] std::int64_t dropped() const noexcept;

    /// @}

private:
    int m_attempt = 0;
    std::int64_t m_next = 0;
    std::optional<std::int64_t> m_total;
    std::map<std::int64_t, std::string> m_waiting;
    std::int64_t m_dropped = 0;
};

} // namespace spurlug::dispatch
