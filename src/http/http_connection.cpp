#include "http_connection_p.h"

#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillalift {

namespace {

    constexpr size_t maxHeadBytes = 16U << 10U;
    /// A write fails if the caller's socket accepts no byte of the response for this time.
    constexpr std::chrono::seconds writeTimeout { 5 };

} // namespace

HttpConnection::HttpConnection(int socket, int epoll, uint64_t id)
    : m_socket(socket)
    , m_epollFd(epoll)
    , m_id(id)
{
    epoll_event event { EPOLLONESHOT, { .u64 = id } };
    epoll_ctl(m_epollFd, EPOLL_CTL_ADD, m_socket, &event);
}

HttpConnection::~HttpConnection() { close(m_socket); }

void HttpConnection::watch(uint32_t events) const
{
    epoll_event event { events | EPOLLONESHOT, { .u64 = m_id } };
    epoll_ctl(m_epollFd, EPOLL_CTL_MOD, m_socket, &event);
}

HeadState HttpConnection::readHead()
{
    while (m_input.find("\r\n\r\n") == std::string::npos) {
        if (m_input.size() >= maxHeadBytes)
            return HeadState::TooLarge;
        std::array<char, 4096> buf;
        auto n = recv(m_socket, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return HeadState::Incomplete;
        if (n <= 0)
            return HeadState::Closed;
        m_input.append(buf.data(), static_cast<size_t>(n));
    }
    return HeadState::Complete;
}

void HttpConnection::beginRequest(HttpHead head, uint64_t maxBodyBytes, TimePoint bodyDeadline)
{
    m_input.erase(0, m_input.find("\r\n\r\n") + 4);
    m_head = std::move(head);
    m_httplibHead = m_head.serializeForHttplib();
    m_httplibHeadOffset = 0;
    // With chunks of 64 bytes or more, chunk framing adds about 1/16 at most.
    m_remainingBodyBytes = m_head.isChunked ? maxBodyBytes + maxBodyBytes / 16 : m_head.contentLength;
    m_bodyDeadline = bodyDeadline;
    m_isBodyTooLarge = false;
    headDeadline = {};
}

ssize_t HttpConnection::read(char* ptr, size_t size)
{
    if (m_httplibHeadOffset == m_httplibHead.size())
        return readBody(ptr, size);
    auto n = m_httplibHead.copy(ptr, size, m_httplibHeadOffset);
    m_httplibHeadOffset += n;
    return static_cast<ssize_t>(n);
}

ssize_t HttpConnection::readBody(char* ptr, size_t size)
{
    if (m_remainingBodyBytes == 0) {
        m_isBodyTooLarge = m_head.isChunked;
        return m_head.isChunked ? -1 : 0;
    }
    size = std::min<uint64_t>(size, m_remainingBodyBytes);
    if (m_input.empty()) {
        std::array<char, 16384> buf;
        ssize_t n = -1;
        while (n < 0) {
            if (!waitFor(POLLIN, m_bodyDeadline))
                return -1;
            n = recv(m_socket, buf.data(), buf.size(), MSG_DONTWAIT);
            if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
                return -1;
        }
        m_input.assign(buf.data(), static_cast<size_t>(n));
    }
    auto n = m_input.copy(ptr, size);
    m_input.erase(0, n);
    m_remainingBodyBytes -= n;
    return static_cast<ssize_t>(n);
}

ssize_t HttpConnection::write(const char* ptr, size_t size)
{
    size_t written = 0;
    while (written < size) {
        auto n = send(m_socket, ptr + written, size - written, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n > 0) {
            written += static_cast<size_t>(n);
            continue;
        }
        bool shouldRetry = errno == EAGAIN || errno == EINTR;
        if (!shouldRetry || !waitFor(POLLOUT, BootClock::now() + writeTimeout))
            return -1;
    }
    return static_cast<ssize_t>(written);
}

bool HttpConnection::waitFor(short events, TimePoint deadline) const
{
    pollfd it { m_socket, events, 0 };
    auto ms = millisecondsUntil(deadline, BootClock::now());
    return ms > 0 && poll(&it, 1, static_cast<int>(std::min<int64_t>(ms, 600000))) > 0;
}

bool HttpConnection::trySend(std::string_view text)
{
    return send(m_socket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

void HttpConnection::discardInput()
{
    std::array<char, 16384> buf;
    // Bounded, so that a fast sender cannot block the calling thread.
    for (int n = 0; n < 16 && recv(m_socket, buf.data(), buf.size(), MSG_DONTWAIT) > 0; ++n)
        continue;
}

bool HttpConnection::hasPendingInput() const
{
    pollfd it { m_socket, POLLIN, 0 };
    return poll(&it, 1, 0) > 0;
}

bool HttpConnection::isClosed() const
{
    pollfd it { m_socket, POLLRDHUP, 0 };
    return poll(&it, 1, 0) > 0;
}

void HttpConnection::onClose(std::function<void()> callback) const
{
    std::lock_guard lock(m_callbackMutex);
    m_callback = std::move(callback);
    watch(EPOLLRDHUP);
}

void HttpConnection::reportClosed()
{
    std::function<void()> callback;
    {
        std::lock_guard lock(m_callbackMutex);
        callback = std::exchange(m_callback, nullptr);
        m_isCallbackRunning = callback != nullptr;
    }
    if (!callback)
        return;
    // Called without the lock: the callback takes the scheduler's lock, and onClose() may be called while that lock is held.
    callback();
    std::lock_guard lock(m_callbackMutex);
    m_isCallbackRunning = false;
    m_callbackDone.notify_all();
}

void HttpConnection::clearCloseCallback() const
{
    std::unique_lock lock(m_callbackMutex);
    m_callback = nullptr;
    m_callbackDone.wait(lock, [this] { return !m_isCallbackRunning; });
}

void HttpConnection::get_remote_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

void HttpConnection::get_local_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

} // namespace vanillalift
