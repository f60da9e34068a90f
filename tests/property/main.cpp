//----------------------------------------------------------------------------------------------------------------------
// spurlug: entry point of the property tests, which compare random histories with simple oracles
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#define BOOST_TEST_MODULE property
#include <boost/test/unit_test.hpp>
