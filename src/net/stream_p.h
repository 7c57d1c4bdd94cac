#pragma once

#include "event_loop_p.h"

#include <vanillalift/config.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace vanillalift::net {

/// IPv4 address and port in host byte order.
struct Address {
    uint32_t ip = 0;
    uint16_t port = 0;
};

/// @returns nothing unless the text has the form "a.b.c.d:port" with a port above 0.
std::optional<Address> parseAddress(std::string_view text);

struct BuffereventDeleter {
    void operator()(bufferevent* it) const { bufferevent_free(it); }
};
using Bufferevent = std::unique_ptr<bufferevent, BuffereventDeleter>;

/// Why a stream closed, which tells the sender whether any data can have been sent.
enum class StreamCloseReason : uint8_t {
    /// The peer refused the connection: no process listens at the address. Nothing was sent.
    Refused,
    /// No connection was established. Nothing was sent.
    NotConnected,
    /// An established connection was closed.
    Closed,
    StreamCloseReasonCount,
};

/// A TCP connection with buffered reads and writes.
class Stream {
public:
    struct Handlers {
        std::function<void()> onConnected;
        /// Called with all unread bytes; returns the number of bytes consumed.
        std::function<size_t(std::string_view)> onBytes;
        /// Called once, when the stream has closed. The handler may destroy the stream.
        std::function<void(StreamCloseReason)> onClosed;
        /// If set, the end of the peer's data does not close the stream: it is reported here after all bytes, and again whenever
        /// reading is resumed after it.
        std::function<void()> onInputEnd = {};
        /// Called when all written bytes have been handed to the kernel.
        std::function<void()> onWritten = {};
    };

    /// Connects to an address.
    Stream(EventLoop& loop, const Address& address, Handlers handlers);
    /// Takes ownership of an accepted socket.
    Stream(EventLoop& loop, evutil_socket_t fd, Handlers handlers);
    ~Stream();
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    void write(std::string_view bytes);
    /// Pauses or resumes reading and the delivery of received bytes.
    void setReading(bool isReading);
    [[nodiscard]] bool isConnected() const { return m_isConnected; }
    /// Reads and delivers the bytes that have already arrived. Call it before a peer is declared timed out: the loop may be
    /// delayed, and it runs expired timers before the deferred read callbacks of the same iteration. The handlers may destroy
    /// the stream.
    void readPendingInput();
    /// Bytes passed to write() that have not been handed to the kernel yet.
    [[nodiscard]] size_t unsentBytes() const;
    /// Bytes read from the kernel that onBytes has not consumed yet.
    [[nodiscard]] size_t unreadBytes() const;
    /// Ends the output; the peer can still send. To be called when all written bytes were handed to the kernel.
    /// @returns whether the peer will be told.
    [[nodiscard]] bool endOutput() const;
    /// Closes the stream after all written bytes were handed to the kernel, and then calls onClosed.
    void closeAfterWrite();
    /// Closes the stream at once, without calling onClosed. When called from one of the stream's handlers, the object can be
    /// destroyed after the handler has returned.
    void abort();

private:
    void handleRead();
    void handleEvent(short what);
    void finish(StreamCloseReason reason);
    void configure(evutil_socket_t fd) const;
    void enable();

    Handlers m_handlers;
    Bufferevent m_buffer;
    bool m_isConnected = false;
    bool m_isClosing = false;
    bool m_isAborted = false;
    /// Lets callbacks detect that the handler they called has destroyed the stream.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

/// Accepts TCP connections on one address. An address that is in use or not assigned yet is tried again, with a log line each
/// time, until the listener is closed.
class Listener {
public:
    /// @param onFailure called when a connection cannot be accepted; returns whether it has freed a descriptor. If not, the listener
    /// pauses for config::acceptPause.
    Listener(EventLoop& loop, const Address& address, std::function<void(evutil_socket_t)> onAccept, std::function<bool()> onFailure = {}, Duration retryInterval = config::listenRetryInterval);
    /// @returns whether the listener is bound and not closed.
    [[nodiscard]] bool isOpen() const { return m_listener != nullptr; }
    /// Accepts the connections that are already established, then closes the listening socket, which resets those that it has not accepted.
    void close();

private:
    struct Deleter {
        void operator()(evconnlistener* it) const { evconnlistener_free(it); }
    };
    void open();
    void handleFailure();

    EventLoop& m_loop;
    Address m_address;
    std::function<void(evutil_socket_t)> m_onAccept;
    std::function<bool()> m_onFailure;
    Timer m_resumeTimer;
    Duration m_retryInterval;
    Timer m_retryTimer;
    std::unique_ptr<evconnlistener, Deleter> m_listener;
};

} // namespace vanillalift::net
