#pragma once

#include <vanillalift/clock.h>

#include <httplib.h>

#include <array>

namespace vanillalift {

/// Whether a stream is open, or why it ended.
enum class StreamStatus : uint8_t {
    Open,
    ClosedByPeer,
    TimedOut,
    /// More than the maximum number of bytes were received.
    Oversized,
    SocketError,
    StreamStatusCount,
};

/// Socket stream of one attempt. Counts the bytes and applies one deadline to all reads and writes.
class AttemptStream final : public httplib::Stream {
public:
    AttemptStream(socket_t sock, const Clock& clock, TimePoint deadline, size_t maxReadBytes);

    [[nodiscard]] bool is_readable() const override { return true; } // NOLINT(readability-identifier-naming)
    [[nodiscard]] bool is_writable() const override { return true; } // NOLINT(readability-identifier-naming)
    ssize_t read(char* ptr, size_t size) override;
    ssize_t write(const char* ptr, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override; // NOLINT(readability-identifier-naming)
    void get_local_ip_and_port(std::string& ip, int& port) const override; // NOLINT(readability-identifier-naming)
    [[nodiscard]] socket_t socket() const override { return m_sock; }

    void setMaxReadBytes(size_t n) { m_maxReadBytes = n; }
    /// @returns the number of bytes accepted by the kernel. 0 means that the endpoint received nothing.
    [[nodiscard]] size_t bytesWritten() const { return m_bytesWritten; }
    [[nodiscard]] size_t bytesRead() const { return m_bytesRead; }
    [[nodiscard]] StreamStatus status() const { return m_status; }
    /// @returns whether unread bytes are buffered here or in the socket.
    [[nodiscard]] bool hasExtraBytes() const;

private:
    /// Records the first error. @returns -1
    ssize_t fail(StreamStatus status);
    bool waitFor(short events);
    ssize_t fillBuffer();

    socket_t m_sock;
    const Clock& m_clock;
    TimePoint m_deadline;
    size_t m_maxReadBytes;
    size_t m_bytesWritten = 0;
    size_t m_bytesRead = 0;
    StreamStatus m_status = StreamStatus::Open;
    size_t m_bufferBegin = 0;
    size_t m_bufferEnd = 0;
    std::array<char, 8192> m_buffer {};
};

/// @returns whether the socket of an idle connection can be reused: the peer has not closed it and it has no unread bytes.
bool isIdleSocketUsable(socket_t sock);

} // namespace vanillalift
