#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/job.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace vanillalift {

/// Structured log with one line per event: "time=… event=… name=value …". Never blocks: lines that exceed the rate limit,
/// that do not fit the buffer because the reader is too slow, or whose write fails, are dropped and counted.
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
        /// Token bucket: sustained rate, and largest burst in lines.
        double linesPerSecond = 200;
        double burst = 1000;
        /// Most bytes buffered for the reader.
        size_t maxBufferedBytes = 256U << 10U;
    };

    /// @param fd descriptor to write to, usually standard output. Not owned.
    EventLog(const Clock& clock, int fd, Limits limits);

    /// Starts a line that is subject to the rate limit.
    Line line(std::string_view event);
    /// Starts a line for a state change. Exempt from the rate limit, since state changes are rare.
    Line stateLine(std::string_view event);
    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();
    [[nodiscard]] uint64_t dropped() const { return m_dropped; }

private:
    /// @returns whether the rate limit permits a line; counts it as dropped otherwise.
    bool takeToken();
    void append(std::string_view text);
    /// Drops and counts the buffered lines after a failed write.
    void dropBuffer();

    const Clock& m_clock;
    int m_fd;
    Limits m_limits;
    double m_tokens;
    TimePoint m_refilledAt;
    std::string m_buffer;
    uint64_t m_dropped = 0;
    /// Value of m_dropped at the last report, and at the last report that was written.
    uint64_t m_reportedDropped = 0;
    uint64_t m_writtenDropped = 0;
    /// Whether the last write failed.
    bool m_isFailing = false;
};

} // namespace vanillalift
