//----------------------------------------------------------------------------------------------------------------------
// spurlug: reassembles an answer from token events that are late, repeated or out of order
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/dispatch/reassembly.h"

#include <utility>

namespace spurlug::dispatch
{

void Reassembly::begin(int attempt)
{
    m_attempt = attempt;
    m_waiting.clear();
    m_total.reset();
}

std::vector<std::string> Reassembly::accept(int attempt, std::int64_t offset, std::string payload)
{
    std::vector<std::string> ready;
    if (attempt != m_attempt || offset < m_next || !m_waiting.emplace(offset, std::move(payload)).second) {
        ++m_dropped;
        return ready;
    }
    auto first = m_waiting.begin();
    while (first != m_waiting.end() && first->first == m_next) {
        ready.push_back(std::move(first->second));
        first = m_waiting.erase(first);
        ++m_next;
    }
    return ready;
}

void Reassembly::finish(int attempt, std::int64_t total)
{
    if (attempt == m_attempt) {
        m_total = total;
    }
}

std::int64_t Reassembly::next() const noexcept
{
    return m_next;
}

bool Reassembly::complete() const noexcept
{
    return m_total.has_value() && m_next == *m_total;
}

std::int64_t Reassembly::dropped() const noexcept
{
    return m_dropped;
}

} // namespace spurlug::dispatch
