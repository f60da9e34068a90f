//----------------------------------------------------------------------------------------------------------------------
// spurlug: RapidCheck properties as Boost.Test cases
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

/// \brief Fails the test case if the property is falsified; RapidCheck prints the seed and the shrunk counterexample.
#define CHECK_PROPERTY(description, ...) BOOST_TEST(rc::check(description, __VA_ARGS__))
