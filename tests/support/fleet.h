//----------------------------------------------------------------------------------------------------------------------
// spurlug: small fleet of real processes for tests
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

/// \brief HTTP response that a caller received.
struct Answer
{
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    bool isIncomplete
        = false; ///< Whether the request failed or the connection ended before the whole response was received.

    /// \brief The parsed body; a discarded value if it is not JSON.
    [[nodiscard]] nlohmann::json json() const;
    /// \brief Error code in the body or the stream; empty if there is none.
    [[nodiscard]] std::string errorCode() const;
    /// \brief Outcome from the header, the error or the comment at the end of a stream; empty if there is none.
    [[nodiscard]] std::string outcome() const;
    /// \brief Text of a streamed or non-streamed chat completion.
    [[nodiscard]] std::string text() const;
    /// \brief Whether a stream was terminated by `[DONE]`.
    [[nodiscard]] bool streamEnded() const;
};

/// \brief Sends an HTTP request to `address` (`host:port`) and reads the whole response.
[[nodiscard]] Answer call(const std::string &address, const std::string &method, const std::string &path,
                          const std::string &body = {}, const std::map<std::string, std::string> &headers = {});

/// \brief Polls `condition` until it holds. \returns False if it does not hold within 30 s.
[[nodiscard]] bool eventually(const std::function<bool()> &condition);

/// \brief Size and options of a test fleet.
struct FleetOptions
{
    std::vector<std::string> domains{"domain-a"};
    int daemonsPerDomain = 2; ///< Daemons per failure domain.
    int enginesPerDomain = 2; ///< Engines per failure domain.
    double timeScale = 0.02;
    bool proxyEngines = false; ///< Whether each engine is behind a fault proxy.
    bool proxyService = false; ///< Whether the plain service is behind a fault proxy.
    bool proxyPlatform = false; ///< Whether daemons reach the platform through a fault proxy.
    /// Failure domain whose daemons get a platform address on which nothing listens; empty if none.
    std::string domainWithoutPlatform;
    nlohmann::json extraDaemonSettings = nlohmann::json::object(); ///< Merged into each daemon's settings.
    std::int64_t longThresholdTokens = 32'000;
    std::int64_t engineTokens = 400'000;
};

/// \brief A platform, engines, a plain service and daemons, with an active configuration.
class Fleet
{
public:
    static constexpr auto ApiKey = "tester.secret"; ///< API key of the organisation `tester`.

    /// \brief Starts all processes and waits until the daemons are ready.
    /// \throws std::runtime_error if a process does not start, the configuration is rejected or a daemon is not ready.
    explicit Fleet(const FleetOptions &options = {});
    ~Fleet();

    /// \brief Writes the settings of a daemon, with `extras` merged into them. \returns The path of the file.
    std::string writeSettings(const std::string &vm, const std::string &domain,
                              const nlohmann::json &extras = nlohmann::json::object());
    /// \brief Starts a daemon, replacing one of the same name, and adds it to the platform's VM list.
    Process &startDaemon(const std::string &vm, const std::string &domain);
    /// \brief Starts a program under `name`, replacing a process of the same name.
    Process &startProgram(const std::string &name, const std::string &program,
                          const std::vector<std::string> &arguments);

    /// \brief The configuration of the fleet; changes to it take effect with `apply`.
    [[nodiscard]] nlohmann::json &configuration();
    /// \brief Applies the configuration through spurlugctl and, if `wait`, waits for the daemons.
    /// \returns Its exit code and output.
    std::pair<int, std::string> applyConfiguration(bool wait = true);

    [[nodiscard]] Process &process(const std::string &name);
    [[nodiscard]] const std::vector<std::string> &daemons() const;
    [[nodiscard]] const std::vector<std::string> &engines() const;
    /// \brief The address at which a daemon serves callers.
    [[nodiscard]] std::string callerAddress(const std::string &vm);
    /// \brief The address of a daemon's admin API.
    [[nodiscard]] std::string adminAddress(const std::string &vm);
    [[nodiscard]] nlohmann::json status(const std::string &vm);
    [[nodiscard]] nlohmann::json engineState(const std::string &engine);
    /// \brief The value of a daemon's counter or gauge, by its name with labels and without the prefix `spurlug_`.
    /// \throws std::runtime_error if the daemon does not report the metric.
    [[nodiscard]] double metric(const std::string &vm, const std::string &name);
    /// \brief Restarts a killed engine at its previous address.
    void restartEngine(const std::string &engine);
    /// \brief Sets the faults of the fault proxy of a program.
    void setFaults(const std::string &proxiedProgram, const nlohmann::json &faults);
    /// \brief Sets the faults of the stand-in platform.
    void setPlatformFaults(const nlohmann::json &faults);

    /// \brief Sends a chat completion request to a daemon and reads its response.
    [[nodiscard]] Answer complete(const std::string &vm, const std::string &prompt, int answerTokens,
                                  bool stream = true, const std::map<std::string, std::string> &headers = {});
    /// \brief The text that an engine generates for a prompt if nothing fails.
    [[nodiscard]] static std::string expectedAnswer(const std::string &prompt, int answerTokens);
    /// \brief A prompt of `tokens` tokens at four bytes each, which starts with `seed`.
    [[nodiscard]] static std::string makePrompt(std::int64_t tokens, const std::string &seed = "x");

private:
    Process &startEngine(const std::string &name, const std::string &listen);
    [[nodiscard]] std::string proxiedAddress(const std::string &name, bool useProxy);

    FleetOptions m_options;
    TemporaryDirectory m_directory;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    std::vector<std::string> m_daemons;
    std::vector<std::string> m_engines;
    std::string m_daemonPlatformAddress;
    nlohmann::json m_configuration;
};

} // namespace support
