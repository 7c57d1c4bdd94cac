#include "event_log_p.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace vanillalift {

namespace {

    /// Interval of the summaries of lines that exceeded the rate limit.
    constexpr std::chrono::milliseconds summaryInterval { 1000 };

} // namespace

EventLog::Line::Line(EventLog* log, std::string_view event)
    : m_log(log)
{
    if (!m_log)
        return;
    m_text = "time=" + std::to_string(wallClockMs()) + " event=";
    m_text += event;
}

EventLog::Line::Line(Line&& other) noexcept
    : m_log(std::exchange(other.m_log, nullptr))
    , m_text(std::move(other.m_text))
{
}

EventLog::Line::~Line()
{
    if (m_log)
        m_log->append(m_text);
}

EventLog::Line&& EventLog::Line::field(std::string_view name, std::string_view value) &&
{
    if (!m_log)
        return std::move(*this);
    m_text += ' ';
    m_text += name;
    m_text += '=';
    bool isPlain = !value.empty() && std::none_of(value.begin(), value.end(), [](char it) { return it <= ' ' || it == '"' || it == '=' || it == 127; });
    if (isPlain) {
        m_text += value;
        return std::move(*this);
    }
    m_text += '"';
    for (char it : value) {
        if (it == '"' || it == '\\')
            m_text += '\\';
        m_text += static_cast<unsigned char>(it) < ' ' ? ' ' : it;
    }
    m_text += '"';
    return std::move(*this);
}

EventLog::Line&& EventLog::Line::field(std::string_view name, const jobs::TaskKey& task) &&
{
    if (!m_log)
        return std::move(*this);
    auto text = std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
    return std::move(*this).field(name, std::string_view(text));
}

EventLog::EventLog(const Clock& clock, int fd, Limits limits)
    : m_clock(clock)
    , m_fd(fd)
    , m_limits(limits)
    , m_repetitions { limits.linesPerSecond, limits.burst, limits.burst }
    , m_decisions { limits.decisionsPerSecond, limits.decisionBurst, limits.decisionBurst }
    , m_refilledAt(clock.now())
    , m_nextSummaryAt(clock.now())
{
}

bool EventLog::Budget::take()
{
    if (tokens < 1)
        return false;
    tokens--;
    return true;
}

void EventLog::refill()
{
    auto now = m_clock.now();
    auto seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    for (auto* it : { &m_repetitions, &m_decisions })
        it->tokens = std::min(it->burst, it->tokens + seconds * it->rate);
}

EventLog::Line EventLog::limitedLine(std::string_view event, bool isPermitted)
{
    if (isPermitted)
        return { this, event };
    m_dropped++;
    auto it = m_limitedByEvent.find(event);
    if (it == m_limitedByEvent.end())
        it = m_limitedByEvent.emplace(event, 0).first;
    it->second++;
    return { nullptr, event };
}

EventLog::Line EventLog::line(std::string_view event)
{
    refill();
    return limitedLine(event, m_repetitions.take());
}

EventLog::Line EventLog::decisionLine(std::string_view event)
{
    refill();
    return limitedLine(event, m_decisions.take() || m_repetitions.take());
}

void EventLog::summarize()
{
    if (m_limitedByEvent.empty() || m_isFailing || m_clock.now() < m_nextSummaryAt || m_buffer.size() >= m_limits.maxBufferedBytes / 2)
        return;
    m_nextSummaryAt = m_clock.now() + summaryInterval;
    for (const auto& [event, count] : std::exchange(m_limitedByEvent, {}))
        stateLine("log-summary").field("of", std::string_view(event)).field("dropped", count);
}

EventLog::Line EventLog::stateLine(std::string_view event) { return { this, event }; }

void EventLog::append(std::string_view text)
{
    if (m_buffer.size() + text.size() > m_limits.maxBufferedBytes) {
        m_dropped++;
        m_unwritten++;
        return;
    }
    m_buffer += text;
    m_buffer += '\n';
}

void EventLog::flush()
{
    summarize();
    if (m_unwritten != m_reportedUnwritten && !m_isFailing && m_buffer.size() < m_limits.maxBufferedBytes / 2) {
        m_buffer += "time=" + std::to_string(wallClockMs()) + " event=log-dropped lines=" + std::to_string(m_unwritten - m_reportedUnwritten) + '\n';
        m_reportedUnwritten = m_unwritten;
    }
    while (!m_buffer.empty()) {
        // A pipe that polls as writable accepts PIPE_BUF (4096) bytes without blocking.
        constexpr size_t chunk = 4096;
        pollfd ready { m_fd, POLLOUT, 0 };
        if (poll(&ready, 1, 0) != 1)
            return;
        if (ready.revents & (POLLERR | POLLNVAL))
            return dropBuffer();
        if (!(ready.revents & POLLOUT))
            return;
        auto n = write(m_fd, m_buffer.data(), std::min(chunk, m_buffer.size()));
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (n <= 0)
            return dropBuffer();
        m_buffer.erase(0, static_cast<size_t>(n));
        if (m_buffer.empty()) {
            m_isFailing = false;
            m_writtenUnwritten = m_reportedUnwritten;
        }
    }
}

void EventLog::dropBuffer()
{
    auto lines = static_cast<uint64_t>(std::count(m_buffer.begin(), m_buffer.end(), '\n'));
    m_dropped += lines;
    m_unwritten += lines;
    m_buffer.clear();
    // The lines that a lost report counted are reported again once a line could be written.
    m_reportedUnwritten = m_writtenUnwritten;
    m_isFailing = true;
}

} // namespace vanillalift
