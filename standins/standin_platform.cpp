//----------------------------------------------------------------------------------------------------------------------
// spurlug: stand-in for the platform: object API, VM list and weight store
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "object_store.h"

#include "spurlug/core/address.h"
#include "spurlug/core/log.h"
#include "spurlug/core/program.h"
#include "spurlug/core/text.h"
#include "spurlug/daemon/http_listener.h"

#include <absl/time/clock.h>
#include <atomic>
#include <boost/program_options.hpp>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace standins
{

namespace
{

namespace options = boost::program_options;
namespace core = spurlug::core;

constexpr int NotModified = 304;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int TooLarge = 413;
constexpr int TooManyRequests = 429;
constexpr int InternalError = 500;
constexpr int Unavailable = 503;
constexpr std::size_t MaxValueBytes = 1U << 20;
constexpr auto MaxWatchTime = absl::Seconds(60);

/// Faults that tests set by `POST /standin/faults`.
struct Faults
{
    std::atomic<bool> isDown{false};
    std::atomic<int> delayMs{0};
    std::atomic<int> responsesToCutOff{
        0}; ///< Number of further updates that are processed but whose response is cut off.
};

std::int64_t parseNumber(const std::string &text, std::int64_t fallback)
{
    std::int64_t value = fallback;
    return core::parseInteger(text, value) ? value : fallback;
}

/// The object API, VM list and weight store over HTTP, with rate limits and faults.
class Platform
{
public:
    Platform(double readsPerSecond, double writesPerSecond, core::Duration maxVmListAge, double weightBytesPerSecond)
        : m_maxVmListAge(maxVmListAge)
    {
        const auto now = core::now();
        m_readLimiter.setRate(readsPerSecond, readsPerSecond, now);
        m_writeLimiter.setRate(writesPerSecond, writesPerSecond, now);
        m_weightLimiter.setRate(weightBytesPerSecond, weightBytesPerSecond, now);
    }

    void configure(httplib::Server &server)
    {
        server.Get("/objects", [this](const auto &request, auto &response) {
            if (admitRead(response)) {
                const nlohmann::json names = m_objects.names(request.get_param_value("prefix"));
                response.set_content(names.dump(), "application/json");
            }
        });
        server.Get(R"(/objects/(.+))", [this](const auto &request, auto &response) { read(request, response); });
        server.Put(R"(/objects/(.+))", [this](const auto &request, auto &response) { update(request, response); });
        server.Delete(R"(/objects/(.+))", [this](const auto &request, auto &response) { remove(request, response); });
        server.Get("/vms", [this](const auto &, auto &response) { listVms(response); });
        server.Get(R"(/weights/(\d+))",
                   [this](const auto &request, auto &response) { sendWeights(request, response); });
        server.Put(R"(/standin/vms/(.+))", [this](const auto &request, auto &response) { putVm(request, response); });
        server.Delete(R"(/standin/vms/(.+))", [this](const auto &request, auto &) {
            absl::MutexLock lock(&m_mutex);
            m_vms.erase(request.matches[1].str());
        });
        server.Post("/standin/faults", [this](const auto &request, auto &response) { setFaults(request, response); });
        server.Get("/standin/stats", [this](const auto &, auto &response) {
            const nlohmann::json stats{{"reads", m_readCount.load()},
                                       {"writes", m_writeCount.load()},
                                       {"watching", m_watchCount.load()},
                                       {"limited", m_rateLimitedCount.load()}};
            response.set_content(stats.dump(), "application/json");
        });
    }

private:
    bool admitRequest(spurlug::limits::TokenBucket &bucket, std::atomic<std::int64_t> &count,
                      httplib::Response &response)
    {
        ++count;
        absl::SleepFor(core::fromMs(m_faults.delayMs));
        if (m_faults.isDown) {
            response.status = Unavailable;
            return false;
        }
        absl::MutexLock lock(&m_mutex);
        if (!bucket.take(1, core::now())) {
            ++m_rateLimitedCount;
            response.status = TooManyRequests;
            return false;
        }
        return true;
    }

    bool admitRead(httplib::Response &response)
    {
        return admitRequest(m_readLimiter, m_readCount, response);
    }

    static void sendObject(const std::optional<StoredObject> &object, int statusIfMissing, httplib::Response &response)
    {
        if (!object) {
            response.status = statusIfMissing;
            return;
        }
        response.set_header("Object-Version", std::to_string(object->version));
        response.set_content(object->value, "application/octet-stream");
    }

    void read(const httplib::Request &request, httplib::Response &response)
    {
        if (!admitRead(response)) {
            return;
        }
        const auto name = request.matches[1].str();
        if (!request.has_param("after")) {
            sendObject(m_objects.read(name), NotFound, response);
            return;
        }
        ++m_watchCount;
        const auto deadline = core::now()
            + std::min(core::fromMs(parseNumber(request.get_param_value("waitMs"), 0)), core::Duration(MaxWatchTime));
        const auto after = parseNumber(request.get_param_value("after"), 0);
        std::optional<StoredObject> object;
        constexpr auto OutageCheckInterval = absl::Milliseconds(200); // Interval at which a watch checks Faults::down.
        while (!object && core::now() < deadline && !m_faults.isDown) {
            object = m_objects.awaitNewer(name, after,
                                          std::min(core::Duration(OutageCheckInterval), deadline - core::now()));
        }
        --m_watchCount;
        sendObject(object, m_faults.isDown ? Unavailable : NotModified, response);
    }

    static std::optional<std::int64_t> expectedVersion(const httplib::Request &request)
    {
        return request.has_header("If-Version") ? std::optional(parseNumber(request.get_header_value("If-Version"), -1))
                                                : std::nullopt;
    }

    /// Cuts off the response of a processed update while Faults::responsesToCutOff is above zero, and counts it down.
    bool cutOffResponse(httplib::Response &response)
    {
        if (m_faults.responsesToCutOff <= 0) {
            return false;
        }
        --m_faults.responsesToCutOff;
        response.status = InternalError;
        response.set_content_provider(1, "text/plain",
                                      [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
        return true;
    }

    void update(const httplib::Request &request, httplib::Response &response)
    {
        if (!admitRequest(m_writeLimiter, m_writeCount, response)) {
            return;
        }
        if (request.body.size() > MaxValueBytes) {
            response.status = TooLarge;
            return;
        }
        const auto name = request.matches[1].str();
        const auto version = m_objects.update(name, request.body, expectedVersion(request));
        if (cutOffResponse(response)) {
            return;
        }
        if (!version) {
            response.status = Conflict;
        }
        const auto stored = m_objects.read(name);
        response.set_header("Object-Version", std::to_string(version ? *version : stored ? stored->version : 0));
    }

    void remove(const httplib::Request &request, httplib::Response &response)
    {
        if (admitRequest(m_writeLimiter, m_writeCount, response)
            && !m_objects.remove(request.matches[1].str(), expectedVersion(request))) {
            response.status = Conflict;
        }
    }

    void putVm(const httplib::Request &request, httplib::Response &response)
    {
        auto vm = nlohmann::json::parse(request.body, nullptr, false);
        if (!vm.is_object()) {
            response.status = Conflict;
            return;
        }
        const auto id = request.matches[1].str();
        vm["id"] = id;
        absl::MutexLock lock(&m_mutex);
        m_vms[id] = std::move(vm);
    }

    /// Sends the VM list, which is renewed once it is as old as the VM list lag.
    void listVms(httplib::Response &response)
    {
        if (!admitRead(response)) {
            return;
        }
        const auto now = core::now();
        absl::MutexLock lock(&m_mutex);
        if (now - m_vmListTime >= m_maxVmListAge) {
            m_vmList = nlohmann::json::array();
            for (const auto &[id, vm] : m_vms) {
                m_vmList.push_back(vm);
            }
            m_vmListTime = now;
        }
        response.set_content(m_vmList.dump(), "application/json");
    }

    void sendWeights(const httplib::Request &request, httplib::Response &response)
    {
        const auto bytes = parseNumber(request.matches[1].str(), 0);
        absl::MutexLock lock(&m_mutex);
        if (!m_weightLimiter.take(static_cast<double>(bytes), core::now())) {
            response.status = TooManyRequests;
        }
    }

    void setFaults(const httplib::Request &request, httplib::Response &response)
    {
        const auto faults = nlohmann::json::parse(request.body, nullptr, false);
        if (!faults.is_object()) {
            response.status = Conflict;
            return;
        }
        m_faults.isDown = faults.value("down", m_faults.isDown.load());
        m_faults.delayMs = faults.value("slowMs", m_faults.delayMs.load());
        m_faults.responsesToCutOff = faults.value("loseAnswers", m_faults.responsesToCutOff.load());
    }

    ObjectStore m_objects;
    Faults m_faults;
    const core::Duration m_maxVmListAge;
    std::atomic<std::int64_t> m_readCount{0};
    std::atomic<std::int64_t> m_writeCount{0};
    std::atomic<std::int64_t> m_rateLimitedCount{0};
    std::atomic<std::int64_t> m_watchCount{0};
    absl::Mutex m_mutex;
    spurlug::limits::TokenBucket m_readLimiter ABSL_GUARDED_BY(m_mutex);
    spurlug::limits::TokenBucket m_writeLimiter ABSL_GUARDED_BY(m_mutex);
    spurlug::limits::TokenBucket m_weightLimiter ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, nlohmann::json> m_vms ABSL_GUARDED_BY(m_mutex);
    nlohmann::json m_vmList ABSL_GUARDED_BY(m_mutex) = nlohmann::json::array();
    core::Time m_vmListTime ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
};

} // namespace

} // namespace standins

int main(int argc, char **argv)
{
    using namespace standins;
    options::options_description description("standin-platform - behaves like the platform's services");
    description.add_options()("help,h", "show this text")(
        "listen", options::value<std::string>()->default_value("127.0.0.1:0"),
        "HOST:PORT")("reads-per-second", options::value<double>()->default_value(2000), "rate limit of reads")(
        "writes-per-second", options::value<double>()->default_value(100), "rate limit of writes")(
        "vm-list-lag-ms", options::value<std::int64_t>()->default_value(0), "maximum age of the VM list")(
        "weight-bytes-per-second", options::value<double>()->default_value(1e9), "rate limit of the weight store")(
        "ports-file", options::value<std::string>()->default_value(""), "write the bound address to this file");
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description), arguments);
        if (arguments.contains("help")) {
            std::cout << description << "\n";
            return core::ExitOk;
        }
        core::blockStopSignals();
        core::startLog("standin-platform", core::LogLevel::Warning);
        Platform platform(arguments["reads-per-second"].as<double>(), arguments["writes-per-second"].as<double>(),
                          core::fromMs(arguments["vm-list-lag-ms"].as<std::int64_t>()),
                          arguments["weight-bytes-per-second"].as<double>());
        const spurlug::daemon::HttpListener listener(core::parseAddress(arguments["listen"].as<std::string>()),
                                                     {1024, 4U << 20},
                                                     [&](httplib::Server &server) { platform.configure(server); });
        core::writePortsFile(arguments["ports-file"].as<std::string>(), {{"listen", listener.address().text()}});
        core::waitForStopSignal();
        return core::ExitOk;
    } catch (const std::exception &error) {
        std::cerr << "standin-platform: " << error.what() << "\n";
        return core::ExitUsage;
    }
}
