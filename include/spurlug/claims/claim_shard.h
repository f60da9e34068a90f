//----------------------------------------------------------------------------------------------------------------------
// spurlug: claimed idempotency keys, as one object of the platform holds them
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace spurlug::claims
{

/// \brief Number of objects that claims are spread over.
inline constexpr int Shards = 4;

/// \brief How long a key stays claimed, seconds. A caller that repeats a request later than this runs it again.
inline constexpr std::int64_t KeptSeconds = 600;

/// \brief One claimed key.
struct Claim
{
    std::string requestId; ///< Request that claimed it first.
    std::int64_t claimedAt = 0; ///< Wall-clock time, seconds since 1970.
};

/// \brief The keys of one shard. Keys are kept as hashes of organisation and key.
using ClaimTable = std::map<std::string, Claim>;

/// \brief Name under which a caller's key is claimed: 128 bits of SHA-256, hexadecimal.
[[nodiscard]] std::string claimName(std::string_view organisation, std::string_view idempotencyKey);

/// \brief Shard of a claim's name.
[[nodiscard]] int shardOf(std::string_view claimName) noexcept;

/// \brief Object that holds a shard.
[[nodiscard]] std::string shardObject(int shard);

/// \throws InvalidDocument
[[nodiscard]] ClaimTable readShard(std::string_view text);

[[nodiscard]] std::string writeShard(const ClaimTable &table);

/// \brief Drops claims that were kept long enough.
/// \param nowSeconds Wall-clock time, seconds since 1970.
void dropOld(ClaimTable &table, std::int64_t nowSeconds);

} // namespace spurlug::claims
