//----------------------------------------------------------------------------------------------------------------------
// spurlug: exceptions, one type a kind of failure
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/reason.h"

#include <stdexcept>
#include <string>

namespace spurlug::core
{

/// \brief Base of every exception that spurlug throws.
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// \brief A settings or configuration document that cannot be used.
class InvalidDocument : public Error
{
public:
    using Error::Error;
};

/// \brief The platform's object API or VM list did not answer, or answered with an error.
class PlatformUnavailable : public Error
{
public:
    using Error::Error;
};

/// \brief A conditional update found another version than the expected one.
class VersionConflict : public Error
{
public:
    using Error::Error;
};

/// \brief The answer to a conditional update was lost, so that the update may have taken effect.
class UnknownResult : public Error
{
public:
    using Error::Error;
};

/// \brief A socket could not be opened, bound or used.
class NetworkError : public Error
{
public:
    using Error::Error;
};

/// \brief A request that is refused before any target began work on it.
class Refused : public Error
{
public:
    /// \param reason Reason that is counted and reported to the caller.
    /// \param detail One sentence for the caller.
    /// \param retryAfterSeconds Delay before a retry; 0 when a retry does not help.
    Refused(Reason reason, const std::string &detail, int retryAfterSeconds = 0)
        : Error(detail)
        , m_reason(reason)
        , m_retryAfterSeconds(retryAfterSeconds)
    { }

    [[nodiscard]] Reason reason() const noexcept
    {
        return m_reason;
    }

    [[nodiscard]] int retryAfterSeconds() const noexcept
    {
        return m_retryAfterSeconds;
    }

private:
    Reason m_reason;
    int m_retryAfterSeconds;
};

} // namespace spurlug::core
