#pragma once

#include "net/stream_p.h"

#include <deque>
#include <list>

namespace vanillalift::soak {

/// Forwards TCP connections from one loopback address to another, and injects network faults on request.
class Proxy {
public:
    Proxy(net::EventLoop& loop, const Clock& clock, const net::Address& listen, const net::Address& target);

    [[nodiscard]] bool isOpen() const { return m_listener.isOpen(); }
    /// Holds back bytes to the target process, or from it, until set to false. While bytes to the target are held back, new
    /// connections are accepted but not forwarded.
    void setBlocked(bool toTarget, bool fromTarget);
    /// Delays bytes that arrive from now on, in both directions.
    void setDelay(Duration delay) { m_delay = delay; }
    /// Closes all open connections.
    void resetConnections();
    /// Forwards bytes that are due, and closes connections that either side has closed.
    void poll();

private:
    struct Chunk {
        TimePoint dueAt;
        std::string bytes;
    };
    struct Connection {
        std::unique_ptr<net::Stream> client;
        std::unique_ptr<net::Stream> target;
        std::deque<Chunk> toTarget;
        std::deque<Chunk> fromTarget;
        bool isClientClosed = false;
        bool isTargetClosed = false;
        bool isReset = false;
    };

    void accept(evutil_socket_t fd);
    void connectTarget(Connection& connection);
    void forward(std::deque<Chunk>& chunks, net::Stream& to) const;

    net::EventLoop& m_loop;
    const Clock& m_clock;
    net::Address m_target;
    std::list<Connection> m_connections;
    bool m_isBlockedToTarget = false;
    bool m_isBlockedFromTarget = false;
    Duration m_delay {};
    net::Listener m_listener;
};

} // namespace vanillalift::soak
