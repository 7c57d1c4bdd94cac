#pragma once

#include <vanillalift/clock.h>

#include <httplib.h>

#include <array>

namespace vanillalift {

enum class StreamEnd : uint8_t {
    Open,
    ClosedByPeer,
    TimedOut,
    /// More bytes were read than the bound allows.
    Oversized,
    SocketError,
    StreamEndCount,
};

/// Counts the bytes of one attempt and bounds all of its reads and writes by one deadline.
class AttemptStream final : public httplib::Stream {
public:
    AttemptStream(socket_t sock, const Clock& clock, TimePoint deadline, size_t readBound);

    [[nodiscard]] bool is_readable() const override { return true; } // NOLINT(readability-identifier-naming)
    [[nodiscard]] bool is_writable() const override { return true; } // NOLINT(readability-identifier-naming)
    ssize_t read(char* ptr, size_t size) override;
    ssize_t write(const char* ptr, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override; // NOLINT(readability-identifier-naming)
    void get_local_ip_and_port(std::string& ip, int& port) const override; // NOLINT(readability-identifier-naming)
    [[nodiscard]] socket_t socket() const override { return m_sock; }

    void setReadBound(size_t bound) { m_readBound = bound; }
    /// Bytes that the kernel accepted; 0 proves that nothing was sent.
    [[nodiscard]] size_t written() const { return m_written; }
    [[nodiscard]] size_t bytesRead() const { return m_read; }
    [[nodiscard]] StreamEnd end() const { return m_end; }
    /// @returns whether bytes arrived that no read has consumed.
    [[nodiscard]] bool hasExtraBytes() const;

private:
    ssize_t fail(StreamEnd end);
    bool waitFor(short events);
    ssize_t fill();

    socket_t m_sock;
    const Clock& m_clock;
    TimePoint m_deadline;
    size_t m_readBound;
    size_t m_written = 0;
    size_t m_read = 0;
    StreamEnd m_end = StreamEnd::Open;
    size_t m_begin = 0;
    size_t m_filled = 0;
    std::array<char, 8192> m_buffer {};
};

/// @returns whether an idle connection is neither closed by the peer nor holds bytes that nobody asked for.
bool isQuiet(socket_t sock);

} // namespace vanillalift
