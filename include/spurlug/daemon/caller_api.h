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
#include "spurlug/dispatch/request_handler.h"
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
struct CallerApiComponents
{
    const Identity &identity;
    config::Store &store;
    dispatch::HandlerContext &handlerContext;
    limits::OrganisationLimiter &limiter;
    admission::TokenEstimator &tokenEstimator;
    admission::ByteBudget &bodyMemory;
    std::int64_t maxBodyBytes; ///< Largest body of one request.
    metrics::Metrics &metrics;
    const std::atomic<bool> &refusingRequests; ///< Set when a planned shutdown stops accepting new requests.
    std::function<claims::ClaimAnswer(const claims::ClaimWish &)>
        claim; ///< Claims an idempotency key or releases a claim; waits for the commit.
};

/// \brief Serves `/v1/chat/completions`, `/v1/completions`, `/v1/models` and `/services/NAME/...`.
class CallerApi
{
public:
    explicit CallerApi(CallerApiComponents components);

    /// \brief Adds the routes to `server`.
    void configure(httplib::Server &server);

private:
    void handleCompletion(const httplib::Request &request, httplib::Response &response,
                          const httplib::ContentReader &reader);
    void handleServiceCall(const httplib::Request &request, httplib::Response &response,
                           const httplib::ContentReader *reader);
    void listModels(const httplib::Request &request, httplib::Response &response);
    void refuse(const core::Refused &refusal, const std::string &id, httplib::Response &response);
    [[nodiscard]] std::shared_ptr<RequestGuard> startRequest(const admission::Caller &caller,
                                                             dispatch::AdmittedRequest admitted,
                                                             const std::string &idempotencyKey);
    void refuseIfDeadlineTooShort(const dispatch::AdmittedRequest &admitted) const;
    [[nodiscard]] std::string claimKey(const dispatch::AdmittedRequest &admitted, const std::string &idempotencyKey);
    [[nodiscard]] dispatch::AdmittedRequest
    admitCompletion(const admission::Caller &caller, const admission::RequestBody &fields, const std::string &id);
    [[nodiscard]] dispatch::AdmittedRequest admitService(const admission::Caller &caller,
                                                         const httplib::Request &request, const std::string &id);
    [[nodiscard]] admission::Caller authorise(const httplib::Request &request) const;
    void addErrorBody(httplib::Response &response);
    [[nodiscard]] std::string nextRequestId();

    CallerApiComponents m_components;
    std::atomic<std::uint64_t> m_nextRequestNumber{1};
};

} // namespace spurlug::daemon
