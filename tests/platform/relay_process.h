//----------------------------------------------------------------------------------------------------------------------
// spurlug: relay daemons in processes of their own, for tests of signals and exits
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "process.h"

#include "spurlug/net/io.h"
#include "spurlug/settings/relay_settings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace spurlug::test
{

/// \brief Returns the text of a settings file.
[[nodiscard]] std::string settingsText(const settings::RelaySettings &settings);

/// \brief A relay daemon in its own process. The store, the targets and the callers run on the loop of the test.
class RelayProcess
{
public:
    /// \param settings Their addresses must be free.
    RelayProcess(const support::TemporaryDirectory &directory, const settings::RelaySettings &settings);

    /// \brief Sends a signal to the process.
    void signal(int number) const;
    /// \brief Waits until the program's own code runs and no signal ends it by its default action. Until then, the
    /// dynamic loader runs.
    [[nodiscard]] net::Task<> awaitSignalHandling();
    /// \brief Waits until the process exits.
    /// \returns The exit code, or the negated number of the signal that ended the process.
    [[nodiscard]] net::Task<int> awaitExit();
    /// \brief Whether the process has exited.
    [[nodiscard]] bool hasExited();
    /// \brief Starts the daemon again after its exit, with the same settings.
    void restart();
    [[nodiscard]] const settings::RelaySettings &settings() const noexcept;
    /// \brief What the process has logged, over all restarts.
    [[nodiscard]] std::string log() const;
    /// \brief Largest resident size of the running process so far, in bytes; 0 if it has exited.
    [[nodiscard]] std::int64_t peakResidentBytes() const;
    /// \brief Event of the last line of the log.
    [[nodiscard]] std::string lastEvent() const;

private:
    /// A set of signals from the status of the process, as a bit mask; empty if it has exited.
    [[nodiscard]] std::uint64_t signalMask(std::string_view field) const;

    const support::TemporaryDirectory &m_directory;
    const settings::RelaySettings m_settings;
    const std::string m_settingsFile;
    std::unique_ptr<support::Process> m_process;
    std::optional<int> m_exitCode;
};

} // namespace spurlug::test
