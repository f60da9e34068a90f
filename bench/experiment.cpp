//----------------------------------------------------------------------------------------------------------------------
// spurlug: experiments, which define the requests to send and their times
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "experiment.h"

#include "spurlug/core/error.h"
#include "spurlug/core/json_reader.h"
#include "spurlug/core/text.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <random>

namespace bench
{

namespace core = spurlug::core;

namespace
{

constexpr double Most = 1e9;
constexpr std::int64_t MostTokens = 10'000'000;

template<typename Item>
const Item &pickByShare(const std::vector<Item> &items, double draw)
{
    double sum = 0;
    for (const auto &item : items) {
        sum += item.share;
    }
    double left = draw * sum;
    for (const auto &item : items) {
        left -= item.share;
        if (left < 0) {
            return item;
        }
    }
    return items.back();
}

} // namespace

Experiment loadExperiment(const std::string &path)
{
    std::ifstream file(path);
    const auto document = nlohmann::json::parse(file, nullptr, false);
    std::vector<core::Fault> faults;
    core::ObjectReader reader(document, "", faults);
    Experiment experiment;
    experiment.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, INT32_MAX, 1));
    experiment.seconds = reader.number("seconds", 0, Most, experiment.seconds);
    experiment.requestsPerSecond = reader.number("requestsPerSecond", 0, Most, experiment.requestsPerSecond);
    experiment.model = reader.text("model");
    experiment.answerTokens = reader.integer("answerTokens", 1, MostTokens, experiment.answerTokens);
    experiment.sharedPrefix = reader.number("sharedPrefix", 0, 1, experiment.sharedPrefix);
    experiment.deadlineMs = reader.integer("deadlineMs", 0, MostTokens, 0);
    reader.objects("lengths", [&](core::ObjectReader &child) {
        LengthRange range;
        range.share = child.number("share", 0, Most, range.share);
        range.least = child.integer("least", 1, MostTokens);
        range.most = child.integer("most", 1, MostTokens);
        range.requestClass = child.text("class", "");
        experiment.lengths.push_back(range);
    });
    reader.objects("senders", [&](core::ObjectReader &child) {
        Sender sender;
        sender.key = child.text("key");
        sender.share = child.number("share", 0, Most, sender.share);
        experiment.senders.push_back(sender);
    });
    reader.objects("always", [&](core::ObjectReader &child) {
        experiment.always.push_back(child.integer("tokens", 1, MostTokens));
    });
    reader.rejectOthers();
    if (experiment.lengths.empty() || experiment.senders.empty()) {
        faults.push_back({"", "at least one range of lengths and one sender"});
    }
    if (!faults.empty()) {
        throw core::InvalidDocument(
            core::cat(path, ": ", faults.front().pointer, ": expected ", faults.front().expected));
    }
    return experiment;
}

std::vector<PlannedRequest> plan(const Experiment &experiment)
{
    std::mt19937_64 random(experiment.seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::exponential_distribution<double> gap(experiment.requestsPerSecond);
    std::vector<PlannedRequest> requests;
    const auto add = [&](double at, std::int64_t tokens, const std::string &requestClass) {
        const auto &sender = pickByShare(experiment.senders, uniform(random));
        requests.push_back(
            {absl::Seconds(at), tokens, requestClass, sender.key, random(), uniform(random) < experiment.sharedPrefix});
    };
    for (const auto tokens : experiment.always) {
        const auto fits = std::find_if(experiment.lengths.begin(), experiment.lengths.end(), [&](const auto &range) {
            return tokens >= range.least && tokens <= range.most;
        });
        add(0, tokens, fits == experiment.lengths.end() ? "" : fits->requestClass);
    }
    for (double at = gap(random); at < experiment.seconds; at += gap(random)) {
        const auto &range = pickByShare(experiment.lengths, uniform(random));
        const double ratio = static_cast<double>(range.most) / static_cast<double>(range.least);
        const double tokens = static_cast<double>(range.least) * std::pow(ratio, uniform(random));
        add(at, static_cast<std::int64_t>(tokens), range.requestClass);
    }
    if (experiment.onlyBelow > 0) {
        std::erase_if(requests, [&](const auto &request) { return request.tokens >= experiment.onlyBelow; });
    }
    return requests;
}

} // namespace bench
