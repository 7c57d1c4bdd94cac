#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/job.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace vanillalift {

/// Structured log on standard output, a line an event: "time=… event=… name=value …". Never blocks: what the reader does
/// not take in time, or what exceeds the rate, is dropped and counted.
class EventLog {
public:
    /// One line, written at its destruction.
    class Line {
    public:
        Line(EventLog* log, std::string_view event);
        Line(Line&& other) noexcept;
        Line(const Line&) = delete;
        Line& operator=(const Line&) = delete;
        Line& operator=(Line&&) = delete;
        ~Line();

        /// Values with spaces, quotes or control characters are quoted.
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
        /// Lines a second over a longer time, and at once.
        double linesPerSecond = 200;
        double burst = 1000;
        /// Bytes that wait for the reader.
        size_t maxBufferedBytes = 256U << 10U;
    };

    /// @param fd written to, usually standard output.
    EventLog(const Clock& clock, int fd, Limits limits);

    /// Subject to the rate.
    Line line(std::string_view event);
    /// For changes of state, which are few: exempt from the rate.
    Line stateLine(std::string_view event);
    /// Writes what waits, as far as the reader takes it.
    void flush();
    [[nodiscard]] uint64_t dropped() const { return m_dropped; }

private:
    bool take();
    void append(std::string_view text);

    const Clock& m_clock;
    int m_fd;
    Limits m_limits;
    double m_tokens;
    TimePoint m_filledAt;
    std::string m_backlog;
    uint64_t m_dropped = 0;
    uint64_t m_reportedDropped = 0;
};

} // namespace vanillalift
