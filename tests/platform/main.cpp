//----------------------------------------------------------------------------------------------------------------------
// spurlug: test module of the relay with a fake store and fake targets
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#define BOOST_TEST_MODULE platform
#include "spurlug/core/log.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace spurlug::test
{

/// Writes the daemons' logs to standard output if SPURLUG_TEST_LOG is set, to trace a failing case.
struct Logs
{
    Logs()
    {
        if (std::getenv("SPURLUG_TEST_LOG") != nullptr) {
            core::startLog("platform-tests", core::LogLevel::Info);
        }
    }
    ~Logs()
    {
        core::stopLog();
    }
};

} // namespace spurlug::test

using spurlug::test::Logs;
BOOST_TEST_GLOBAL_FIXTURE(Logs);
