#pragma once

#include <vanillalift/clock.h>

#include <array>
#include <cstdint>

namespace vanillalift::node {

/// Activities on which the thread of the event loop spends its time.
enum class LoopActivity : uint8_t {
    /// Sends due requests to endpoints and renews or expires their leases.
    UpdateEndpoints,
    PlaceTasks,
    /// Manages pools and maintenance waves.
    Instances,
    /// Applies committed commands, including the requests to endpoints that result from them.
    Apply,
    /// Handles frames from other processes.
    Links,
    /// Serializes the whole state for a snapshot.
    Snapshot,
    LoopActivityCount,
};

/// Measures the delay of the event loop and the time that its thread spends on each activity.
class LoadMeter {
public:
    explicit LoadMeter(const Clock& clock);

    /// Adds the time until its destruction to an activity, less the time of nested spans. Spans nest because a commit is
    /// applied while the frame that completes it is handled.
    class Span {
    public:
        Span(LoadMeter& meter, LoopActivity activity);
        Span(const Span&) = delete;
        Span& operator=(const Span&) = delete;
        ~Span();

    private:
        LoadMeter& m_meter;
        LoopActivity m_activity;
        Span* m_outerSpan;
        TimePoint m_startedAt;
        Duration m_innerSpanTime {};
    };

    /// Called at the start of a periodic timer's handler.
    void recordTick(TimePoint dueAt);

    struct Report {
        /// Longest time between a tick's due time and its start.
        Duration maxTickDelay {};
        Duration processorTime {};
        std::array<Duration, static_cast<size_t>(LoopActivity::LoopActivityCount)> activityTimes {};
    };
    /// @returns the measurements since the last call.
    Report takeReport();

    [[nodiscard]] uint64_t lateTicks() const { return m_lateTicks; }
    /// @returns the CPU time used by the process since its start.
    [[nodiscard]] static Duration processorTime();

private:
    const Clock& m_clock;
    Report m_report;
    Span* m_innermostSpan = nullptr;
    Duration m_lastProcessorTime;
    uint64_t m_lateTicks = 0;
};

} // namespace vanillalift::node
