//----------------------------------------------------------------------------------------------------------------------
// spurlug: logs and counts what is put into quarantine
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/relay/context.h"

#include <string_view>

namespace spurlug::relay
{

/// \brief Logs and counts what was put into quarantine or released since the last call.
/// \param from Where the news comes from, for logs.
void reportQuarantineChanges(RelayContext &context, std::string_view from);

} // namespace spurlug::relay
