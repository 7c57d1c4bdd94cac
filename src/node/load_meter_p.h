#pragma once

#include <vanillalift/clock.h>

#include <array>
#include <cstdint>

namespace vanillalift::node {

/// What the event loop's thread spends its time on.
enum class LoopPart : uint8_t {
    /// Orders and leases of endpoints that are due.
    Serve,
    Place,
    /// Pools and waves.
    Instances,
    /// Committed commands, and the orders that follow from them.
    Apply,
    /// Frames from other processes.
    Links,
    /// Writing the whole state for a snapshot.
    Snapshot,
    LoopPartCount,
};

/// Measures how far the event loop's thread is behind, and what it does.
class LoadMeter {
public:
    explicit LoadMeter(const Clock& clock);

    /// Adds the time until its destruction to a part, without that of spans within it: a commit is applied while the frame
    /// that completes it is handled.
    class Span {
    public:
        Span(LoadMeter& meter, LoopPart part);
        Span(const Span&) = delete;
        Span& operator=(const Span&) = delete;
        ~Span();

    private:
        LoadMeter& m_meter;
        LoopPart m_part;
        Span* m_outer;
        TimePoint m_startedAt;
        Duration m_innerTime {};
    };

    /// A periodic timer's handler runs.
    void noteTick(TimePoint dueAt);

    struct Report {
        /// Longest time by which a tick ran after it was due.
        Duration worstLateness {};
        Duration processorTime {};
        std::array<Duration, static_cast<size_t>(LoopPart::LoopPartCount)> parts {};
    };
    /// @returns what was measured since the last call.
    Report take();

    [[nodiscard]] uint64_t lateTicks() const { return m_lateTicks; }
    /// Of the process, since its start.
    [[nodiscard]] static Duration processorTime();

private:
    const Clock& m_clock;
    Report m_report;
    Span* m_innermost = nullptr;
    Duration m_processorTimeBefore;
    uint64_t m_lateTicks = 0;
};

} // namespace vanillalift::node
