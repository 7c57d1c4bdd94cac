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
        connection.towardsTarget.push_back({ m_clock.now() + m_delay, std::string(bytes) });
        return bytes.size();
    };
    connection.client = std::make_unique<net::Stream>(m_loop, fd, net::Stream::Handlers { [] {}, onBytes, [&connection](net::StreamCloseReason) { connection.hasClientEnded = true; } });
}

void Proxy::connectTarget(Connection& connection)
{
    auto onBytes = [this, &connection](std::string_view bytes) {
        connection.fromTarget.push_back({ m_clock.now() + m_delay, std::string(bytes) });
        return bytes.size();
    };
    connection.target = std::make_unique<net::Stream>(m_loop, m_target, net::Stream::Handlers { [] {}, onBytes, [&connection](net::StreamCloseReason) { connection.hasTargetEnded = true; } });
}

void Proxy::setSilent(bool towardsTarget, bool fromTarget)
{
    m_isSilentTowards = towardsTarget;
    m_isSilentFrom = fromTarget;
}

void Proxy::reset()
{
    for (auto& it : m_connections)
        it.isOver = true;
}

void Proxy::forward(std::deque<Bytes>& bytes, net::Stream& to) const
{
    auto now = m_clock.now();
    for (; !bytes.empty() && bytes.front().dueAt <= now; bytes.pop_front())
        to.write(bytes.front().bytes);
}

void Proxy::pump()
{
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        auto& connection = *it;
        if (!connection.isOver && !m_isSilentTowards && !connection.target && !connection.hasClientEnded)
            connectTarget(connection);
        bool isConnected = connection.target && connection.target->isConnected() && !connection.hasTargetEnded;
        if (!connection.isOver && !m_isSilentTowards && isConnected && !connection.hasClientEnded)
            forward(connection.towardsTarget, *connection.target);
        if (!connection.isOver && !m_isSilentFrom && !connection.hasClientEnded)
            forward(connection.fromTarget, *connection.client);
        // What a sender leaves behind a cut is lost with its connection.
        bool isTargetDone = connection.hasTargetEnded && (connection.fromTarget.empty() || connection.hasClientEnded);
        bool isTargetEndSeen = isTargetDone && !m_isSilentFrom;
        bool isClientEndSeen = connection.hasClientEnded && !m_isSilentTowards;
        if (!connection.isOver && !isTargetEndSeen && !isClientEndSeen) {
            ++it;
            continue;
        }
        if (connection.client && !connection.hasClientEnded)
            connection.client->closeAfterWrite();
        if (connection.target && !connection.hasTargetEnded)
            connection.target->abort();
        // The last bytes leave before the stream is freed in a later round.
        bool isFlushed = !connection.client || connection.hasClientEnded || connection.client->unsentBytes() == 0;
        if (isFlushed)
            it = m_connections.erase(it);
        else
            ++it;
    }
}

} // namespace vanillalift::soak
