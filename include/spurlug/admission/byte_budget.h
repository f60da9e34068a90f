//----------------------------------------------------------------------------------------------------------------------
// spurlug: a bound on the bytes of all request bodies held at once
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <atomic>
#include <cstdint>
#include <utility>

namespace spurlug::admission
{

/// \brief Counts bytes in use against a bound.
class ByteBudget
{
public:
    /// \brief Some bytes in use; the end of its life gives them back.
    class Hold
    {
    public:
        Hold() = default;
        Hold(ByteBudget *budget, std::int64_t bytes) noexcept
            : m_budget(budget)
            , m_bytes(bytes)
        { }
        ~Hold()
        {
            if (m_budget != nullptr) {
                m_budget->m_used -= m_bytes;
            }
        }
        Hold(Hold &&other) noexcept
            : m_budget(std::exchange(other.m_budget, nullptr))
            , m_bytes(other.m_bytes)
        { }
        Hold &operator=(Hold &&other) noexcept
        {
            std::swap(m_budget, other.m_budget);
            std::swap(m_bytes, other.m_bytes);
            return *this;
        }
        Hold(const Hold &) = delete;
        Hold &operator=(const Hold &) = delete;

        [[nodiscard]] explicit operator bool() const noexcept
        {
            return m_budget != nullptr;
        }

    private:
        ByteBudget *m_budget = nullptr;
        std::int64_t m_bytes = 0;
    };

    explicit ByteBudget(std::int64_t most) noexcept
        : m_most(most)
    { }

    /// \brief Takes bytes into use.
    /// \returns An empty hold when they would go beyond the bound.
    [[nodiscard]] Hold take(std::int64_t bytes) noexcept
    {
        if (m_used.fetch_add(bytes) + bytes > m_most) {
            m_used -= bytes;
            return {};
        }
        return {this, bytes};
    }

    [[nodiscard]] std::int64_t used() const noexcept
    {
        return m_used;
    }

private:
    const std::int64_t m_most;
    std::atomic<std::int64_t> m_used{0};
};

} // namespace spurlug::admission
