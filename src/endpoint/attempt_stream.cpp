#include "attempt_stream_p.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace vanillalift {

AttemptStream::AttemptStream(socket_t sock, const Clock& clock, TimePoint deadline, size_t readBound)
    : m_sock(sock)
    , m_clock(clock)
    , m_deadline(deadline)
    , m_readBound(readBound)
{
}

ssize_t AttemptStream::fail(StreamEnd end)
{
    if (m_end == StreamEnd::Open)
        m_end = end;
    return -1;
}

bool AttemptStream::waitFor(short events)
{
    while (true) {
        auto remaining = m_deadline - m_clock.now();
        if (remaining <= Duration::zero()) {
            fail(StreamEnd::TimedOut);
            return false;
        }
        // Rounded up, so that the wait does not spin through the last millisecond.
        auto ms = std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
        pollfd fd { m_sock, events, 0 };
        auto n = poll(&fd, 1, static_cast<int>(std::min<int64_t>(ms, 1000)));
        if (n > 0)
            return true;
        if (n < 0 && errno != EINTR) {
            fail(StreamEnd::SocketError);
            return false;
        }
    }
}

ssize_t AttemptStream::fill()
{
    while (waitFor(POLLIN)) {
        auto n = recv(m_sock, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            continue;
        if (n < 0)
            return fail(errno == ECONNRESET ? StreamEnd::ClosedByPeer : StreamEnd::SocketError);
        if (n == 0) {
            fail(StreamEnd::ClosedByPeer);
            return 0;
        }
        m_begin = 0;
        m_filled = static_cast<size_t>(n);
        return n;
    }
    return -1;
}

ssize_t AttemptStream::read(char* ptr, size_t size)
{
    if (m_end != StreamEnd::Open)
        return m_end == StreamEnd::ClosedByPeer ? 0 : -1;
    if (m_begin == m_filled) {
        auto n = fill();
        if (n <= 0)
            return n;
    }
    auto n = std::min(size, m_filled - m_begin);
    if (m_read + n > m_readBound)
        return fail(StreamEnd::Oversized);
    std::memcpy(ptr, m_buffer.data() + m_begin, n);
    m_begin += n;
    m_read += n;
    return static_cast<ssize_t>(n);
}

ssize_t AttemptStream::write(const char* ptr, size_t size)
{
    if (m_end != StreamEnd::Open)
        return -1;
    while (waitFor(POLLOUT)) {
        auto n = ::send(m_sock, ptr, size, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            continue;
        if (n < 0)
            return fail(errno == EPIPE || errno == ECONNRESET ? StreamEnd::ClosedByPeer : StreamEnd::SocketError);
        m_written += static_cast<size_t>(n);
        return n;
    }
    return -1;
}

bool AttemptStream::hasExtraBytes() const
{
    if (m_begin != m_filled)
        return true;
    char byte = 0;
    return recv(m_sock, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// The client uses the addresses in no place; the base class requires the functions.
void AttemptStream::get_remote_ip_and_port(std::string& /*ip*/, int& /*port*/) const
{
}

void AttemptStream::get_local_ip_and_port(std::string& /*ip*/, int& /*port*/) const
{
}

bool isQuiet(socket_t sock)
{
    char byte = 0;
    return recv(sock, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace vanillalift
