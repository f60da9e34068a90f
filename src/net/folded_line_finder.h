//----------------------------------------------------------------------------------------------------------------------
// spurlug: finds folded lines in the head of an HTTP message
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstddef>
#include <string_view>

namespace spurlug::net
{

/// \brief Finds lines of a head that begin with white space.
///
/// Beast takes such a line for the rest of the field before it. A gateway may refuse the message (RFC 9112, 5.2).
class FoldedLineFinder
{
public:
    /// \brief Takes the next bytes of the message, as they arrive; those behind the head are ignored.
    /// \returns Whether a folded line was found so far.
    bool add(std::string_view bytes) noexcept
    {
        for (const char byte : bytes) {
            if (m_found || m_headEnded) {
                break;
            }
            const bool atLineStart = m_matched == LineEnd.size();
            m_found = atLineStart && (byte == ' ' || byte == '\t');
            m_matched = byte == HeadEnd[m_matched] ? m_matched + 1 : byte == HeadEnd.front() ? 1 : 0;
            m_headEnded = m_matched == HeadEnd.size();
        }
        return m_found;
    }

private:
    static constexpr std::string_view LineEnd = "\r\n";
    static constexpr std::string_view HeadEnd = "\r\n\r\n";

    std::size_t m_matched = 0; ///< Number of the last bytes that are a beginning of `HeadEnd`.
    bool m_headEnded = false;
    bool m_found = false;
};

} // namespace spurlug::net
