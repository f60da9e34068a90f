//----------------------------------------------------------------------------------------------------------------------
// spurlug: entry point of the integration tests, which run real processes
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#define BOOST_TEST_MODULE integration
#include <boost/test/unit_test.hpp>
