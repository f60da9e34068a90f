//----------------------------------------------------------------------------------------------------------------------
// spurlug: a request's body on its way in
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/admission/byte_budget.h"
#include "spurlug/fwd.h"

#include <cstdint>
#include <string>

namespace spurlug::daemon
{

/// \brief A request's body, still on its way.
///
/// What is left unread at the end of its life is read and thrown away, so that the connection can carry another
/// request.
class IncomingBody
{
public:
    IncomingBody(const httplib::Request &request, const httplib::ContentReader &reader);
    ~IncomingBody();
    IncomingBody(const IncomingBody &) = delete;
    IncomingBody &operator=(const IncomingBody &) = delete;

    /// \brief Reads the body; its bytes are held against the budget.
    /// \param mostBytes Largest body that is taken.
    /// \throws Refused with BodyTooLarge, BodyMemoryFull or MalformedBody.
    [[nodiscard]] std::string read(std::int64_t mostBytes, admission::ByteBudget &budget,
                                   admission::ByteBudget::Hold &hold);

private:
    [[nodiscard]] std::int64_t announcedBytes(std::int64_t mostBytes) const;

    const httplib::Request &m_request;
    const httplib::ContentReader &m_reader;
    bool m_read = false;
};

} // namespace spurlug::daemon
