#include "proxy.h"

namespace vanillalift::soak {

Proxy::Proxy(net::EventLoop& loop, const Clock& clock, const net::Address& listen, const net::Address& target)
    : m_loop(loop)
    , m_clock(clock)
    , m_target(target)
    , m_listener(loop, listen, [this](evutil_socket_t fd) { accept(fd); })
{
}

void Proxy::accept(evutil_socket_t fd)
{
    auto& connection = m_connections.emplace_back();
    auto onBytes = [this, &connection](std::string_view bytes) {
        connection.toTarget.push_back({ m_clock.now() + m_delay, std::string(bytes) });
        return bytes.size();
    };
    connection.client = std::make_unique<net::Stream>(m_loop, fd, net::Stream::Handlers { [] {}, onBytes, [&connection](net::StreamCloseReason) { connection.isClientClosed = true; } });
}

void Proxy::connectTarget(Connection& connection)
{
    auto onBytes = [this, &connection](std::string_view bytes) {
        connection.fromTarget.push_back({ m_clock.now() + m_delay, std::string(bytes) });
        return bytes.size();
    };
    connection.target = std::make_unique<net::Stream>(m_loop, m_target, net::Stream::Handlers { [] {}, onBytes, [&connection](net::StreamCloseReason) { connection.isTargetClosed = true; } });
}

void Proxy::setBlocked(bool toTarget, bool fromTarget)
{
    m_isBlockedToTarget = toTarget;
    m_isBlockedFromTarget = fromTarget;
}

void Proxy::resetConnections()
{
    for (auto& it : m_connections)
        it.isReset = true;
}

void Proxy::forward(std::deque<Chunk>& chunks, net::Stream& to) const
{
    auto now = m_clock.now();
    for (; !chunks.empty() && chunks.front().dueAt <= now; chunks.pop_front())
        to.write(chunks.front().bytes);
}

void Proxy::poll()
{
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        auto& connection = *it;
        if (!connection.isReset && !m_isBlockedToTarget && !connection.target && !connection.isClientClosed)
            connectTarget(connection);
        bool isConnected = connection.target && connection.target->isConnected() && !connection.isTargetClosed;
        if (!connection.isReset && !m_isBlockedToTarget && isConnected && !connection.isClientClosed)
            forward(connection.toTarget, *connection.target);
        if (!connection.isReset && !m_isBlockedFromTarget && !connection.isClientClosed)
            forward(connection.fromTarget, *connection.client);
        // A close is not visible through a blocked direction. Once it is, undelivered bytes of a closed client are lost; those of
        // a closed target are delivered first.
        bool isTargetFinished = connection.isTargetClosed && (connection.fromTarget.empty() || connection.isClientClosed);
        bool isTargetCloseVisible = isTargetFinished && !m_isBlockedFromTarget;
        bool isClientCloseVisible = connection.isClientClosed && !m_isBlockedToTarget;
        if (!connection.isReset && !isTargetCloseVisible && !isClientCloseVisible) {
            ++it;
            continue;
        }
        if (connection.client && !connection.isClientClosed)
            connection.client->closeAfterWrite();
        if (connection.target && !connection.isTargetClosed)
            connection.target->abort();
        // The client stream is freed in a later call, after its last bytes have been sent.
        bool isFlushed = !connection.client || connection.isClientClosed || connection.client->unsentBytes() == 0;
        if (isFlushed)
            it = m_connections.erase(it);
        else
            ++it;
    }
}

} // namespace vanillalift::soak
