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

constexpr double MaxNumber = 1e9;
constexpr std::int64_t MaxTokens = 10'000'000;

template<typename Item>
const Item &chooseByShare(const std::vector<Item> &items, double randomValue)
{
    double sum = 0;
    for (const auto &item : items) {
        sum += item.share;
    }
    double remainder = randomValue * sum;
    for (const auto &item : items) {
        remainder -= item.share;
        if (remainder < 0) {
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
    experiment.durationSeconds = reader.number("seconds", 0, MaxNumber, experiment.durationSeconds);
    experiment.requestsPerSecond = reader.number("requestsPerSecond", 0, MaxNumber, experiment.requestsPerSecond);
    experiment.model = reader.string("model");
    experiment.answerTokens = reader.integer("answerTokens", 1, MaxTokens, experiment.answerTokens);
    experiment.sharedPrefixFraction = reader.number("sharedPrefix", 0, 1, experiment.sharedPrefixFraction);
    experiment.deadlineMs = reader.integer("deadlineMs", 0, MaxTokens, 0);
    reader.forEachObject("lengths", [&](core::ObjectReader &child) {
        LengthRange range;
        range.share = child.number("share", 0, MaxNumber, range.share);
        range.minTokens = child.integer("least", 1, MaxTokens);
        range.maxTokens = child.integer("most", 1, MaxTokens);
        range.requestClass = child.string("class", "");
        experiment.lengths.push_back(range);
    });
    reader.forEachObject("senders", [&](core::ObjectReader &child) {
        Sender sender;
        sender.key = child.string("key");
        sender.share = child.number("share", 0, MaxNumber, sender.share);
        experiment.senders.push_back(sender);
    });
    reader.forEachObject("always", [&](core::ObjectReader &child) {
        experiment.initialPromptTokens.push_back(child.integer("tokens", 1, MaxTokens));
    });
    reader.rejectUnknownMembers();
    if (experiment.lengths.empty() || experiment.senders.empty()) {
        faults.push_back({"", "at least one range of lengths and one sender"});
    }
    if (!faults.empty()) {
        throw core::InvalidDocument(
            core::cat(path, ": ", faults.front().pointer, ": expected ", faults.front().expected));
    }
    return experiment;
}

std::vector<PlannedRequest> planRequests(const Experiment &experiment)
{
    std::mt19937_64 random(experiment.seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::exponential_distribution<double> interarrivalTime(experiment.requestsPerSecond);
    std::vector<PlannedRequest> requests;
    const auto add = [&](double at, std::int64_t tokens, const std::string &requestClass) {
        const auto &sender = chooseByShare(experiment.senders, uniform(random));
        requests.push_back({absl::Seconds(at), tokens, requestClass, sender.key, random(),
                            uniform(random) < experiment.sharedPrefixFraction});
    };
    for (const auto tokens : experiment.initialPromptTokens) {
        const auto matchingRange
            = std::find_if(experiment.lengths.begin(), experiment.lengths.end(),
                           [&](const auto &range) { return tokens >= range.minTokens && tokens <= range.maxTokens; });
        add(0, tokens, matchingRange == experiment.lengths.end() ? "" : matchingRange->requestClass);
    }
    for (double at = interarrivalTime(random); at < experiment.durationSeconds; at += interarrivalTime(random)) {
        const auto &range = chooseByShare(experiment.lengths, uniform(random));
        const double ratio = static_cast<double>(range.maxTokens) / static_cast<double>(range.minTokens);
        const double tokens = static_cast<double>(range.minTokens) * std::pow(ratio, uniform(random));
        add(at, static_cast<std::int64_t>(tokens), range.requestClass);
    }
    if (experiment.promptTokenLimit > 0) {
        std::erase_if(requests, [&](const auto &request) { return request.tokens >= experiment.promptTokenLimit; });
    }
    return requests;
}

} // namespace bench
