//----------------------------------------------------------------------------------------------------------------------
// spurlug: tests of the relay with stand-ins for the platform
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>
