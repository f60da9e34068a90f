//----------------------------------------------------------------------------------------------------------------------
// spurlug: what callers speak to
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/admission/admission.h"
#include "spurlug/admission/byte_budget.h"
#include "spurlug/admission/request_body.h"
#include "spurlug/config/store.h"
#include "spurlug/daemon/identity.h"
#include "spurlug/dispatch/request_run.h"
#include "spurlug/limits/organisation_limiter.h"
#include "spurlug/metrics/metrics.h"

#include <atomic>
#include <string>

namespace httplib
{
class Server;
struct Request;
struct Response;
class ContentReader;
} // namespace httplib

namespace spurlug::daemon
{

/// \brief What caller requests act on; outlives the API.
struct CallerApiParts
{
    const Identity &identity;
    config::Store &store;
    dispatch::RunContext &runs;
    limits::OrganisationLimiter &limiter;
    admission::TokenRatios &ratios;
    admission::ByteBudget &bodyMemory;
    metrics::Metrics &metrics;
    const std::atomic<bool> &refusing; ///< Set once a planned stop takes no new requests.
};

/// \brief `/v1/chat/completions`, `/v1/completions`, `/v1/models` and `/services/NAME/...`.
class CallerApi
{
public:
    explicit CallerApi(CallerApiParts parts);

    /// \brief Adds the routes to a server.
    void configure(httplib::Server &server);

private:
    void complete(const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &reader);
    void callService(const httplib::Request &request, httplib::Response &response, std::string body);
    void listModels(const httplib::Request &request, httplib::Response &response);
    [[nodiscard]] dispatch::AdmittedRequest admitCompletion(const httplib::Request &request, std::string body,
                                                            admission::ByteBudget::Hold hold, const std::string &id,
                                                            admission::RequestBody &fields);
    [[nodiscard]] dispatch::AdmittedRequest admitService(const httplib::Request &request, std::string body,
                                                         const std::string &id);
    [[nodiscard]] admission::Caller authorise(const httplib::Request &request) const;
    [[nodiscard]] std::string nextRequestId();

    CallerApiParts m_parts;
    std::atomic<std::uint64_t> m_nextRequest{1};
};

} // namespace spurlug::daemon
