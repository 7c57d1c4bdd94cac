#pragma once

#include "event_loop_p.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace vanillalift::net {

/// IPv4 address and port of a process.
struct Address {
    uint32_t ip = 0;
    uint16_t port = 0;
};

/// @returns nothing unless the text is "a.b.c.d:port".
std::optional<Address> parseAddress(std::string_view text);

struct BuffereventDeleter {
    void operator()(bufferevent* it) const { bufferevent_free(it); }
};
using Bufferevent = std::unique_ptr<bufferevent, BuffereventDeleter>;

/// Why a stream ended, as far as the sender has to know.
enum class StreamCloseReason : uint8_t {
    /// The peer's host answered that no process listens there. Nothing was sent.
    Refused,
    /// No connection was established. Nothing was sent.
    NotConnected,
    /// An established connection ended.
    Closed,
    StreamCloseReasonCount,
};

/// A TCP connection with buffered reads and writes.
class Stream {
public:
    struct Handlers {
        std::function<void()> onConnected;
        /// Called with all bytes that wait; returns how many it has used.
        std::function<size_t(std::string_view)> onBytes;
        /// Called once. The stream may be destroyed in it.
        std::function<void(StreamCloseReason)> onClosed;
    };

    /// Connects to an address.
    Stream(EventLoop& loop, const Address& address, Handlers handlers);
    /// Takes an accepted socket.
    Stream(EventLoop& loop, evutil_socket_t fd, Handlers handlers);
    ~Stream();
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    void write(std::string_view bytes);
    /// Stops or resumes delivery of received bytes.
    void setReading(bool isReading);
    [[nodiscard]] bool isConnected() const { return m_isConnected; }
    /// Hands over the bytes that have arrived, for decisions about a peer's silence: the loop may be late, and its timers run
    /// before the deferred callbacks of their pass. The stream may be destroyed in it.
    void readPendingInput();
    /// Bytes accepted by write() that the kernel has not taken yet.
    [[nodiscard]] size_t unsentBytes() const;
    /// Bytes read from the kernel that onBytes has not used yet.
    [[nodiscard]] size_t unreadBytes() const;
    /// Ends the stream after the written bytes have left; onClosed is called then.
    void closeAfterWrite();
    /// Ends the stream at once and without a call of onClosed. It may be destroyed later, outside its own handlers.
    void abort();

private:
    void handleRead();
    void handleEvent(short what);
    void configure(evutil_socket_t fd) const;
    void enable();

    Handlers m_handlers;
    Bufferevent m_buffer;
    bool m_isConnected = false;
    bool m_isClosing = false;
    bool m_isAborted = false;
    /// Guards callbacks against destruction of the stream by the handler that they call.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

/// Accepts connections on one address.
class Listener {
public:
    Listener(EventLoop& loop, const Address& address, std::function<void(evutil_socket_t)> onAccept);
    /// @returns whether the address could be bound.
    [[nodiscard]] bool isOpen() const { return m_listener != nullptr; }
    void close() { m_listener.reset(); }

private:
    struct Deleter {
        void operator()(evconnlistener* it) const { evconnlistener_free(it); }
    };
    std::function<void(evutil_socket_t)> m_onAccept;
    std::unique_ptr<evconnlistener, Deleter> m_listener;
};

} // namespace vanillalift::net
