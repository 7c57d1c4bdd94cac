#pragma once

#include <vanillalift/clock.h>

#include <array>
#include <cstdint>

namespace vanillalift::node {

/// What the event loop's thread spends its time on.
enum class LoopActivity : uint8_t {
    /// Orders and leases of endpoints that are due.
    UpdateEndpoints,
    PlaceTasks,
    /// Pools and waves.
    Instances,
    /// Committed commands, and the orders that follow from them.
    Apply,
    /// Frames from other processes.
    Links,
    /// Writing the whole state for a snapshot.
    Snapshot,
    LoopActivityCount,
};

/// Measures how far the event loop's thread is behind, and what it does.
class LoadMeter {
public:
    explicit LoadMeter(const Clock& clock);

    /// Adds the time until its destruction to a part, without that of spans within it: a commit is applied while the frame
    /// that completes it is handled.
    class Span {
    public:
        Span(LoadMeter& meter, LoopActivity part);
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

    /// A periodic timer's handler runs.
    void recordTick(TimePoint dueAt);

    struct Report {
        /// Longest time by which a tick ran after it was due.
        Duration maxLateness {};
        Duration processorTime {};
        std::array<Duration, static_cast<size_t>(LoopActivity::LoopActivityCount)> activityTimes {};
    };
    /// @returns what was measured since the last call.
    Report take();

    [[nodiscard]] uint64_t lateTicks() const { return m_lateTicks; }
    /// Of the process, since its start.
    [[nodiscard]] static Duration processorTime();

private:
    const Clock& m_clock;
    Report m_report;
    Span* m_innermostSpan = nullptr;
    Duration m_lastProcessorTime;
    uint64_t m_lateTicks = 0;
};

} // namespace vanillalift::node
