//----------------------------------------------------------------------------------------------------------------------
// spurlug: property tests: random histories against simple oracles
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#define BOOST_TEST_MODULE property
#include <boost/test/unit_test.hpp>
