//----------------------------------------------------------------------------------------------------------------------
// spurlug: command line tool for operators
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/config/apply.h"
#include "spurlug/config/configuration.h"
#include "spurlug/core/error.h"
#include "spurlug/core/json_document.h"
#include "spurlug/core/program.h"
#include "spurlug/core/text.h"
#include "spurlug/objects/object_api.h"
#include "spurlug/report/log_report.h"
#include "spurlug/report/retry_report.h"

#include <absl/strings/escaping.h>
#include <absl/time/clock.h>
#include <boost/program_options.hpp>
#include <fstream>
#include <functional>
#include <httplib.h>
#include <iostream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>

namespace
{

namespace options = boost::program_options;
using namespace spurlug;

constexpr auto PollInterval = absl::Milliseconds(200);
constexpr int Ok = 200;

/// The command line is invalid.
class UsageError : public core::Error
{
public:
    using core::Error::Error;
};

std::string requiredOption(const options::variables_map &arguments, const std::string &name)
{
    if (!arguments.contains(name)) {
        throw UsageError(core::cat("--", name, " is required"));
    }
    return arguments[name].as<std::string>();
}

objects::HttpObjectApi openPlatform(const options::variables_map &arguments)
{
    return objects::HttpObjectApi({core::parseAddress(requiredOption(arguments, "platform"))});
}

std::string randomHex(std::size_t bytes)
{
    std::string random(bytes, '\0');
    RAND_bytes(reinterpret_cast<unsigned char *>(random.data()), static_cast<int>(bytes));
    return absl::BytesToHexString(random);
}

nlohmann::json readDocument(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw core::InvalidDocument(path + ": cannot be read");
    }
    auto document = core::parseJson(std::string(std::istreambuf_iterator<char>(file), {}));
    if (document.is_discarded()) {
        throw core::InvalidDocument(path + ": expected a JSON document");
    }
    return document;
}

/// Prints all faults of the document. Returns true if there are none.
bool checkDocument(const nlohmann::json &document, const std::string &path)
{
    std::vector<core::Fault> faults;
    const auto configuration = config::parseConfiguration(document, 0, faults);
    for (const auto &fault : faults) {
        std::cerr << path << ": " << fault.pointer << ": expected " << fault.expected << "\n";
    }
    return faults.empty();
}

nlohmann::json getFromDaemon(const options::variables_map &arguments, const std::string &path)
{
    const auto address = core::parseAddress(requiredOption(arguments, "daemon"));
    httplib::Client client(address.host, address.port);
    const auto result = client.Get(path);
    if (!result) {
        throw core::NetworkError(core::cat(address.text(), ": ", httplib::to_string(result.error())));
    }
    if (result->status != Ok) {
        throw core::NetworkError(core::cat(address.text(), ": status ", result->status, " ", result->body));
    }
    auto answer = core::parseJson(result->body);
    if (answer.is_discarded()) {
        throw core::NetworkError(core::cat(address.text(), ": the answer is not JSON"));
    }
    return answer;
}

nlohmann::json storedDocument(const objects::HttpObjectApi &api, const config::Root &root)
{
    config::PartTexts texts;
    for (const auto &[name, hash] : root.parts) {
        if (auto part = api.read(config::partObjectName(hash))) {
            texts[hash] = std::move(part->value);
        }
    }
    return config::joinDocument(root, texts);
}

int validate(const options::variables_map &arguments)
{
    const auto path = requiredOption(arguments, "file");
    if (!checkDocument(readDocument(path), path)) {
        return core::ExitUsage;
    }
    std::cout << path << " is valid\n";
    return core::ExitOk;
}

/// Whether `generation`, or a later one, is active at a daemon, at its live peers and in all other failure domains that
/// the daemon knows.
bool isActiveEverywhere(const nlohmann::json &status, std::int64_t generation)
{
    bool isActive = status.at("generation") >= generation;
    for (const auto &peer : status.at("peers")) {
        isActive = isActive && peer.at("generation") >= generation;
    }
    for (const auto &domain : status.at("domains")) {
        isActive = isActive && domain.at("lowestGeneration") >= generation;
    }
    return isActive;
}

int waitUntilActive(const options::variables_map &arguments, std::int64_t generation)
{
    const auto started = core::now();
    const auto timeout = absl::Seconds(arguments["timeout"].as<int>());
    while (core::now() - started < timeout) {
        if (isActiveEverywhere(getFromDaemon(arguments, "/status"), generation)) {
            std::cout << "active everywhere after " << core::toMs(core::now() - started) << " ms\n";
            return core::ExitOk;
        }
        absl::SleepFor(PollInterval);
    }
    std::cerr << "generation " << generation << " is stored, but not active everywhere yet; see 'status'\n";
    return core::ExitFailure;
}

int apply(const options::variables_map &arguments)
{
    const auto path = requiredOption(arguments, "file");
    const auto document = readDocument(path);
    if (!checkDocument(document, path)) {
        return core::ExitUsage;
    }
    const auto api = openPlatform(arguments);
    const auto stored = config::readStoredRoot(api);
    if (arguments.contains("expect") && arguments["expect"].as<std::int64_t>() != stored.root.generation) {
        throw core::VersionConflict(
            core::cat("generation ", stored.root.generation, " by ", stored.root.author, " is active"));
    }
    constexpr std::size_t ChangeIdBytes = 8;
    const auto generation = config::applyConfiguration(api, document, stored, randomHex(ChangeIdBytes),
                                                       arguments["author"].as<std::string>());
    std::cout << "generation " << generation << " is stored\n";
    return arguments.contains("wait") ? waitUntilActive(arguments, generation) : core::ExitOk;
}

int get(const options::variables_map &arguments)
{
    const auto api = openPlatform(arguments);
    const auto stored = config::readStoredRoot(api);
    std::cerr << "generation " << stored.root.generation << " by " << stored.root.author << "\n";
    std::cout << storedDocument(api, stored.root).dump(4) << "\n";
    return core::ExitOk;
}

int diff(const options::variables_map &arguments)
{
    const auto document = readDocument(requiredOption(arguments, "file"));
    const auto api = openPlatform(arguments);
    auto stored = storedDocument(api, config::readStoredRoot(api).root);
    const auto sortOrganisations = [](nlohmann::json &value) {
        auto &list = value["organisations"];
        std::sort(list.begin(), list.end(),
                  [](const auto &left, const auto &right) { return left.at("name") < right.at("name"); });
    };
    auto wanted = document;
    sortOrganisations(stored);
    sortOrganisations(wanted);
    const auto patch = nlohmann::json::diff(stored, wanted);
    std::cout << patch.dump(4) << "\n";
    return patch.empty() ? core::ExitOk : core::ExitFailure;
}

int status(const options::variables_map &arguments)
{
    std::cout << getFromDaemon(arguments, "/status").dump(4) << "\n";
    return core::ExitOk;
}

/// Calls `read` with each file given by --logs, or with standard input for "-" and if --logs is missing.
template<typename Read>
void readLogs(const options::variables_map &arguments, Read read)
{
    const auto paths
        = arguments.contains("logs") ? arguments["logs"].as<std::vector<std::string>>() : std::vector<std::string>{"-"};
    for (const auto &path : paths) {
        if (path == "-") {
            read(std::cin);
            continue;
        }
        std::ifstream file(path);
        if (!file) {
            throw core::InvalidDocument(path + ": cannot be read");
        }
        read(file);
    }
}

int report(const options::variables_map &arguments)
{
    const auto seconds = arguments["interval"].as<int>();
    if (seconds <= 0) {
        throw UsageError("--interval must be a number of seconds above 0");
    }
    spurlug::report::LogReport logReport{core::Duration(absl::Seconds(seconds))};
    readLogs(arguments, [&](std::istream &lines) { logReport.addAll(lines); });
    std::cout << logReport.text();
    return core::ExitOk;
}

int retries(const options::variables_map &arguments)
{
    spurlug::report::RetryReport retryReport;
    readLogs(arguments, [&](std::istream &lines) { retryReport.addAll(lines); });
    std::cout << retryReport.text();
    return core::ExitOk;
}

int explainFromLogs(const options::variables_map &arguments)
{
    std::stringstream all;
    readLogs(arguments, [&](std::istream &lines) { all << lines.rdbuf(); });
    const auto found = spurlug::report::linesOfRequest(requiredOption(arguments, "file"), all);
    for (const auto &line : found) {
        std::cout << line << "\n";
    }
    return found.empty() ? core::ExitFailure : core::ExitOk;
}

int explain(const options::variables_map &arguments)
{
    if (arguments.contains("logs")) {
        return explainFromLogs(arguments);
    }
    std::cout << getFromDaemon(arguments, "/explain/" + requiredOption(arguments, "file")).dump(4) << "\n";
    return core::ExitOk;
}

int watch(const options::variables_map &arguments)
{
    std::uint64_t last = 0;
    while (true) {
        const auto reply = getFromDaemon(arguments, core::cat("/decisions?after=", last));
        for (const auto &decision : reply.at("decisions")) {
            std::cout << decision.dump() << std::endl;
        }
        last = reply.at("last");
        absl::SleepFor(PollInterval);
    }
}

int drain(const options::variables_map &arguments)
{
    const auto address = core::parseAddress(requiredOption(arguments, "daemon"));
    httplib::Client client(address.host, address.port);
    if (!client.Post("/drain", "", "text/plain")) {
        throw core::NetworkError(address.text() + " does not answer");
    }
    std::cout << "draining\n";
    return core::ExitOk;
}

int newKey(const options::variables_map & /*arguments*/)
{
    constexpr std::size_t SaltBytes = 6;
    constexpr std::size_t SecretBytes = 24;
    const auto salt = randomHex(SaltBytes);
    const auto key = core::cat(salt, ".", randomHex(SecretBytes));
    std::cout << nlohmann::ordered_json{{"key", key}, {"salt", salt}, {"digest", config::keyDigest(salt, key)}}.dump(4)
              << "\n";
    return core::ExitOk;
}

int hashKey(const options::variables_map &arguments)
{
    const auto key = requiredOption(arguments, "file");
    const auto salt = key.substr(0, key.find('.'));
    std::cout << nlohmann::ordered_json{{"salt", salt}, {"digest", config::keyDigest(salt, key)}}.dump() << "\n";
    return core::ExitOk;
}

struct Command
{
    std::string_view help;
    std::function<int(const options::variables_map &)> run;
};

const std::map<std::string, Command> &commands()
{
    static const std::map<std::string, Command> all{
        {"validate", {"FILE: check a configuration and list all errors", validate}},
        {"apply", {"FILE: make a configuration active (--platform; --wait with --daemon)", apply}},
        {"get", {"print the active configuration (--platform)", get}},
        {"diff", {"FILE: print what apply would change, as a JSON patch (--platform)", diff}},
        {"report", {"summarise the results of requests from daemons' logs (--logs, --interval)", report}},
        {"repeats", {"compare the fleet's retries with their limit, from all daemons' logs (--logs)", retries}},
        {"status", {"print a daemon's view of the fleet (--daemon)", status}},
        {"explain", {"REQUEST-ID: print the decision on a request (--daemon, or --logs of several)", explain}},
        {"watch", {"print decisions as they are recorded (--daemon)", watch}},
        {"drain", {"start the planned shutdown of a daemon (--daemon)", drain}},
        {"new-key", {"create an API key and its digest", newKey}},
        {"hash-key", {"KEY: print the digest of an API key", hashKey}},
    };
    return all;
}

void printHelp(const options::options_description &description)
{
    std::cout << "usage: spurlugctl COMMAND [ARGUMENT] [OPTIONS]\n\ncommands:\n";
    for (const auto &[name, command] : commands()) {
        std::cout << "  " << name << " - " << command.help << "\n";
    }
    std::cout << "\n" << description << "\n";
}

int run(int argc, char **argv)
{
    options::options_description description("options");
    description.add_options()("help,h", "show this text")("version", "show the version")(
        "platform", options::value<std::string>(), "object API, HOST:PORT")("daemon", options::value<std::string>(),
                                                                            "admin address of any daemon, HOST:PORT")(
        "author", options::value<std::string>()->default_value("operator"), "author recorded with the change")(
        "expect", options::value<std::int64_t>(), "apply only if this is the current generation")(
        "wait", "wait until the change is active everywhere")("timeout", options::value<int>()->default_value(30),
                                                              "seconds that --wait waits")(
        "logs", options::value<std::vector<std::string>>()->multitoken(), "log files of daemons; - for standard input")(
        "interval", options::value<int>()->default_value(10), "seconds that a line of the report covers");
    options::options_description hidden;
    hidden.add_options()("command", options::value<std::string>())("file", options::value<std::string>());
    options::options_description all;
    all.add(description).add(hidden);
    options::positional_options_description positional;
    positional.add("command", 1).add("file", 1);
    options::variables_map arguments;
    options::store(options::command_line_parser(argc, argv).options(all).positional(positional).run(), arguments);
    if (arguments.contains("version")) {
        std::cout << "spurlugctl " << core::Version << "\n";
        return core::ExitOk;
    }
    if (arguments.contains("help") || !arguments.contains("command")) {
        printHelp(description);
        return arguments.contains("help") ? core::ExitOk : core::ExitUsage;
    }
    const auto command = commands().find(arguments["command"].as<std::string>());
    if (command == commands().end()) {
        throw UsageError(core::cat("unknown command '", arguments["command"].as<std::string>(), "'"));
    }
    return command->second.run(arguments);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const UsageError &error) {
        std::cerr << "spurlugctl: " << error.what() << "\n";
        return core::ExitUsage;
    } catch (const core::InvalidDocument &error) {
        std::cerr << "spurlugctl: " << error.what() << "\n";
        return core::ExitUsage;
    } catch (const options::error &error) {
        std::cerr << "spurlugctl: " << error.what() << "\n";
        return core::ExitUsage;
    } catch (const core::VersionConflict &error) {
        std::cerr << "spurlugctl: conflict, nothing was changed: " << error.what()
                  << "; see 'spurlugctl diff', then apply again\n";
        return core::ExitFailure;
    } catch (const core::UnknownResult &error) {
        std::cerr << "spurlugctl: the change may be active: " << error.what() << "; see 'spurlugctl get'\n";
        return core::ExitFailure;
    } catch (const std::exception &error) {
        std::cerr << "spurlugctl: " << error.what() << "\n";
        return core::ExitFailure;
    }
}
