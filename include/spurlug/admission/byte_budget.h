//----------------------------------------------------------------------------------------------------------------------
// spurlug: limit on the total size of the request bodies in memory
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <atomic>
#include <cstdint>
#include <utility>

namespace spurlug::admission
{

/// \brief Limits the number of bytes in use. Thread-safe.
class ByteBudget
{
public:
    /// \brief RAII handle of bytes in use; its destruction releases them.
    class Allocation
    {
    public:
        Allocation() = default;
        Allocation(ByteBudget *budget, std::int64_t bytes) noexcept
            : m_budget(budget)
            , m_bytes(bytes)
        { }
        ~Allocation()
        {
            if (m_budget != nullptr) {
                m_budget->m_used -= m_bytes;
            }
        }
        Allocation(Allocation &&other) noexcept
            : m_budget(std::exchange(other.m_budget, nullptr))
            , m_bytes(other.m_bytes)
        { }
        Allocation &operator=(Allocation &&other) noexcept
        {
            std::swap(m_budget, other.m_budget);
            std::swap(m_bytes, other.m_bytes);
            return *this;
        }
        Allocation(const Allocation &) = delete;
        Allocation &operator=(const Allocation &) = delete;

        /// \brief Whether it holds bytes of a budget.
        [[nodiscard]] explicit operator bool() const noexcept
        {
            return m_budget != nullptr;
        }

    private:
        ByteBudget *m_budget = nullptr;
        std::int64_t m_bytes = 0;
    };

    /// \param limit Maximum number of bytes in use.
    explicit ByteBudget(std::int64_t limit) noexcept
        : m_limit(limit)
    { }

    /// \brief Allocates bytes from the budget.
    /// \returns An empty hold if they would exceed the limit.
    [[nodiscard]] Allocation allocate(std::int64_t bytes) noexcept
    {
        if (m_used.fetch_add(bytes) + bytes > m_limit) {
            m_used -= bytes;
            return {};
        }
        return {this, bytes};
    }

    /// \brief Number of bytes in use.
    [[nodiscard]] std::int64_t used() const noexcept
    {
        return m_used;
    }

private:
    const std::int64_t m_limit;
    std::atomic<std::int64_t> m_used{0};
};

} // namespace spurlug::admission
