#pragma once

#include "entry_table_p.h"

#include <vanillalift/control_state.h>

namespace vanillalift {

/// Input for planning the entries' parts of each team's concurrency limit.
struct LimitPlanDesc {
    const ControlState& state;
    const EntryTable& entries;
    /// Longest time for which a request that an entry dispatched may run.
    Duration maxRunTime;
    TimePoint now;
};

/// @returns the next change of the parts, or nothing if none is due. An amount grows only by what is unallocated. It shrinks
/// only when the holder has reported that it runs no more than its target, or when its lease ended so long ago that its
/// requests must have ended.
std::optional<LimitPartsCommand> planParts(const LimitPlanDesc& desc);

/// Divides @p limit among holders: one each while it lasts, then in proportion to unmet demand, then the remainder evenly.
/// @param demands running and queued requests of each holder.
std::vector<int64_t> divideLimit(int64_t limit, const std::vector<int64_t>& demands);

} // namespace vanillalift
