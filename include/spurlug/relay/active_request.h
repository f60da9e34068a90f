//----------------------------------------------------------------------------------------------------------------------
// spurlug: registration of requests in progress
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/enum_names.h"
#include "spurlug/core/time.h"

#include <boost/intrusive/list.hpp>
#include <string>

namespace spurlug::relay
{

/// \brief What a request waits for.
enum class RequestStage
{
    Authorising, ///< The configuration, or a confirmation of it.
    AwaitingTarget, ///< A free target, a cooldown, a permit or the delay before a retry.
    ReservingMemory, ///< KV memory at the engines that help its target.
    AtTarget, ///< A connection to its target, or the target's answer.
    Answering, ///< The caller, who does not read its answer.
};

/// \brief A request from its arrival to its end. Destruction unregisters it.
struct ActiveRequest : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
    std::string id;
    core::Time arrivedAt;
    RequestStage stage = RequestStage::Authorising;
};

/// \brief All requests in progress of a daemon.
using ActiveRequests = boost::intrusive::list<ActiveRequest, boost::intrusive::constant_time_size<false>>;

} // namespace spurlug::relay

namespace spurlug::core
{

template<>
struct EnumNames<relay::RequestStage>
{
    using Stage = relay::RequestStage;
    static constexpr std::array table{
        EnumName<Stage>{Stage::Authorising, "authorising"},
        EnumName<Stage>{Stage::AwaitingTarget, "awaiting_target"},
        EnumName<Stage>{Stage::ReservingMemory, "reserving_memory"},
        EnumName<Stage>{Stage::AtTarget, "at_target"},
        EnumName<Stage>{Stage::Answering, "answering"},
    };
};

} // namespace spurlug::core
