#pragma once

#include <vanillalift/clock.h>

#include <cstdint>

namespace vanillalift::jobs {

/// One run of a task that may have a second copy, as the leader sees it now.
struct RunProgress {
    /// When the endpoint accepted the start; the epoch if it has not.
    TimePoint startedAt;
    /// When the first order to start it stayed without an answer; the epoch if all were answered.
    TimePoint unansweredAt;
    /// When the endpoint was last heard.
    TimePoint heardAt;
    /// Run time that tasks of its queue take elsewhere.
    Duration expected {};
    /// Progress that the endpoint has reported, and since when it is that.
    uint32_t percent = 0;
    TimePoint progressAt;
    /// It has been ordered to end, and its end is not known yet.
    bool isStopping = false;
};

/// @returns whether a second copy elsewhere is likely to end before the run does: its endpoint is silent, its start is in
/// doubt, or at the speed seen it takes longer than a new run. A copy costs the work of one run.
bool isSpeculativeCopyWorthwhile(const RunProgress& run, TimePoint now);

} // namespace vanillalift::jobs
