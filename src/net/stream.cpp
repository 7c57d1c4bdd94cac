#include "stream_p.h"

#include <vanillalift/config.h>

#include <event2/buffer.h>
#include <glog/logging.h>

#include <arpa/inet.h>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace vanillalift::net {

namespace {

    sockaddr_in socketAddress(const Address& address)
    {
        sockaddr_in sin {};
        sin.sin_family = AF_INET;
        sin.sin_addr.s_addr = htonl(address.ip);
        sin.sin_port = htons(address.port);
        return sin;
    }

} // namespace

std::optional<Address> parseAddress(std::string_view text)
{
    auto colon = text.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    in_addr ip {};
    if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ip) != 1)
        return std::nullopt;
    auto port = text.substr(colon + 1);
    Address address { ntohl(ip.s_addr), 0 };
    auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (ec != std::errc() || end != port.data() + port.size() || address.port == 0)
        return std::nullopt;
    return address;
}

Stream::Stream(EventLoop& loop, const Address& address, Handlers handlers)
    : m_handlers(std::move(handlers))
    , m_buffer(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
{
    enable();
    auto sin = socketAddress(address);
    if (bufferevent_socket_connect(m_buffer.get(), reinterpret_cast<sockaddr*>(&sin), sizeof(sin)) == 0)
        configure(bufferevent_getfd(m_buffer.get()));
}

Stream::Stream(EventLoop& loop, evutil_socket_t fd, Handlers handlers)
    : m_handlers(std::move(handlers))
    , m_buffer(bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    , m_isConnected(true)
{
    configure(fd);
    enable();
}

Stream::~Stream() { *m_isAlive = false; }

void Stream::configure(evutil_socket_t fd) const
{
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    unsigned timeoutMs = config::tcpUserTimeoutMs;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof(timeoutMs));
}

void Stream::enable()
{
    auto read = [](bufferevent*, void* self) { static_cast<Stream*>(self)->handleRead(); };
    auto write = [](bufferevent*, void* self) {
        auto* stream = static_cast<Stream*>(self);
        if (stream->m_isClosing && stream->unsentBytes() == 0)
            stream->finish(StreamCloseReason::Closed);
        else if (stream->m_handlers.onWritten && stream->unsentBytes() == 0)
            stream->m_handlers.onWritten();
    };
    auto event = [](bufferevent*, short what, void* self) { static_cast<Stream*>(self)->handleEvent(what); };
    bufferevent_setcb(m_buffer.get(), read, write, event, this);
    bufferevent_enable(m_buffer.get(), EV_READ | EV_WRITE);
}

void Stream::handleRead()
{
    auto* input = bufferevent_get_input(m_buffer.get());
    auto isAlive = m_isAlive;
    while (*isAlive && evbuffer_get_length(input) > 0) {
        auto n = evbuffer_get_length(input);
        std::string_view bytes(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), n);
        auto used = m_handlers.onBytes(bytes);
        if (!*isAlive || m_isAborted || used == 0)
            return;
        evbuffer_drain(input, used);
    }
}

void Stream::readPendingInput()
{
    if (!m_isConnected || m_isAborted || !(bufferevent_get_enabled(m_buffer.get()) & EV_READ))
        return;
    auto fd = bufferevent_getfd(m_buffer.get());
    auto* input = bufferevent_get_input(m_buffer.get());
    // Reads only the bytes available now, so that a peer that keeps sending cannot block the caller.
    int availableBytes = 0;
    if (ioctl(fd, FIONREAD, &availableBytes) != 0)
        availableBytes = 0;
    evbuffer_unfreeze(input, 0);
    for (int n = 0; availableBytes > 0; availableBytes -= n) {
        n = evbuffer_read(input, fd, availableBytes);
        // The event loop detects an end of file or an error by itself.
        if (n <= 0)
            break;
    }
    evbuffer_freeze(input, 0);
    handleRead();
}

void Stream::handleEvent(short what)
{
    if (what & BEV_EVENT_CONNECTED) {
        m_isConnected = true;
        if (m_handlers.onConnected)
            m_handlers.onConnected();
        return;
    }
    // One call may report the end of input and a failed write.
    bool isInputEnd = (what & BEV_EVENT_EOF) && !(what & (BEV_EVENT_ERROR | BEV_EVENT_WRITING));
    if (isInputEnd && m_isConnected && m_handlers.onInputEnd)
        return m_handlers.onInputEnd();
    auto reason = m_isConnected ? StreamCloseReason::Closed : StreamCloseReason::NotConnected;
    if (!m_isConnected && (what & BEV_EVENT_ERROR) && EVUTIL_SOCKET_ERROR() == ECONNREFUSED)
        reason = StreamCloseReason::Refused;
    finish(reason);
}

void Stream::finish(StreamCloseReason reason)
{
    bufferevent_disable(m_buffer.get(), EV_READ | EV_WRITE);
    // Moved out first: the handler may destroy this stream and with it the function object.
    auto onClosed = std::move(m_handlers.onClosed);
    if (onClosed)
        onClosed(reason);
}

void Stream::write(std::string_view bytes) { bufferevent_write(m_buffer.get(), bytes.data(), bytes.size()); }

void Stream::setReading(bool isReading)
{
    if (isReading) {
        bufferevent_enable(m_buffer.get(), EV_READ);
        bufferevent_trigger(m_buffer.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
    } else {
        bufferevent_disable(m_buffer.get(), EV_READ);
    }
}

void Stream::abort()
{
    m_isAborted = true;
    bufferevent_setcb(m_buffer.get(), nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(m_buffer.get(), EV_READ | EV_WRITE);
    auto fd = bufferevent_getfd(m_buffer.get());
    if (fd >= 0)
        shutdown(fd, SHUT_RDWR);
}

size_t Stream::unsentBytes() const { return evbuffer_get_length(bufferevent_get_output(m_buffer.get())); }

size_t Stream::unreadBytes() const { return evbuffer_get_length(bufferevent_get_input(m_buffer.get())); }

bool Stream::endOutput() const { return shutdown(bufferevent_getfd(m_buffer.get()), SHUT_WR) == 0; }

void Stream::closeAfterWrite()
{
    m_isClosing = true;
    if (unsentBytes() == 0)
        bufferevent_trigger(m_buffer.get(), EV_WRITE, BEV_TRIG_IGNORE_WATERMARKS);
}

Listener::Listener(EventLoop& loop, const Address& address, std::function<void(evutil_socket_t)> onAccept, std::function<bool()> onFailure, Duration retryInterval)
    : m_loop(loop)
    , m_address(address)
    , m_onAccept(std::move(onAccept))
    , m_onFailure(std::move(onFailure))
    , m_resumeTimer(loop, [this] {
        if (m_listener)
            evconnlistener_enable(m_listener.get());
    })
    , m_retryInterval(retryInterval)
    , m_retryTimer(loop, [this] { open(); })
{
    open();
}

void Listener::open()
{
    auto sin = socketAddress(m_address);
    auto accept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) { static_cast<Listener*>(self)->m_onAccept(fd); };
    m_listener.reset(evconnlistener_new_bind(m_loop.base(), accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, config::acceptBacklog, reinterpret_cast<sockaddr*>(&sin), sizeof(sin)));
    if (m_listener)
        return evconnlistener_set_error_cb(m_listener.get(), [](evconnlistener*, void* self) { static_cast<Listener*>(self)->handleFailure(); });
    LOG(ERROR) << "cannot listen on port " << m_address.port << " yet: " << evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
    auto now = SystemClock().now();
    m_retryTimer.armAt(now + m_retryInterval, now);
}

void Listener::handleFailure()
{
    LOG_EVERY_N(WARNING, 100) << "a connection cannot be accepted: " << evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
    if (m_onFailure && m_onFailure())
        return;
    evconnlistener_disable(m_listener.get());
    m_resumeTimer.armAt(TimePoint() + config::acceptPause, TimePoint());
}

void Listener::close()
{
    m_retryTimer.disarm();
    if (!m_listener)
        return;
    auto fd = evconnlistener_get_fd(m_listener.get());
    evconnlistener_disable(m_listener.get());
    while (true) {
        auto accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0)
            m_onAccept(accepted);
        else if (errno != EINTR && errno != ECONNABORTED)
            break;
    }
    if (errno != EAGAIN)
        PLOG(WARNING) << "established connections may be reset";
    m_listener.reset();
}

} // namespace vanillalift::net
