//----------------------------------------------------------------------------------------------------------------------
// spurlug: child processes of tests
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "process.h"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace support
{

namespace
{

constexpr auto StartTimeout = std::chrono::seconds(30);
constexpr auto PollInterval = std::chrono::milliseconds(10);

/// Tests run the programs of their own build, or those in SPURLUG_PROGRAMS, for example of another version.
std::string programPath(const std::string &program)
{
    const auto *folder = std::getenv("SPURLUG_PROGRAMS");
    return std::string(folder == nullptr ? SPURLUG_BINARY_DIR : folder) + "/" + program;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int exitCode(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::vector<char *> toArgv(std::vector<std::string> &arguments)
{
    std::vector<char *> argv;
    for (auto &argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    return argv;
}

} // namespace

TemporaryDirectory::TemporaryDirectory()
{
    auto name = (std::filesystem::temp_directory_path() / "spurlug-test-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    m_path = name;
}

TemporaryDirectory::~TemporaryDirectory()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string TemporaryDirectory::file(const std::string &name) const
{
    return m_path + "/" + name;
}

Process::Process(const TemporaryDirectory &directory, const std::string &name, const std::string &program,
                 const std::vector<std::string> &arguments)
    : m_logFile(directory.file(name + ".log"))
{
    const auto portsFile = directory.file(name + ".ports");
    std::filesystem::remove(portsFile);
    std::vector<std::string> commandLine{program};
    commandLine.insert(commandLine.end(), arguments.begin(), arguments.end());
    commandLine.insert(commandLine.end(), {"--ports-file", portsFile});
    start(std::move(commandLine));
    const auto deadline = std::chrono::steady_clock::now() + StartTimeout;
    while (!std::filesystem::exists(portsFile)) {
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid || std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error(name + " did not start: " + this->log());
        }
        std::this_thread::sleep_for(PollInterval);
    }
    m_addresses = nlohmann::json::parse(readFile(portsFile));
}

Process::Process(const TemporaryDirectory &directory, const std::string &name, std::vector<std::string> commandLine)
    : m_logFile(directory.file(name + ".log"))
{
    start(std::move(commandLine));
}

void Process::start(std::vector<std::string> commandLine)
{
    commandLine.front() = programPath(commandLine.front());
    auto argv = toArgv(commandLine);
    const int log = open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(argv[0], argv.data());
        _exit(127);
    }
    close(log);
}

Process::~Process()
{
    kill();
}

std::string Process::address(const std::string &key) const
{
    return m_addresses.at(key);
}

void Process::signal(int number) const
{
    if (m_pid > 0) { // kill(-1) would reach every process.
        ::kill(m_pid, number);
    }
}

void Process::kill()
{
    if (m_pid > 0) {
        signal(SIGKILL);
        wait();
    }
}

int Process::wait()
{
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = -1;
    return exitCode(status);
}

std::optional<int> Process::poll()
{
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return std::nullopt;
    }
    m_pid = -1;
    return exitCode(status);
}

int Process::pid() const noexcept
{
    return m_pid;
}

std::string Process::log() const
{
    return readFile(m_logFile);
}

std::pair<int, std::string> runProgram(const std::string &program, const std::vector<std::string> &arguments)
{
    std::string command = programPath(program);
    for (const auto &argument : arguments) {
        command += " '" + argument + "'";
    }
    auto *pipe = popen((command + " 2>&1").c_str(), "r");
    std::string output;
    std::array<char, 4096> buffer{};
    while (const auto size = fread(buffer.data(), 1, buffer.size(), pipe)) {
        output.append(buffer.data(), size);
    }
    const int status = pclose(pipe);
    return {WEXITSTATUS(status), output};
}

} // namespace support
