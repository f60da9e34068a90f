//----------------------------------------------------------------------------------------------------------------------
// spurlug: exit codes, signals and ports file of all programs
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/program.h"

#include "spurlug/core/error.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace spurlug::core
{

namespace
{

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

sigset_t daemonSignals()
{
    auto signals = stopSignals();
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

void blockStopSignals()
{
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void blockDaemonSignals()
{
    const auto signals = daemonSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void unblockDaemonSignals()
{
    const auto signals = daemonSignals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

void waitForStopSignal()
{
    const auto signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

void writePortsFile(const std::string &path, const nlohmann::json &addresses)
{
    if (path.empty()) {
        return;
    }
    const auto temporary = path + ".new";
    {
        std::ofstream file(temporary);
        file << addresses.dump() << "\n";
    }
    if (std::rename(temporary.c_str(), path.c_str()) != 0) {
        throw InvalidDocument(path + ": cannot write the ports file");
    }
}

} // namespace spurlug::core
