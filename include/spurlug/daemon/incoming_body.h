//----------------------------------------------------------------------------------------------------------------------
// spurlug: reads the body of an incoming request
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/admission/byte_budget.h"
#include "spurlug/fwd.h"

#include <cstdint>
#include <string>

namespace spurlug::daemon
{

/// \brief The body of a request that is being received.
///
/// The destructor reads and discards a body that was not read, so that the connection can be used for another request.
class IncomingBody
{
public:
    IncomingBody(const httplib::Request &request, const httplib::ContentReader &reader);
    ~IncomingBody();
    IncomingBody(const IncomingBody &) = delete;
    IncomingBody &operator=(const IncomingBody &) = delete;

    /// \brief Reads the body, and reserves its bytes in `budget`; the last argument receives the reservation.
    /// \param maxBytes Maximum size of the body.
    /// \throws Refused with BodyTooLarge, BodyMemoryFull or MalformedBody.
    [[nodiscard]] std::string read(std::int64_t maxBytes, admission::ByteBudget &budget,
                                   admission::ByteBudget::Allocation &allocation);

private:
    [[nodiscard]] std::int64_t expectedBytes(std::int64_t maxBytes) const;

    const httplib::Request &m_request;
    const httplib::ContentReader &m_reader;
    bool m_read = false;
};

} // namespace spurlug::daemon
