//----------------------------------------------------------------------------------------------------------------------
// spurlug: runs the brokers of the pools that this daemon is responsible for
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/configuration.h"
#include "spurlug/core/periodic_thread.h"
#include "spurlug/grants/broker.h"
#include "spurlug/targets/target_table.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace spurlug::grants
{

/// \brief A broker's answer to a request.
struct GrantReply
{
    std::optional<Grant> grant; ///< Empty if the wait ended without a grant.
    std::size_t queuePosition = 0; ///< Number of requests ahead in the queue.
};

/// \brief Runs the brokers of several pools and answers their requests. Thread-safe.
///
/// Lock order: `m_mutex` before TargetTable's.
class BrokerHost
{
public:
    /// \brief Returns the configuration in force; null if there is none.
    using CurrentConfiguration = std::function<config::ConfigurationRef()>;
    /// \brief Receives the answer to a request.
    using ReplyCallback = std::function<void(const GrantReply &)>;

    BrokerHost(const targets::TargetTable &table, CurrentConfiguration configuration, std::string failureDomain);
    /// Answers the requests that still wait, without a grant.
    ~BrokerHost();
    BrokerHost(const BrokerHost &) = delete;
    BrokerHost &operator=(const BrokerHost &) = delete;

    /// \brief Queues a request; `onReply` is called once, when it is granted or after `wait`.
    void enqueue(const std::string &pool, const GrantRequest &ask, core::Duration wait, ReplyCallback onReply,
                 core::Time now) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Extends a grant by its TTL.
    /// \returns False if no broker has such a grant.
    bool renew(std::uint64_t grantId, core::Time now) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// \brief Ends a grant.
    void release(std::uint64_t grantId) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Number of queued requests of all pools.
    [[nodiscard]] std::size_t queuedCount() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    struct Waiter
    {
        std::string pool;
        std::string requestId;
        core::Time deadline;
        ReplyCallback onReply;
    };

    core::Duration serveRound() ABSL_LOCKS_EXCLUDED(m_mutex);
    void serve(const config::Pool &pool, Broker &broker, core::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    [[nodiscard]] std::list<std::pair<Waiter, GrantReply>> takeCompleted(core::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const targets::TargetTable &m_table;
    const CurrentConfiguration m_configuration;
    const std::string m_failureDomain;
    mutable absl::Mutex m_mutex;
    std::map<std::string, Broker> m_brokers ABSL_GUARDED_BY(m_mutex);
    std::list<Waiter> m_waiters ABSL_GUARDED_BY(m_mutex);
    std::unique_ptr<core::PeriodicThread> m_serveTimer;
};

} // namespace spurlug::grants
