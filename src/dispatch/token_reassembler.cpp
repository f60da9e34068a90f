//----------------------------------------------------------------------------------------------------------------------
// spurlug: reassembles an answer from token events that are late, repeated or out of order
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/dispatch/token_reassembler.h"

#include <utility>

namespace spurlug::dispatch
{

void TokenReassembler::beginAttempt(int attempt)
{
    m_currentAttempt = attempt;
    m_heldBack.clear();
    m_total.reset();
}

std::vector<std::string> TokenReassembler::accept(int attempt, std::int64_t offset, std::string payload)
{
    std::vector<std::string> ready;
    if (attempt != m_currentAttempt || offset < m_nextOffset
        || !m_heldBack.emplace(offset, std::move(payload)).second) {
        ++m_droppedEvents;
        return ready;
    }
    auto first = m_heldBack.begin();
    while (first != m_heldBack.end() && first->first == m_nextOffset) {
        ready.push_back(std::move(first->second));
        first = m_heldBack.erase(first);
        ++m_nextOffset;
    }
    return ready;
}

void TokenReassembler::setTotal(int attempt, std::int64_t total)
{
    if (attempt == m_currentAttempt) {
        m_total = total;
    }
}

std::int64_t TokenReassembler::nextOffset() const noexcept
{
    return m_nextOffset;
}

bool TokenReassembler::isComplete() const noexcept
{
    return m_total.has_value() && m_nextOffset == *m_total;
}

std::int64_t TokenReassembler::droppedEvents() const noexcept
{
    return m_droppedEvents;
}

} // namespace spurlug::dispatch
