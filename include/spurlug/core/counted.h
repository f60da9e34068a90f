//----------------------------------------------------------------------------------------------------------------------
// spurlug: intrusive reference counts
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace spurlug::core
{

/// \brief Base class of reference-counted objects; the last `Ref` destroys the object. The count is thread-safe.
template<typename Derived>
using RefCounted = boost::intrusive_ref_counter<Derived, boost::thread_safe_counter>;

/// \brief A reference-counting pointer to a `RefCounted` object.
template<typename T>
using Ref = boost::intrusive_ptr<T>;

/// \brief Creates an object and returns the first reference to it.
template<typename T, typename... Args>
[[nodiscard]] Ref<T> makeRef(Args &&...args)
{
    return Ref<T>(new T(std::forward<Args>(args)...));
}

} // namespace spurlug::core
