//----------------------------------------------------------------------------------------------------------------------
// spurlug: commits claims by conditional update
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/claims/claim_shard.h"
#include "spurlug/core/enum_names.h"
#include "spurlug/core/error.h"
#include "spurlug/objects/object_api.h"

#include <string>
#include <vector>

namespace spurlug::claims
{

/// \brief Result of a claim request.
enum class ClaimResult
{
    Won, ///< The request holds the claim for its key and may run.
    Taken, ///< Another request holds the claim; this one must not run.
    Unavailable, ///< The platform did not store the claim; the request must not run.
};

/// \brief Request to claim a key, or to release it because the request did not run.
struct ClaimWish
{
    std::string name; ///< Name from `claimName`.
    std::string requestId;
    bool giveBack = false;
};

/// \brief Answer to a claim request.
struct ClaimAnswer
{
    ClaimResult result = ClaimResult::Unavailable;
    std::string holder; ///< Request that holds the claim.
};

/// \cond
namespace detail
{

/// Applies claim requests to a table; the answers are valid once the table is stored.
inline std::vector<ClaimAnswer> carryOut(ClaimTable &table, const std::vector<ClaimWish> &wishes,
                                         std::int64_t nowSeconds)
{
    std::vector<ClaimAnswer> answers;
    answers.reserve(wishes.size());
    for (const auto &wish : wishes) {
        const auto known = table.find(wish.name);
        const bool own = known != table.end() && known->second.requestId == wish.requestId;
        if (wish.giveBack) {
            if (own) {
                table.erase(known);
            }
            answers.push_back({ClaimResult::Won, wish.requestId});
        } else if (known == table.end() || own) {
            table.try_emplace(wish.name, Claim{wish.requestId, nowSeconds});
            answers.push_back({ClaimResult::Won, wish.requestId});
        } else {
            answers.push_back({ClaimResult::Taken, known->second.requestId});
        }
    }
    return answers;
}

} // namespace detail
/// \endcond

/// \brief Commits the claim requests of one shard together, with one write unless there is a conflict.
///
/// After a conflict with another owner's write, the shard is read again. It is also read again when an answer was lost:
/// a claim that names its own request was acquired, whichever of two writes stored it.
/// \param nowSeconds Wall-clock time, seconds since 1970.
/// \returns An answer for each request; all are Unavailable when the platform does not answer.
template<objects::ObjectApi Api>
[[nodiscard]] std::vector<ClaimAnswer> commit(const Api &api, int shard, const std::vector<ClaimWish> &wishes,
                                              std::int64_t nowSeconds)
{
    constexpr int MostTries = 8;
    const auto object = shardObjectName(shard);
    try {
        for (int tries = 0; tries < MostTries; ++tries) {
            const auto stored = api.read(object);
            auto table = stored ? parseShard(stored->value) : ClaimTable();
            dropExpired(table, nowSeconds);
            auto answers = detail::carryOut(table, wishes, nowSeconds);
            try {
                api.update(object, serialiseShard(table), stored ? stored->version : 0);
                return answers;
            } catch (const core::VersionConflict &) {
                continue;
            } catch (const core::UnknownResult &) {
                continue;
            }
        }
    } catch (const core::PlatformUnavailable &) {
        return std::vector<ClaimAnswer>(wishes.size());
    } catch (const core::InvalidDocument &) {
        return std::vector<ClaimAnswer>(wishes.size());
    }
    return std::vector<ClaimAnswer>(wishes.size());
}

} // namespace spurlug::claims
