//----------------------------------------------------------------------------------------------------------------------
// spurlug: HTTP API for callers
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/admission/admission.h"
#include "spurlug/admission/byte_budget.h"
#include "spurlug/admission/request_body.h"
#include "spurlug/claims/commit.h"
#include "spurlug/config/store.h"
#include "spurlug/core/error.h"
#include "spurlug/daemon/identity.h"
#include "spurlug/dispatch/request_run.h"
#include "spurlug/fwd.h"
#include "spurlug/limits/organisation_limiter.h"
#include "spurlug/metrics/metrics.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace spurlug::daemon
{

/// \brief Components that the caller API uses; all must outlive it.
struct CallerApiParts
{
    const Identity &identity;
    config::Store &store;
    dispatch::RunContext &runs;
    limits::OrganisationLimiter &limiter;
    admission::TokenRatios &ratios;
    admission::ByteBudget &bodyMemory;
    std::int64_t mostBodyBytes; ///< Largest body of one request.
    metrics::Metrics &metrics;
    const std::atomic<bool> &refusing; ///< Set when a planned shutdown stops accepting new requests.
    std::function<claims::ClaimAnswer(const claims::ClaimWish &)>
        claim; ///< Claims an idempotency key or releases a claim; waits for the commit.
};

/// \brief Serves `/v1/chat/completions`, `/v1/completions`, `/v1/models` and `/services/NAME/...`.
class CallerApi
{
public:
    explicit CallerApi(CallerApiParts parts);

    /// \brief Adds the routes to `server`.
    void configure(httplib::Server &server);

private:
    void complete(const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &reader);
    void callService(const httplib::Request &request, httplib::Response &response,
                     const httplib::ContentReader *reader);
    void listModels(const httplib::Request &request, httplib::Response &response);
    void refuse(const core::Refused &refusal, const std::string &id, httplib::Response &response);
    [[nodiscard]] std::shared_ptr<RunGuard>
    startRun(const admission::Caller &caller, dispatch::AdmittedRequest admitted, const std::string &idempotencyKey);
    void refuseIfTooLate(const dispatch::AdmittedRequest &admitted) const;
    [[nodiscard]] std::string claimKey(const dispatch::AdmittedRequest &admitted, const std::string &idempotencyKey);
    [[nodiscard]] dispatch::AdmittedRequest
    admitCompletion(const admission::Caller &caller, const admission::RequestBody &fields, const std::string &id);
    [[nodiscard]] dispatch::AdmittedRequest admitService(const admission::Caller &caller,
                                                         const httplib::Request &request, const std::string &id);
    [[nodiscard]] admission::Caller authorise(const httplib::Request &request) const;
    void typeHttpError(httplib::Response &response);
    [[nodiscard]] std::string nextRequestId();

    CallerApiParts m_parts;
    std::atomic<std::uint64_t> m_nextRequest{1};
};

} // namespace spurlug::daemon
