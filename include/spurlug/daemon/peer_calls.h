//----------------------------------------------------------------------------------------------------------------------
// spurlug: calls to other daemons
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/claims/commit.h"
#include "spurlug/config/parts.h"
#include "spurlug/core/address.h"
#include "spurlug/core/time.h"
#include "spurlug/grants/broker.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace spurlug::daemon
{

/// \brief A broker's answer to an ask.
struct GrantAnswer
{
    std::optional<grants::Grant> grant;
    std::uint32_t place = 0; ///< Asks ahead.
    bool notBroker = false; ///< The daemon that was asked holds no such role.
};

/// \brief Makes calls over gRPC; one connection a peer. Safe to use from several threads.
class PeerCalls
{
public:
    PeerCalls();
    ~PeerCalls();
    PeerCalls(const PeerCalls &) = delete;
    PeerCalls &operator=(const PeerCalls &) = delete;

    /// \brief Asks a broker for engines; waits at most `wait`.
    /// \throws NetworkError when the peer does not answer.
    [[nodiscard]] GrantAnswer acquire(const core::Address &peer, const std::string &pool, const grants::Ask &ask,
                                      core::Duration waited, core::Duration wait);

    /// \brief Keeps a grant alive. \returns False when the broker does not know it or does not answer.
    bool renew(const core::Address &peer, std::uint64_t grant);

    /// \brief Gives a grant back; it lapses by itself when the broker does not answer.
    void release(const core::Address &peer, std::uint64_t grant);

    /// \brief Has a peer carry out a wish to claim. \throws NetworkError
    [[nodiscard]] claims::ClaimAnswer claim(const core::Address &peer, const claims::ClaimWish &wish);

    /// \brief Root in force at a peer. \throws NetworkError
    [[nodiscard]] std::string fetchRoot(const core::Address &peer);

    /// \brief Parts in force at a peer. \throws NetworkError
    [[nodiscard]] config::PartTexts fetchParts(const core::Address &peer, const std::vector<std::string> &hashes);

    /// \brief A decision recorded at a peer, as JSON. \throws NetworkError
    /// \param forwarded Whether the peer must not ask others in turn.
    [[nodiscard]] std::optional<std::string> explain(const core::Address &peer, const std::string &requestId,
                                                     bool forwarded);

private:
    struct Channel;
    [[nodiscard]] std::shared_ptr<Channel> channel(const core::Address &peer) ABSL_LOCKS_EXCLUDED(m_mutex);

    absl::Mutex m_mutex;
    std::map<std::string, std::shared_ptr<Channel>> m_channels ABSL_GUARDED_BY(m_mutex);
};

} // namespace spurlug::daemon
