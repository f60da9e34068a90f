//----------------------------------------------------------------------------------------------------------------------
// spurlug: the configuration in force at this daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/config/configuration.h"
#include "spurlug/config/parts.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <functional>
#include <string>
#include <vector>

namespace spurlug::config
{

/// \brief What became of an offered configuration.
enum class OfferResult
{
    Applied,
    NotNewer, ///< Its generation is not above the one in force.
    Refused, ///< It has faults; the one in force stays.
};

/// \brief Holds one configuration and replaces it only by higher generations. Safe to use from several threads.
///
/// Lock order: `m_mutex` before the locks of what `onApplied` calls.
class Store
{
public:
    using OnApplied = std::function<void(const ConfigurationRef &)>;

    /// \param onApplied Called with each new configuration, in the order of generations.
    explicit Store(OnApplied onApplied);

    /// \name Commands
    /// @{

    /// \brief Takes a configuration into force if it is newer and free of faults.
    /// \param rootText The root as it is stored.
    /// \param texts At least the parts that the root names and `missingParts` lists.
    OfferResult offer(const std::string &rootText, PartTexts texts) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// @}
    /// \name Queries
    /// @{

    /// \brief The configuration in force; null before the first.
    [[nodiscard]] ConfigurationRef current() const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Generation in force; 0 before the first.
    [[nodiscard]] std::int64_t generation() const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Highest generation that was refused; 0: none.
    [[nodiscard]] std::int64_t refusedGeneration() const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief First fault of the refused generation.
    [[nodiscard]] std::string refusal() const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief The root in force as it is stored; empty before the first.
    [[nodiscard]] std::string rootText() const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Texts of some parts in force; those that are not are left out.
    [[nodiscard]] PartTexts texts(const std::vector<std::string> &hashes) const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Hashes of a root's parts that are not here.
    [[nodiscard]] std::vector<std::string> missingParts(const Root &root) const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// @}

private:
    void noteRefusal(std::int64_t generation, std::string why) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const OnApplied m_onApplied;
    mutable absl::Mutex m_mutex;
    ConfigurationRef m_current ABSL_GUARDED_BY(m_mutex);
    std::string m_rootText ABSL_GUARDED_BY(m_mutex);
    PartTexts m_texts ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_refusedGeneration ABSL_GUARDED_BY(m_mutex) = 0;
    std::string m_refusal ABSL_GUARDED_BY(m_mutex);
};

} // namespace spurlug::config
