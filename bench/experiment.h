//----------------------------------------------------------------------------------------------------------------------
// spurlug: experiments: which requests are sent, and when
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bench
{

/// \brief Prompts of one range of lengths.
struct LengthRange
{
    double share = 1; ///< Of the requests.
    std::int64_t least = 1000; ///< Tokens.
    std::int64_t most = 4000; ///< Tokens.
    std::string requestClass; ///< Sent as the class header; empty: none.
};

/// \brief A sender of requests.
struct Sender
{
    std::string key; ///< API key.
    double share = 1; ///< Of the requests.
};

/// \brief An experiment file.
struct Experiment
{
    std::uint64_t seed = 1;
    double seconds = 10;
    double requestsPerSecond = 10;
    std::string model;
    std::int64_t answerTokens = 32;
    double sharedPrefix = 0.3; ///< Share of prompts that begin like others of their sender.
    std::int64_t deadlineMs = 0; ///< 0: the class's default.
    std::vector<LengthRange> lengths;
    std::vector<Sender> senders;
    std::int64_t onlyBelow = 0; ///< Sends only prompts below so many tokens; 0: all.
    std::vector<std::int64_t> always; ///< Prompt lengths that are sent once each, at the start.
};

/// \brief One request to be sent.
struct PlannedRequest
{
    spurlug::core::Duration at;
    std::int64_t tokens = 0;
    std::string requestClass;
    std::string key;
    std::uint64_t text = 0; ///< Chooses the prompt's text.
    bool sharesPrefix = false;
};

/// \brief Reads an experiment file. \throws InvalidDocument
[[nodiscard]] Experiment loadExperiment(const std::string &path);

/// \brief Draws the requests: Poisson arrivals, lengths log-uniform within their range. Same seed, same requests.
[[nodiscard]] std::vector<PlannedRequest> plan(const Experiment &experiment);

} // namespace bench
