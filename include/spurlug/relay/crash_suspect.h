//----------------------------------------------------------------------------------------------------------------------
// spurlug: what may have crashed a target, and the crashes that count against it
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/enum_names.h"
#include "spurlug/core/hash.h"
#include "spurlug/core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace spurlug::relay
{

/// \brief An incarnation of a target that crashed while a request ran there.
struct TargetCrash
{
    std::uint32_t target = 0; ///< incarnationHash of the incarnation.
    core::Time at;
};

/// \brief What a request has that may crash its target.
enum class SuspectKind : std::uint8_t
{
    Content, ///< All of it: its organisation, host, method, path and body.
    PromptPart, ///< A part of its prompt that other requests share.
};

/// \brief Something in requests that may crash targets, and the targets that crashed while running such a request.
struct CrashSuspect
{
    core::Digest digest; ///< RequestProgress::digest, or promptPartDigest.
    std::vector<TargetCrash> crashes{}; ///< Crashes that count, that is, not refuted by `lastSuccessAt`.
    core::Time lastSuccessAt = absl::InfinitePast(); ///< When such a request last went well at a target that lived on.
    std::size_t maxCrashes = 0; ///< Largest number of crashes that this daemon ever knew at once.
    SuspectKind kind = SuspectKind::Content;

    [[nodiscard]] core::Time lastCrashAt() const noexcept;
};

/// \brief Number of crashes that puts a suspect into quarantine.
///
/// Content: the loss of a rack ends one target under most of its requests and two under some; a request including its
/// caller's second try reaches at most four targets. Prompt parts are shared by requests that run at the same time, so
/// that more targets end under them for other reasons.
[[nodiscard]] std::size_t crashesToQuarantine(SuspectKind kind) noexcept;

/// \brief For how long after a success crashes do not count against a suspect.
///
/// A rack that is lost ends many targets under popular requests, which went well shortly before. Content comes back
/// seldom. A part is in constant use if it is in use at all; if it begins to crash targets after it went well, the
/// crashes of this time are the price.
[[nodiscard]] core::Duration successSpan(SuspectKind kind) noexcept;

/// \brief Digest of a part of prompts. It is the same for all organisations: whether a part crashes an engine depends
/// on the part only.
[[nodiscard]] core::Digest promptPartDigest(std::string_view id);

} // namespace spurlug::relay

template<>
struct spurlug::core::EnumNames<spurlug::relay::SuspectKind>
{
    using SuspectKind = spurlug::relay::SuspectKind;
    static constexpr std::array table{EnumName<SuspectKind>{SuspectKind::Content, "content"},
                                      EnumName<SuspectKind>{SuspectKind::PromptPart, "prompt_part"}};
};
