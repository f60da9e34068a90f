//----------------------------------------------------------------------------------------------------------------------
// spurlug: encoding of the scheduler's view of the load
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/membership/load_view_codec.h"

#include "spurlug/membership/work_codec.h"

#include <algorithm>
#include <cmath>

namespace spurlug::membership
{

namespace
{

void writeKind(const overload::KindLoad &load, wire::KindLoad &out)
{
    constexpr double MaxRate = UINT32_MAX;
    const auto rate = std::isfinite(load.drainPerSecond) ? load.drainPerSecond : 0;
    out.set_waiting(load.waiting);
    out.set_wait_ms(clampToUint32(core::toMs(load.expectedWait)));
    out.set_drain(static_cast<std::uint32_t>(std::clamp(rate, 0.0, MaxRate)));
}

overload::KindLoad readKind(const wire::KindLoad &in)
{
    overload::KindLoad load;
    load.waiting = in.waiting();
    load.expectedWait = core::fromMs(in.wait_ms());
    load.drainPerSecond = in.drain();
    return load;
}

} // namespace

void writeLoadView(const overload::LoadView &view, wire::LoadView &out)
{
    out.set_start(view.schedulerStart);
    out.set_number(view.number);
    writeKind(view.kinds[static_cast<std::size_t>(overload::Kind::ShortGaps)], *out.mutable_short_gaps());
    writeKind(view.kinds[static_cast<std::size_t>(overload::Kind::LongGaps)], *out.mutable_long_gaps());
    out.set_daemons(view.daemons);
    for (std::size_t i = 0; i < std::min(view.excesses.size(), overload::LoadView::MaxExcesses); ++i) {
        auto &excess = *out.add_over();
        excess.set_organisation(view.excesses[i].organisation);
        excess.set_excess_ms(clampToUint32(core::toMs(view.excesses[i].excess)));
    }
    out.set_age_ms(clampToUint32(core::toMs(view.age)));
    while (out.ByteSizeLong() > overload::LoadView::MaxBytes && out.over_size() > 0) {
        out.mutable_over()->RemoveLast();
    }
}

overload::LoadView readLoadView(const wire::LoadView &in)
{
    overload::LoadView view;
    view.schedulerStart = in.start();
    view.number = in.number();
    view.kinds[static_cast<std::size_t>(overload::Kind::ShortGaps)] = readKind(in.short_gaps());
    view.kinds[static_cast<std::size_t>(overload::Kind::LongGaps)] = readKind(in.long_gaps());
    view.daemons = in.daemons();
    for (const auto &excess : in.over()) {
        view.excesses.push_back({excess.organisation(), core::fromMs(excess.excess_ms())});
    }
    view.age = core::fromMs(in.age_ms());
    return view;
}

} // namespace spurlug::membership
