//----------------------------------------------------------------------------------------------------------------------
// spurlug: hash functions for placement (XXH3) and content (SHA-256)
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace spurlug::core
{

/// \brief Fast 64-bit hash (XXH3), the same on every daemon. Not cryptographically secure.
[[nodiscard]] std::uint64_t fastHash(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// \brief SHA-256 of `bytes` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256Hex(std::string_view bytes);

/// \brief The first 128 bits of a SHA-256: collisions cannot be expected by chance nor constructed on purpose.
struct Digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    [[nodiscard]] bool operator==(const Digest &) const noexcept = default;
    [[nodiscard]] bool operator<(const Digest &other) const noexcept
    {
        return high != other.high ? high < other.high : low < other.low;
    }
};

/// \brief Digest of a sequence of texts; depends on their order and on the boundaries between them.
[[nodiscard]] Digest digestOf(std::initializer_list<std::string_view> texts);

/// \brief Formats a digest as 32 lower-case hexadecimal digits.
[[nodiscard]] std::string toHex(const Digest &digest);

/// \brief HMAC-SHA-256 of `bytes` under `key`, 32 raw bytes.
[[nodiscard]] std::string hmacSha256(std::string_view key, std::string_view bytes);

/// \brief Compares two byte strings in a time that does not depend on where they differ.
[[nodiscard]] bool equalInConstantTime(std::string_view left, std::string_view right) noexcept;

} // namespace spurlug::core
