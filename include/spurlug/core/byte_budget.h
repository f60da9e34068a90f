//----------------------------------------------------------------------------------------------------------------------
// spurlug: limit for memory that is held at the same time
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <limits>
#include <utility>

namespace spurlug::core
{

/// \brief Number of bytes that may be held at the same time. Used on one thread.
class ByteBudget
{
public:
    explicit ByteBudget(std::int64_t limit = std::numeric_limits<std::int64_t>::max()) noexcept
        : m_limit(limit)
    { }

    [[nodiscard]] std::int64_t limit() const noexcept
    {
        return m_limit;
    }
    [[nodiscard]] std::int64_t used() const noexcept
    {
        return m_used;
    }

private:
    friend class ByteReservation;
    std::int64_t m_limit;
    std::int64_t m_used = 0;
};

/// \brief Bytes that are held; destruction releases them. The budget must outlive it.
class ByteReservation
{
public:
    ByteReservation() noexcept = default;
    explicit ByteReservation(ByteBudget &budget) noexcept
        : m_budget(&budget)
    { }
    ByteReservation(ByteReservation &&other) noexcept
        : m_budget(std::exchange(other.m_budget, nullptr))
        , m_bytes(std::exchange(other.m_bytes, 0))
    { }
    ByteReservation &operator=(ByteReservation &&other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }
    ~ByteReservation()
    {
        if (m_budget != nullptr) {
            m_budget->m_used -= m_bytes;
        }
    }

    /// \brief Changes the number of bytes held.
    /// \returns False, without a change, if that would exceed the budget. Always true without a budget.
    [[nodiscard]] bool resize(std::int64_t bytes) noexcept
    {
        if (m_budget == nullptr) {
            return true;
        }
        const auto used = m_budget->m_used - m_bytes;
        if (bytes > m_bytes && bytes > m_budget->m_limit - used) {
            return false;
        }
        m_budget->m_used = used + bytes;
        m_bytes = bytes;
        return true;
    }

private:
    ByteBudget *m_budget = nullptr;
    std::int64_t m_bytes = 0;
};

} // namespace spurlug::core
