//----------------------------------------------------------------------------------------------------------------------
// spurlug: the active configuration of this daemon
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

/// \brief Result of offering a configuration.
enum class OfferResult
{
    Applied,
    NotNewer, ///< Its generation is not above the active one.
    Refused, ///< It has faults; the active configuration stays.
};

/// \brief Holds the active configuration and replaces it only by higher generations. Thread-safe.
///
/// Lock order: `m_mutex` before the locks taken in `onApplied`.
class Store
{
public:
    using OnApplied = std::function<void(const ConfigurationRef &)>;

    /// \param onApplied Called with each new configuration, in the order of generations.
    explicit Store(OnApplied onApplied);

    /// \name Commands
    /// @{

    /// \brief Activates a configuration if it is newer and has no faults.
    /// \param rootText The root in its stored form.
    /// \param texts The texts of at least the parts that `missingParts` returns for the root.
    OfferResult offer(const std::string &rootText, PartTexts texts) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// @}
    /// \name Queries
    /// @{

    /// \brief The active configuration; null before the first.
    [[nodiscard]] ConfigurationRef current() const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief The active generation; 0 before the first.
    [[nodiscard]] std::int64_t generation() const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Highest generation that was refused; 0 when there is none.
    [[nodiscard]] std::int64_t refusedGeneration() const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief First fault of the configuration that was refused last.
    [[nodiscard]] std::string refusal() const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief The active root in its stored form; empty before the first.
    [[nodiscard]] std::string rootText() const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Texts of the given parts; parts that are not active are left out.
    [[nodiscard]] PartTexts texts(const std::vector<std::string> &hashes) const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// \brief Hashes of a root's parts that the active configuration does not have.
    [[nodiscard]] std::vector<std::string> missingParts(const Root &root) const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// @}

private:
    void recordRefusal(std::int64_t generation, std::string reason) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const OnApplied m_onApplied;
    mutable absl::Mutex m_mutex;
    ConfigurationRef m_current ABSL_GUARDED_BY(m_mutex);
    std::string m_rootText ABSL_GUARDED_BY(m_mutex);
    PartTexts m_texts ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_refusedGeneration ABSL_GUARDED_BY(m_mutex) = 0;
    std::string m_refusal ABSL_GUARDED_BY(m_mutex);
};

} // namespace spurlug::config
