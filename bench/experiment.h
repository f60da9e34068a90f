//----------------------------------------------------------------------------------------------------------------------
// spurlug: experiments, which define the requests to send and their times
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bench
{

/// \brief A range of prompt lengths.
struct LengthRange
{
    double share = 1; ///< Weight of the range among all ranges.
    std::int64_t minTokens = 1000; ///< Minimum length in tokens.
    std::int64_t maxTokens = 4000; ///< Maximum length in tokens.
    std::string requestClass; ///< Value of the class header; empty: none is sent.
};

/// \brief A sender of requests.
struct Sender
{
    std::string key; ///< API key.
    double share = 1; ///< Weight of the sender among all senders.
};

/// \brief Contents of an experiment file.
struct Experiment
{
    std::uint64_t seed = 1;
    double durationSeconds = 10;
    double requestsPerSecond = 10;
    std::string model;
    std::int64_t answerTokens = 32;
    double sharedPrefixFraction = 0.3; ///< Share of the prompts that start with the shared prefix of their sender.
    std::int64_t deadlineMs = 0; ///< Deadline of each request; 0: the default of its class.
    std::vector<LengthRange> lengths;
    std::vector<Sender> senders;
    std::int64_t promptTokenLimit = 0; ///< Length in tokens below which prompts are sent; 0: all are sent.
    std::vector<std::int64_t>
        initialPromptTokens; ///< Lengths in tokens of prompts that are sent once each, at the start.
};

/// \brief A request to be sent.
struct PlannedRequest
{
    spurlug::core::Duration sendOffset; ///< Time since the start of the experiment.
    std::int64_t tokens = 0; ///< Length of the prompt.
    std::string requestClass;
    std::string key;
    std::uint64_t textSeed = 0; ///< Random value that selects the prompt's text.
    bool hasSharedPrefix = false;
};

/// \brief Reads an experiment file. \throws InvalidDocument
[[nodiscard]] Experiment loadExperiment(const std::string &path);

/// \brief Generates the requests, with Poisson arrivals and lengths that are log-uniform within their range. The same
/// seed gives the same requests.
[[nodiscard]] std::vector<PlannedRequest> planRequests(const Experiment &experiment);

} // namespace bench
