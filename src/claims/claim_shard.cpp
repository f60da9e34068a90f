//----------------------------------------------------------------------------------------------------------------------
// spurlug: claimed idempotency keys of one object on the platform
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/claims/claim_shard.h"

#include "spurlug/core/error.h"
#include "spurlug/core/hash.h"
#include "spurlug/core/json_document.h"
#include "spurlug/core/text.h"

#include <nlohmann/json.hpp>

namespace spurlug::claims
{

std::string claimName(std::string_view organisation, std::string_view idempotencyKey)
{
    constexpr std::size_t NameDigits = 32;
    return core::sha256Hex(core::cat(organisation, "\n", idempotencyKey)).substr(0, NameDigits);
}

int shardOf(std::string_view claimName) noexcept
{
    return static_cast<int>(core::fastHash(claimName) % ShardCount);
}

std::string shardObjectName(int shard)
{
    return core::cat("claims/", shard);
}

ClaimTable parseShard(std::string_view text)
{
    try {
        ClaimTable table;
        const auto document = core::parseJson(text);
        if (document.is_discarded()) {
            throw core::InvalidDocument("claims: not JSON");
        }
        for (const auto &[name, value] : document.items()) {
            table[name] = Claim{value.at(0), value.at(1)};
        }
        return table;
    } catch (const nlohmann::json::exception &error) {
        throw core::InvalidDocument(core::cat("claims: ", error.what()));
    }
}

std::string serialiseShard(const ClaimTable &table)
{
    auto value = nlohmann::json::object();
    for (const auto &[name, claim] : table) {
        value[name] = {claim.requestId, claim.claimedAt};
    }
    return value.dump();
}

void dropExpired(ClaimTable &table, std::int64_t nowSeconds)
{
    std::erase_if(table,
                  [nowSeconds](const auto &item) { return nowSeconds - item.second.claimedAt > ClaimLifetimeSeconds; });
}

} // namespace spurlug::claims
