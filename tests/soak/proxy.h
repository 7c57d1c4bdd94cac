#pragma once

#include "net/stream_p.h"

#include <deque>
#include <list>

namespace vanillalift::soak {

/// Forwards TCP connections between two loopback addresses, and harms them on request.
class Proxy {
public:
    Proxy(net::EventLoop& loop, const Clock& clock, const net::Address& listen, const net::Address& target);

    [[nodiscard]] bool isOpen() const { return m_listener.isOpen(); }
    /// Holds back bytes to the listening process, or from it, until set to false. New connections stay without an answer.
    void setBlocked(bool toTarget, bool fromTarget);
    void setDelay(Duration delay) { m_delay = delay; }
    /// Ends all open connections.
    void reset();
    /// Forwards what is due.
    void pump();

private:
    struct Bytes {
        TimePoint dueAt;
        std::string bytes;
    };
    struct Connection {
        std::unique_ptr<net::Stream> client;
        std::unique_ptr<net::Stream> target;
        std::deque<Bytes> toTarget;
        std::deque<Bytes> fromTarget;
        bool isClientClosed = false;
        bool isTargetClosed = false;
        bool isReset = false;
    };

    void accept(evutil_socket_t fd);
    void connectTarget(Connection& connection);
    void forward(std::deque<Bytes>& bytes, net::Stream& to) const;

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
