//----------------------------------------------------------------------------------------------------------------------
// spurlug: gRPC client for calls to other daemons
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

/// \brief A broker's answer to a request for engines.
struct GrantAnswer
{
    std::optional<grants::Grant> grant;
    std::uint32_t queuePosition = 0; ///< Number of requests ahead in the queue.
    bool notBroker = false; ///< The called daemon is not the broker of the pool.
};

/// \brief gRPC client with one connection per peer. Thread-safe.
class PeerClient
{
public:
    PeerClient();
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// \brief Requests engines of a pool from a broker, which may queue the request for at most `wait`.
    /// \param waited Time for which the request has already waited.
    /// \throws NetworkError if the call fails.
    [[nodiscard]] GrantAnswer acquireGrant(const core::Address &peer, const std::string &pool,
                                           const grants::GrantRequest &ask, core::Duration waited, core::Duration wait);

    /// \brief Renews a grant. \returns False if the broker does not know the grant or the call fails.
    bool renewGrant(const core::Address &peer, std::uint64_t grant);

    /// \brief Releases a grant; if the call fails, the grant expires on its own.
    void releaseGrant(const core::Address &peer, std::uint64_t grant);

    /// \brief Has a peer carry out a claim or its release. \throws NetworkError if the call fails.
    [[nodiscard]] claims::ClaimAnswer claim(const core::Address &peer, const claims::ClaimWish &wish);

    /// \brief Fetches the active root of the configuration from a peer. \throws NetworkError if the call fails.
    [[nodiscard]] std::string fetchRoot(const core::Address &peer);

    /// \brief Fetches parts of the active configuration from a peer. \throws NetworkError if the call fails.
    [[nodiscard]] config::PartTexts fetchParts(const core::Address &peer, const std::vector<std::string> &hashes);

    /// \brief Fetches a decision as JSON; nullopt if it was not found. \throws NetworkError if the call fails.
    /// \param forwarded True if the peer must not query other daemons.
    [[nodiscard]] std::optional<std::string> explain(const core::Address &peer, const std::string &requestId,
                                                     bool forwarded);

private:
    struct Channel;
    [[nodiscard]] std::shared_ptr<Channel> channel(const core::Address &peer) ABSL_LOCKS_EXCLUDED(m_mutex);

    absl::Mutex m_mutex;
    std::map<std::string, std::shared_ptr<Channel>> m_channels ABSL_GUARDED_BY(m_mutex);
};

} // namespace spurlug::daemon
