//----------------------------------------------------------------------------------------------------------------------
// spurlug: stand-in for a plain service that counts how often each request ran
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/address.h"
#include "spurlug/core/log.h"
#include "spurlug/core/program.h"
#include "spurlug/core/time.h"
#include "spurlug/daemon/http_listener.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <boost/program_options.hpp>
#include <httplib.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace
{

namespace options = boost::program_options;
namespace core = spurlug::core;

/// Counts the runs per `Work-Id` header, so that tests can verify at-most-once execution.
class RunCounter
{
public:
    void add(const std::string &workId)
    {
        absl::MutexLock lock(&m_mutex);
        ++m_runs[workId];
    }

    [[nodiscard]] nlohmann::json toJson() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_runs;
    }

private:
    mutable absl::Mutex m_mutex;
    std::map<std::string, int> m_runs ABSL_GUARDED_BY(m_mutex);
};

void configure(httplib::Server &server, RunCounter &counts, core::Duration delay)
{
    const auto handleRequest = [&counts, delay](const httplib::Request &request, httplib::Response &response) {
        counts.add(request.get_header_value("Work-Id"));
        absl::SleepFor(delay);
        const nlohmann::json answer{{"method", request.method},
                                    {"path", request.target},
                                    {"organisation", request.get_header_value("Organisation")},
                                    {"body", request.body}};
        response.set_header("Service", "standin");
        response.set_content(answer.dump(), "application/json");
    };
    server.Get("/standin/runs", [&counts](const auto &, auto &response) {
        response.set_content(counts.toJson().dump(), "application/json");
    });
    server.Get("/teapot", [](const auto &, auto &response) {
        response.status = 418;
        response.set_content("short and stout", "text/plain");
    });
    server.Get(".*", handleRequest);
    server.Post(".*", handleRequest);
    server.Put(".*", handleRequest);
    server.Delete(".*", handleRequest);
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("standin-service - behaves like a plain service");
    description.add_options()("help,h", "show this text")(
        "listen", options::value<std::string>()->default_value("127.0.0.1:0"),
        "HOST:PORT")("delay-ms", options::value<std::int64_t>()->default_value(0), "time that each request takes")(
        "ports-file", options::value<std::string>()->default_value(""), "write the bound address to this file");
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.contains("help")) {
            std::cout << description << "\n";
            return core::ExitOk;
        }
        core::blockStopSignals();
        core::startLog("standin-service", core::LogLevel::Warning);
        RunCounter counts;
        const auto delay = core::fromMs(arguments["delay-ms"].as<std::int64_t>());
        const spurlug::daemon::HttpListener listener(
            core::parseAddress(arguments["listen"].as<std::string>()), {128, 16U << 20},
            [&](httplib::Server &server) { configure(server, counts, delay); });
        core::writePortsFile(arguments["ports-file"].as<std::string>(), {{"listen", listener.address().text()}});
        core::waitForStopSignal();
        return core::ExitOk;
    } catch (const std::exception &error) {
        std::cerr << "standin-service: " << error.what() << "\n";
        return core::ExitUsage;
    }
}
