//----------------------------------------------------------------------------------------------------------------------
// spurlug: claimed idempotency keys of one object on the platform
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace spurlug::claims
{

/// \brief Number of objects that claims are distributed over.
inline constexpr int ShardCount = 4;

/// \brief Lifetime of a claim, in seconds. A request that a caller repeats later than this runs again.
inline constexpr std::int64_t ClaimLifetimeSeconds = 600;

/// \brief One claimed key.
struct Claim
{
    std::string requestId; ///< Request that holds the claim.
    std::int64_t claimedAt = 0; ///< Wall-clock time, seconds since 1970.
};

/// \brief The claims of one shard, by `claimName`.
using ClaimTable = std::map<std::string, Claim>;

/// \brief Name of the claim for a caller's key: 128 bits of the SHA-256 of organisation and key, in hexadecimal.
[[nodiscard]] std::string claimName(std::string_view organisation, std::string_view idempotencyKey);

/// \brief Shard that holds the claim of this name.
[[nodiscard]] int shardOf(std::string_view claimName) noexcept;

/// \brief Name of the object that stores a shard.
[[nodiscard]] std::string shardObjectName(int shard);

/// \brief Parses a shard.
/// \throws InvalidDocument
[[nodiscard]] ClaimTable parseShard(std::string_view text);

/// \brief Serialises a shard.
[[nodiscard]] std::string serialiseShard(const ClaimTable &table);

/// \brief Drops claims older than their lifetime.
/// \param nowSeconds Wall-clock time, seconds since 1970.
void dropExpired(ClaimTable &table, std::int64_t nowSeconds);

} // namespace spurlug::claims
