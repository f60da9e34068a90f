//----------------------------------------------------------------------------------------------------------------------
// spurlug: what the error of a write shows about the connection
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <boost/asio/error.hpp>

namespace spurlug::net
{

/// \brief Whether the error of a write shows that the connection broke, so that an end that is read from it does not
/// mark the end of an answer.
///
/// The kernel reports a reset once, to whichever call comes first. If that is a write, reads return the bytes that had
/// arrived and then an ordinary end. A write to a peer that has closed its connection in order fails with a broken
/// pipe.
[[nodiscard]] inline bool showsBrokenConnection(const boost::system::error_code &writeError) noexcept
{
    return writeError && writeError != boost::asio::error::broken_pipe
        && writeError != boost::asio::error::operation_aborted;
}

} // namespace spurlug::net
