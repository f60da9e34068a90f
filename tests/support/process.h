//----------------------------------------------------------------------------------------------------------------------
// spurlug: programs that a test starts, freezes and kills
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace support
{

/// \brief A directory for one test's files, removed at the end of its life.
class TemporaryDirectory
{
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    [[nodiscard]] std::string file(const std::string &name) const;

private:
    std::string m_path;
};

/// \brief A running program; killed at the end of its life.
class Process
{
public:
    /// \brief Starts a program of the build and waits until it has bound its addresses.
    /// \throws std::runtime_error when it ends before.
    Process(const TemporaryDirectory &directory, const std::string &name, const std::string &program,
            const std::vector<std::string> &arguments);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// \brief An address that the program bound.
    [[nodiscard]] std::string address(const std::string &key) const;

    void signal(int number) const;
    /// \brief Kills the program and waits for its end.
    void kill();
    /// \brief Waits for the end. \returns The exit code, or minus the signal's number.
    int wait();

    [[nodiscard]] int pid() const noexcept;
    [[nodiscard]] std::string log() const;

private:
    int m_pid = -1;
    std::string m_logFile;
    nlohmann::json m_ports;
};

/// \brief Runs a program of the build to its end. \returns Exit code and what it printed.
[[nodiscard]] std::pair<int, std::string> runProgram(const std::string &program,
                                                     const std::vector<std::string> &arguments);

} // namespace support
