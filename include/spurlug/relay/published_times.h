//----------------------------------------------------------------------------------------------------------------------
// spurlug: times that a model engine takes by its published costs
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/time.h"

namespace spurlug::relay
{

/// \brief Times of an attempt without helpers by the published costs alone, to which the observed ones are compared.
/// Expected times that allow for the observed speed would hide it.
struct PublishedTimes
{
    core::Duration ttft = absl::ZeroDuration(); ///< Time to the first event; 0 if it is not known.
    core::Duration pass = absl::ZeroDuration(); ///< Duration of a batch pass; 0 if it is not known.
};

} // namespace spurlug::relay
