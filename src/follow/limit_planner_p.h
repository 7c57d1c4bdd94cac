#pragma once

#include "entry_table_p.h"

#include <vanillalift/control_state.h>

namespace vanillalift {

/// Sizes the entries' parts of each team's limit. Pure decisions of the control leader.
struct LimitPlanDesc {
    const ControlState& state;
    const EntryTable& entries;
    /// Longest time for which work dispatched by an entry may go on running.
    Duration runBound;
    TimePoint now;
};

/// @returns the next change of parts, or nothing if they fit. Amounts only grow from what no holder has; they only shrink
/// when the holder confirmed that it runs no more than its target, or when it is gone and its work must have ended.
std::optional<LimitPartsCommand> planParts(const LimitPlanDesc& desc);

/// Divides @p limit over holders: one each as far as it goes, then by demand, then the rest evenly.
/// @param demands running and queued requests of each holder.
std::vector<int64_t> divideLimit(int64_t limit, const std::vector<int64_t>& demands);

} // namespace vanillalift
