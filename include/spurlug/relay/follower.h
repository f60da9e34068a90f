//----------------------------------------------------------------------------------------------------------------------
// spurlug: follows the directory's configuration and list of targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/backoff.h"
#include "spurlug/relay/context.h"
#include "spurlug/relay/directory.h"

#include <set>
#include <string>

namespace spurlug::relay
{

/// \brief Whether calls to the directory get answers, and since when. Logs each change.
class DirectoryLink
{
public:
    /// \param what What is read over it, for logs.
    DirectoryLink(RelayContext &context, std::string what);

    /// \brief Notes how a call ended.
    /// \returns Wait before the next call.
    [[nodiscard]] core::Duration ended(DirectoryStatus status, const std::string &detail, core::Time now);

    /// \brief When the directory was last regained; in the infinite past when it was never lost.
    [[nodiscard]] core::Time regainedAt() const noexcept
    {
        return m_regainedAt;
    }

private:
    RelayContext &m_context;
    const std::string m_what;
    Backoff m_backoff;
    DirectoryStatus m_status = DirectoryStatus::Ok; ///< How the last call ended.
    core::Time m_lostAt = absl::InfinitePast();
    core::Time m_regainedAt = absl::InfinitePast();
};

/// \brief Takes in what the directory says of targets.
///
/// Entries that lapsed while the directory was away come back when their targets reach it again. So what is missing
/// just after such a time is kept a little longer, unless the target had said that it was leaving.
class TargetIntake
{
public:
    TargetIntake(RelayContext &context, const DirectoryLink &link);

    /// \brief Takes the whole list as of a revision: what is not in it is gone. An older list than the known one is
    /// dropped: it would bring back targets that have left.
    void whole(const std::vector<TargetChange> &list, std::int64_t revision, std::string_view from, core::Time now);
    /// \brief Takes the changes up to a revision, unless more is known.
    void changes(const std::vector<TargetChange> &changes, std::int64_t revision, std::string_view from,
                 core::Time now);

private:
    [[nodiscard]] bool isNews(std::int64_t revision);
    void put(const TargetEntry &entry, std::string_view from);
    void drop(const std::string &id, std::string_view from, core::Time now);

    RelayContext &m_context;
    const DirectoryLink &m_link;
};

/// \brief Runs the two loops that read a directory and wait on it.
template<Directory D>
class Follower
{
public:
    Follower(RelayContext &context, D &directory)
        : m_context(context)
        , m_directory(directory)
        , m_configurationLink(context, "configuration")
        , m_targetsLink(context, "targets")
        , m_intake(context, m_targetsLink)
    { }

    /// \brief Keeps the configuration and the proof that it is the newest.
    [[nodiscard]] net::Task<> followConfiguration();
    /// \brief Keeps the list of targets.
    [[nodiscard]] net::Task<> followTargets();

    [[nodiscard]] TargetIntake &intake() noexcept
    {
        return m_intake;
    }

private:
    /// Each answered wait proves the configuration anew; its length bounds the age of the proof. One call a wait.
    static constexpr auto ConfigurationWait = absl::Milliseconds(1000);
    static constexpr auto TargetsWait = absl::Milliseconds(4000);

    RelayContext &m_context;
    D &m_directory;
    DirectoryLink m_configurationLink;
    DirectoryLink m_targetsLink;
    TargetIntake m_intake;
};

template<Directory D>
net::Task<> Follower<D>::followConfiguration()
{
    std::int64_t revision = 0;
    for (;;) {
        const auto askedAt = core::now();
        ConfigurationAnswer answer; // Not `?:`, whose temporaries the compiler destroys twice around co_await (GCC 12).
        if (revision == 0) {
            answer = co_await m_directory.readConfiguration();
        } else {
            answer = co_await m_directory.awaitConfiguration(revision, ConfigurationWait);
        }
        m_context.metrics.count(metrics::Counter::PlatformReads);
        const auto now = core::now();
        if (answer.status == DirectoryStatus::Ok) {
            revision = answer.revision;
            const auto version
                = answer.table ? answer.table->version : (m_context.table ? m_context.table->version : 0);
            m_context.configurationProof.confirm(version, askedAt);
            if (answer.table) {
                m_context.adopt(std::move(answer.table), std::move(answer.document), "directory", now);
            }
        } else {
            revision = 0;
        }
        const auto wait = m_configurationLink.ended(answer.status, answer.detail, now);
        if (wait > absl::ZeroDuration()) {
            co_await net::sleepFor(wait);
        }
    }
}

template<Directory D>
net::Task<> Follower<D>::followTargets()
{
    std::int64_t revision = 0;
    for (;;) {
        const auto askedAt = core::now();
        const bool whole = revision == 0;
        TargetsAnswer answer;
        if (whole) {
            answer = co_await m_directory.listTargets();
        } else {
            answer = co_await m_directory.awaitTargets(revision, TargetsWait);
        }
        m_context.metrics.count(metrics::Counter::PlatformReads);
        const auto now = core::now();
        const auto wait = m_targetsLink.ended(answer.status, answer.detail, now);
        if (answer.status == DirectoryStatus::Ok) {
            revision = answer.revision;
            m_context.targetsKnownAt = std::max(m_context.targetsKnownAt, askedAt);
            if (whole) {
                m_intake.whole(answer.changes, revision, "directory", now);
            } else {
                m_intake.changes(answer.changes, revision, "directory", now);
            }
        } else if (answer.status == DirectoryStatus::HistoryGone) {
            revision = 0;
        }
        if (wait > absl::ZeroDuration()) {
            co_await net::sleepFor(wait);
        }
    }
}

} // namespace spurlug::relay
