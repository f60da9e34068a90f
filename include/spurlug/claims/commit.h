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

/// \brief What became of a wish to claim.
enum class ClaimResult
{
    Won, ///< The request is the first with this key: it may run.
    Taken, ///< Another request has the key: this one must not run.
    Unavailable, ///< The platform cannot tell: this one must not run.
};

/// \brief A wish to claim a key, or to give it back because the request did not run.
struct ClaimWish
{
    std::string name; ///< claimName
    std::string requestId;
    bool giveBack = false;
};

/// \brief What became of a wish.
struct ClaimAnswer
{
    ClaimResult result = ClaimResult::Unavailable;
    std::string holder; ///< Request that has the key.
};

/// \cond
namespace detail
{

/// Puts wishes into a table and answers them as if the table were stored.
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

/// \brief Commits wishes of one shard together: one write when nothing gets in the way.
///
/// Another owner's write is met by reading again. When an answer was lost, the shard is read back: a claim found under
/// its own request's name was won, whichever of two writes stored it.
/// \param nowSeconds Wall-clock time, seconds since 1970.
/// \returns An answer for each wish; all Unavailable when the platform does not answer.
template<objects::ObjectApi Api>
[[nodiscard]] std::vector<ClaimAnswer> commit(const Api &api, int shard, const std::vector<ClaimWish> &wishes,
                                              std::int64_t nowSeconds)
{
    constexpr int MostTries = 8;
    const auto object = shardObject(shard);
    try {
        for (int tries = 0; tries < MostTries; ++tries) {
            const auto stored = api.read(object);
            auto table = stored ? readShard(stored->value) : ClaimTable();
            dropOld(table, nowSeconds);
            auto answers = detail::carryOut(table, wishes, nowSeconds);
            try {
                api.update(object, writeShard(table), stored ? stored->version : 0);
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
