//----------------------------------------------------------------------------------------------------------------------
// spurlug: intrusive reference counts
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace spurlug::core
{

/// \brief Base of objects that are shared through `Ref`; the last reference destroys the object.
template<typename Derived>
using Counted = boost::intrusive_ref_counter<Derived, boost::thread_safe_counter>;

/// \brief A counted reference.
template<typename T>
using Ref = boost::intrusive_ptr<T>;

/// \brief Makes an object and the first reference to it.
template<typename T, typename... Args>
[[nodiscard]] Ref<T> makeCounted(Args &&...args)
{
    return Ref<T>(new T(std::forward<Args>(args)...));
}

} // namespace spurlug::core
