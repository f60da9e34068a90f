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
    if (!m_read && announcedBytes(0) > 0) {
        m_reader([](const char *, std::size_t) { return true; });
    }
}

std::string IncomingBody::read(std::int64_t mostBytes, admission::ByteBudget &budget, admission::ByteBudget::Hold &hold)
{
    const auto announced = announcedBytes(mostBytes);
    if (announced == 0) {
        return {};
    }
    if (announced > mostBytes) {
        throw core::Refused(core::Reason::BodyTooLarge, core::cat("a body may have at most ", mostBytes, " bytes"));
    }
    hold = budget.take(announced);
    if (!hold) {
        throw core::Refused(core::Reason::BodyMemoryFull, "this daemon holds as many request bodies as it may", 1);
    }
    std::string body;
    body.reserve(static_cast<std::size_t>(announced));
    m_read = true;
    const bool whole = m_reader([&](const char *data, std::size_t size) {
        body.append(data, size);
        return true;
    });
    if (!whole) {
        throw core::Refused(core::Reason::MalformedBody, "the body ended early or came too slowly");
    }
    return body;
}

/// Size of the body according to the headers. A chunked body counts as `mostBytes`, as its size is not known; without
/// `Content-Length` and `Transfer-Encoding` there is no body.
std::int64_t IncomingBody::announcedBytes(std::int64_t mostBytes) const
{
    std::int64_t announced = 0;
    if (core::readNumber(m_request.get_header_value("Content-Length"), announced)) {
        return std::max<std::int64_t>(announced, 0);
    }
    return m_request.has_header("Transfer-Encoding") ? std::max<std::int64_t>(mostBytes, 1) : 0;
}

} // namespace spurlug::daemon
