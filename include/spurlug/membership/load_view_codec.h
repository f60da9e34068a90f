//----------------------------------------------------------------------------------------------------------------------
// spurlug: encoding of the scheduler's view of the load
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/heartbeat.pb.h"
#include "spurlug/overload/load_view.h"

namespace spurlug::membership
{

/// \brief Writes a view in at most LoadView::MaxBytes; the last organisations are omitted if there are more than
/// LoadView::MaxExcesses or no room is left for them.
void writeLoadView(const overload::LoadView &view, wire::LoadView &out);
/// \brief Reads a view as sent; overload::LoadViewStore rejects impossible values.
[[nodiscard]] overload::LoadView readLoadView(const wire::LoadView &in);

} // namespace spurlug::membership
