#include "attempt_stream_p.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace vanillalift {

AttemptStream::AttemptStream(socket_t sock, const Clock& clock, TimePoint deadline, size_t maxReadBytes)
    : m_sock(sock)
    , m_clock(clock)
    , m_deadline(deadline)
    , m_maxReadBytes(maxReadBytes)
{
}

ssize_t AttemptStream::fail(StreamStatus status)
{
    if (m_status == StreamStatus::Open)
        m_status = status;
    return -1;
}

bool AttemptStream::waitFor(short events)
{
    while (true) {
        auto remaining = m_deadline - m_clock.now();
        if (remaining <= Duration::zero()) {
            fail(StreamStatus::TimedOut);
            return false;
        }
        // Rounded up, as a timeout of 0 ms would poll in a busy loop for the last millisecond.
        auto ms = std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
        pollfd fd { m_sock, events, 0 };
        auto n = poll(&fd, 1, static_cast<int>(std::min<int64_t>(ms, 1000)));
        if (n > 0)
            return true;
        if (n < 0 && errno != EINTR) {
            fail(StreamStatus::SocketError);
            return false;
        }
    }
}

ssize_t AttemptStream::fillBuffer()
{
    while (waitFor(POLLIN)) {
        auto n = recv(m_sock, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            continue;
        if (n < 0)
            return fail(errno == ECONNRESET ? StreamStatus::ClosedByPeer : StreamStatus::SocketError);
        if (n == 0) {
            fail(StreamStatus::ClosedByPeer);
            return 0;
        }
        m_bufferBegin = 0;
        m_bufferEnd = static_cast<size_t>(n);
        return n;
    }
    return -1;
}

ssize_t AttemptStream::read(char* ptr, size_t size)
{
    if (m_status != StreamStatus::Open)
        return m_status == StreamStatus::ClosedByPeer ? 0 : -1;
    if (m_bufferBegin == m_bufferEnd) {
        auto n = fillBuffer();
        if (n <= 0)
            return n;
    }
    auto n = std::min(size, m_bufferEnd - m_bufferBegin);
    if (m_bytesRead + n > m_maxReadBytes)
        return fail(StreamStatus::Oversized);
    std::memcpy(ptr, m_buffer.data() + m_bufferBegin, n);
    m_bufferBegin += n;
    m_bytesRead += n;
    return static_cast<ssize_t>(n);
}

ssize_t AttemptStream::write(const char* ptr, size_t size)
{
    if (m_status != StreamStatus::Open)
        return -1;
    while (waitFor(POLLOUT)) {
        auto n = ::send(m_sock, ptr, size, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            continue;
        if (n < 0)
            return fail(errno == EPIPE || errno == ECONNRESET ? StreamStatus::ClosedByPeer : StreamStatus::SocketError);
        m_bytesWritten += static_cast<size_t>(n);
        return n;
    }
    return -1;
}

bool AttemptStream::hasExtraBytes() const
{
    if (m_bufferBegin != m_bufferEnd)
        return true;
    char byte = 0;
    return recv(m_sock, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Pure virtual in the base class; the client does not use the addresses.
void AttemptStream::get_remote_ip_and_port(std::string& /*ip*/, int& /*port*/) const
{
}

void AttemptStream::get_local_ip_and_port(std::string& /*ip*/, int& /*port*/) const
{
}

bool isIdleSocketUsable(socket_t sock)
{
    char byte = 0;
    return recv(sock, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace vanillalift
