#pragma once

#include <vanillalift/clock.h>

#include <httplib.h>

#include <array>

namespace vanillalift {

enum class StreamStatus : uint8_t {
    Open,
    ClosedByPeer,
    TimedOut,
    /// More bytes were read than the bound allows.
    Oversized,
    SocketError,
    StreamStatusCount,
};

/// Counts the bytes of one attempt and bounds all of its reads and writes by one deadline.
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

    void setMaxReadBytes(size_t bound) { m_maxReadBytes = bound; }
    /// Bytes that the kernel accepted; 0 proves that nothing was sent.
    [[nodiscard]] size_t written() const { return m_bytesWritten; }
    [[nodiscard]] size_t bytesRead() const { return m_bytesRead; }
    [[nodiscard]] StreamStatus end() const { return m_status; }
    /// @returns whether bytes arrived that no read has consumed.
    [[nodiscard]] bool hasExtraBytes() const;

private:
    ssize_t fail(StreamStatus end);
    bool waitFor(short events);
    ssize_t fill();

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

/// @returns whether an idle connection is neither closed by the peer nor holds bytes that nobody asked for.
bool isIdleSocketUsable(socket_t sock);

} // namespace vanillalift
