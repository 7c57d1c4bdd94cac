#pragma once

#include <vanillalift/clock.h>

#include <cstdint>

namespace vanillalift::jobs {

/// Observed progress of a run whose task may have a speculative copy.
struct RunProgress {
    /// When the endpoint accepted the start; the epoch if it has not.
    TimePoint startedAt;
    /// When the first start request timed out; the epoch if all were answered.
    TimePoint unansweredAt;
    /// When the endpoint last replied or sent a heartbeat.
    TimePoint lastContactAt;
    /// Run time expected for a task of its queue on other endpoints.
    Duration expected {};
    /// Whether `expected` was learned from earlier runs, and whether tasks of the same step of the job are among these.
    bool isLearned = false;
    bool hasSiblings = false;
    /// Speed of its endpoint, 1 if as fast as others.
    double speed = 1;
    /// Time for which the run goes on as far as earlier runs tell, given how long it has run.
    Duration remaining {};
    /// A new run would resume from the run's checkpoint.
    bool isResumable = false;
    /// Progress reported by the endpoint, and when it last changed.
    uint32_t percent = 0;
    TimePoint progressAt;
    /// A stop was requested, and the end is not known yet.
    bool isStopping = false;
};

/// @returns whether a speculative copy on another endpoint is likely to finish first: the run's endpoint does not respond, its
/// start is uncertain, or at its observed speed it needs longer than a new run. A copy costs the work of one run.
bool isSpeculativeCopyWorthwhile(const RunProgress& run, TimePoint now);

} // namespace vanillalift::jobs
