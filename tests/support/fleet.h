//----------------------------------------------------------------------------------------------------------------------
// spurlug: a small fleet of real processes
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "process.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace support
{

/// \brief What a caller got.
struct Answer
{
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    bool cut = false; ///< The connection ended before the response did.

    [[nodiscard]] nlohmann::json json() const;
    /// \brief Code of the error told in the body or the stream; empty: none.
    [[nodiscard]] std::string errorCode() const;
    /// \brief Outcome told with the error or in the header.
    [[nodiscard]] std::string outcome() const;
    /// \brief Text of a streamed or whole completion.
    [[nodiscard]] std::string text() const;
    /// \brief Whether a stream was brought to its proper end.
    [[nodiscard]] bool streamEnded() const;
};

/// \brief Sends an HTTP request to `address` and reads the whole answer.
[[nodiscard]] Answer call(const std::string &address, const std::string &method, const std::string &path,
                          const std::string &body = {}, const std::map<std::string, std::string> &headers = {});

/// \brief Waits until `condition` holds. \returns False after a generous time-out.
[[nodiscard]] bool eventually(const std::function<bool()> &condition);

/// \brief How a fleet is laid out.
struct FleetShape
{
    std::vector<std::string> domains{"domain-a"};
    int daemonsEach = 2;
    int enginesEach = 2;
    double timeScale = 0.02;
    bool proxyEngines = false; ///< A fault proxy before each engine.
    bool proxyService = false; ///< A fault proxy before the plain service.
    bool proxyPlatform = false; ///< A fault proxy before the platform, for daemons.
    std::string platformlessDomain; ///< Its daemons know an address of the platform that nobody listens on.
    nlohmann::json daemonExtras = nlohmann::json::object(); ///< Merged into each daemon's settings.
    std::int64_t longThresholdTokens = 32'000;
    std::int64_t engineTokens = 400'000;
};

/// \brief A platform, engines, a plain service and daemons, with a configuration in force.
class Fleet
{
public:
    static constexpr auto Key = "tester.secret";

    explicit Fleet(const FleetShape &shape = {});
    ~Fleet();

    /// \brief Settings of a daemon that is not running yet.
    std::string writeSettings(const std::string &vm, const std::string &domain,
                              const nlohmann::json &extras = nlohmann::json::object());
    Process &startDaemon(const std::string &vm, const std::string &domain);
    /// \brief Starts a program beside the fleet.
    Process &start(const std::string &name, const std::string &program, const std::vector<std::string> &arguments);

    /// \brief The configuration that a new fleet has; changes to it take effect by `apply`.
    [[nodiscard]] nlohmann::json &configuration();
    /// \brief Applies the configuration through spurlugctl. \returns Its exit code and output.
    std::pair<int, std::string> apply(bool wait = true);

    [[nodiscard]] Process &process(const std::string &name);
    [[nodiscard]] const std::vector<std::string> &daemons() const;
    [[nodiscard]] const std::vector<std::string> &engines() const;
    [[nodiscard]] std::string caller(const std::string &vm);
    [[nodiscard]] std::string admin(const std::string &vm);
    [[nodiscard]] nlohmann::json status(const std::string &vm);
    [[nodiscard]] nlohmann::json engineState(const std::string &engine);
    /// \brief A counter or gauge of a daemon, by its whole name with labels.
    [[nodiscard]] double metric(const std::string &vm, const std::string &name);
    /// \brief Starts a killed engine again at its old address.
    void restartEngine(const std::string &engine);
    /// \brief Sets the faults of the proxy before a program.
    void setFaults(const std::string &proxied, const nlohmann::json &faults);
    /// \brief Sets the faults of the platform itself.
    void setPlatformFaults(const nlohmann::json &faults);

    /// \brief Sends a chat completion.
    [[nodiscard]] Answer complete(const std::string &vm, const std::string &prompt, int answerTokens,
                                  bool stream = true, const std::map<std::string, std::string> &headers = {});
    /// \brief The text that an undisturbed engine answers.
    [[nodiscard]] static std::string expected(const std::string &prompt, int answerTokens);
    [[nodiscard]] static std::string promptOf(std::int64_t tokens, const std::string &seed = "x");

private:
    Process &startEngine(const std::string &name, const std::string &listen);
    [[nodiscard]] std::string behindProxy(const std::string &name, bool proxied);

    FleetShape m_shape;
    TemporaryDirectory m_directory;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    std::vector<std::string> m_daemons;
    std::vector<std::string> m_engines;
    std::string m_platformForDaemons;
    nlohmann::json m_configuration;
};

} // namespace support
