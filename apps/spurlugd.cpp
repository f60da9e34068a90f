//----------------------------------------------------------------------------------------------------------------------
// spurlug: command line and startup of the daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "platform_daemon.h"

#include "spurlug/core/error.h"
#include "spurlug/core/log.h"
#include "spurlug/core/program.h"
#include "spurlug/daemon/daemon.h"
#include "spurlug/settings/relay_settings.h"
#include "spurlug/settings/settings.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string_view>

namespace
{

namespace options = boost::program_options;
using namespace spurlug;

int run(const settings::DaemonSettings &settings, const std::string &portsFile)
{
    core::startLog("spurlugd", settings.logLevel);
    daemon::Daemon daemon(settings);
    const auto &identity = daemon.identity();
    core::writePortsFile(portsFile,
                         {{"vm", identity.vm},
                          {"callers", identity.callerAddress.text()},
                          {"admin", identity.adminAddress.text()},
                          {"peers", identity.peerAddress.text()},
                          {"rpc", identity.rpcAddress.text()}});
    core::waitForStopSignal();
    daemon.drain();
    return core::ExitOk;
}

/// Runs before the constructors of static objects, which take most of the time until main.
[[gnu::constructor(101)]] void blockSignals()
{
    core::blockDaemonSignals();
}

/// Reports why the program ends. The log's own thread writes the report, so that a reader that blocks does not keep the
/// process alive.
void reportFailure(std::string_view error)
{
    if (core::isLogStarted()) {
        core::log(core::LogLevel::Error, "start_failed", {{"error", error}});
    } else {
        std::cerr << "spurlugd: " << error << "\n";
    }
}

int runProgram(int argc, char **argv)
{
    options::options_description description("spurlugd - serves prompts of very different lengths");
    description.add_options()("help,h", "show this text")("version", "show the version")(
        "settings", options::value<std::string>(), "settings file (JSON)")(
        "relay", "run as a relay between callers and targets; the settings must be those of a relay daemon")(
        "check", "check the settings file and exit")("ports-file", options::value<std::string>()->default_value(""),
                                                     "write the bound addresses to this file");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.contains("help")) {
            std::cout << description << "\n";
            return core::ExitOk;
        }
        if (arguments.contains("version")) {
            std::cout << "spurlugd " << core::Version << "\n";
            return core::ExitOk;
        }
        if (!arguments.contains("settings")) {
            std::cerr << "spurlugd: --settings FILE is required\n";
            return core::ExitUsage;
        }
        const auto path = arguments["settings"].as<std::string>();
        if (arguments.contains("relay")) {
            if (arguments.contains("check")) {
                // Throws InvalidDocument if the settings are invalid.
                static_cast<void>(settings::loadRelaySettings(path));
                std::cout << "settings are valid\n";
                return core::ExitOk;
            }
            platform::runDaemon(path);
            return core::ExitOk;
        }
        const auto settings = settings::loadSettings(path);
        if (arguments.contains("check")) {
            std::cout << "settings are valid\n";
            return core::ExitOk;
        }
        return run(settings, arguments["ports-file"].as<std::string>());
    } catch (const core::InvalidDocument &error) {
        reportFailure(error.what());
        return core::ExitUsage;
    } catch (const options::error &error) {
        reportFailure(error.what());
        return core::ExitUsage;
    } catch (const std::exception &error) {
        reportFailure(error.what());
        return core::ExitFailure;
    }
}

} // namespace

int main(int argc, char **argv)
{
    const int exitCode = runProgram(argc, argv);
    if (!core::stopLog()) {
        std::_Exit(exitCode);
    }
    return exitCode;
}
