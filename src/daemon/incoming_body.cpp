//----------------------------------------------------------------------------------------------------------------------
// spurlug: reads the body of an incoming request
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/daemon/incoming_body.h"

#include "spurlug/core/error.h"
#include "spurlug/core/text.h"

#include <algorithm>
#include <httplib.h>

namespace spurlug::daemon
{

IncomingBody::IncomingBody(const httplib::Request &request, const httplib::ContentReader &reader)
    : m_request(request)
    , m_reader(reader)
{ }

IncomingBody::~IncomingBody()
{
    if (!m_read && expectedBytes(0) > 0) {
        m_reader([](const char *, std::size_t) { return true; });
    }
}

std::string IncomingBody::read(std::int64_t maxBytes, admission::ByteBudget &budget,
                               admission::ByteBudget::Allocation &allocation)
{
    const auto expected = expectedBytes(maxBytes);
    if (expected == 0) {
        return {};
    }
    if (expected > maxBytes) {
        throw core::Refused(core::Reason::BodyTooLarge, core::cat("a body may have at most ", maxBytes, " bytes"));
    }
    allocation = budget.allocate(expected);
    if (!allocation) {
        throw core::Refused(core::Reason::BodyMemoryFull, "this daemon holds as many request bodies as it may", 1);
    }
    std::string body;
    body.reserve(static_cast<std::size_t>(expected));
    m_read = true;
    const bool isComplete = m_reader([&](const char *data, std::size_t size) {
        body.append(data, size);
        return true;
    });
    if (!isComplete) {
        throw core::Refused(core::Reason::MalformedBody, "the body ended early or came too slowly");
    }
    return body;
}

/// Size of the body according to the headers. A chunked body counts as `maxBytes`, as its size is not known; without
/// `Content-Length` and `Transfer-Encoding` there is no body.
std::int64_t IncomingBody::expectedBytes(std::int64_t maxBytes) const
{
    std::int64_t expected = 0;
    if (core::parseInteger(m_request.get_header_value("Content-Length"), expected)) {
        return std::max<std::int64_t>(expected, 0);
    }
    return m_request.has_header("Transfer-Encoding") ? std::max<std::int64_t>(maxBytes, 1) : 0;
}

} // namespace spurlug::daemon
