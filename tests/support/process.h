//----------------------------------------------------------------------------------------------------------------------
// spurlug: child processes of tests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace support
{

/// \brief A directory for the files of one test, which its destructor removes.
class TemporaryDirectory
{
public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    /// \brief The path of the file `name` in the directory.
    [[nodiscard]] std::string file(const std::string &name) const;

private:
    std::string m_path;
};

/// \brief A child process, which its destructor kills.
class Process
{
public:
    /// \brief Starts a program of the build and waits until it has bound its addresses.
    /// \throws std::runtime_error if it exits before or does not start within 30 s.
    Process(const TemporaryDirectory &directory, const std::string &name, const std::string &program,
            const std::vector<std::string> &arguments);
    /// \brief Starts a program of the build that writes no ports file, and does not wait for it.
    Process(const TemporaryDirectory &directory, const std::string &name, std::vector<std::string> commandLine);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// \brief The address that the program bound for `key`, from its ports file.
    [[nodiscard]] std::string address(const std::string &key) const;

    /// \brief Sends a signal to the process.
    void signal(int number) const;
    /// \brief Sends SIGKILL to the process and waits for its exit.
    void kill();
    /// \brief Waits for the exit of the process. \returns The exit code, or the negated signal number.
    int wait();
    /// \brief The result of `wait` if the process has exited; nothing if it still runs.
    std::optional<int> poll();

    [[nodiscard]] int pid() const noexcept;
    /// \brief What the program wrote to standard output and standard error.
    [[nodiscard]] std::string log() const;

private:
    void start(std::vector<std::string> commandLine);

    int m_pid = -1;
    std::string m_logFile;
    nlohmann::json m_addresses;
};

/// \brief Runs a program of the build until it exits. \returns The exit code, and the standard output and error output.
[[nodiscard]] std::pair<int, std::string> runProgram(const std::string &program,
                                                     const std::vector<std::string> &arguments);

} // namespace support
