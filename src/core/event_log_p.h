#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/job.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace vanillalift {

/// Structured log with one line per event: "time=… event=… name=value …". Never blocks: lines that exceed the rate limit,
/// that do not fit the buffer because the reader is too slow, or whose write fails, are dropped and counted. Repetitions, such as
/// placements, never take the room of decisions, such as refusals.
class EventLog {
public:
    /// Builder of one log line, which is appended to the log on destruction.
    class Line {
    public:
        Line(EventLog* log, std::string_view event);
        Line(Line&& other) noexcept;
        Line(const Line&) = delete;
        Line& operator=(const Line&) = delete;
        Line& operator=(Line&&) = delete;
        ~Line();

        /// Adds a field. Empty values and values with spaces, quotes, "=" or control characters are quoted.
        Line&& field(std::string_view name, std::string_view value) &&;
        Line&& field(std::string_view name, const jobs::TaskKey& task) &&;
        template <typename T>
        requires std::is_arithmetic_v<T>
            Line && field(std::string_view name, T value) && {
            return std::move(*this).field(name, std::string_view(std::to_string(value)));
        }

    private:
        EventLog* m_log;
        std::string m_text;
    };

    struct Limits {
        /// Token buckets of repetitions and of decisions: sustained rate, and largest burst in lines.
        double linesPerSecond = 200;
        double burst = 1000;
        double decisionsPerSecond = 100;
        double decisionBurst = 1000;
        /// Most bytes buffered for the reader.
        size_t maxBufferedBytes = 256U << 10U;
    };

    /// @param fd descriptor to write to, usually standard output. Not owned.
    EventLog(const Clock& clock, int fd, Limits limits);

    /// Starts a line about something frequent, such as a placement. What exceeds the rate limit is counted by event and summarized
    /// once a second.
    Line line(std::string_view event);
    /// Starts a line that explains an outcome to a caller or operator. It uses the limit of frequent lines only once its own is spent.
    Line decisionLine(std::string_view event);
    /// Starts a line for a state change. Exempt from the rate limit, since state changes are rare.
    Line stateLine(std::string_view event);
    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();
    [[nodiscard]] uint64_t dropped() const { return m_dropped; }

private:
    struct Budget {
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        /// @returns whether there was a token.
        bool take();
    };

    void refill();
    Line limitedLine(std::string_view event, bool isPermitted);
    /// Adds a line for each event of which lines were dropped since the last summary.
    void summarize();
    void append(std::string_view text);
    /// Drops and counts the buffered lines after a failed write.
    void dropBuffer();

    const Clock& m_clock;
    int m_fd;
    Limits m_limits;
    Budget m_repetitions;
    Budget m_decisions;
    TimePoint m_refilledAt;
    /// Lines that exceeded the rate limit since the last summary, by event.
    std::map<std::string, uint64_t, std::less<>> m_limitedByEvent;
    TimePoint m_nextSummaryAt;
    std::string m_buffer;
    uint64_t m_dropped = 0;
    /// Lines that were dropped for want of room in the buffer or by a failed write.
    uint64_t m_unwritten = 0;
    /// Value of m_unwritten at the last report, and at the last report that was written.
    uint64_t m_reportedUnwritten = 0;
    uint64_t m_writtenUnwritten = 0;
    /// Whether the last write failed.
    bool m_isFailing = false;
};

} // namespace vanillalift
