#include "shutdown_p.h"

#include <utility>

namespace vanillalift::node {

Shutdown::Shutdown(net::HttpServer& server, ShutdownTimes times, Handlers handlers)
    : m_server(server)
    , m_times(times)
    , m_handlers(std::move(handlers))
{
}

void Shutdown::begin(TimePoint now)
{
    if (std::exchange(m_hasBegun, true))
        return;
    m_announceAt = now + m_times.announce;
    m_stopAcceptingAt = now + m_times.stopAccepting;
    m_answerAllAt = now + m_times.answerAll;
    m_endIdleAt = now + m_times.endIdle;
    m_exitAt = now + m_times.exit;
}

bool Shutdown::tick(TimePoint now)
{
    if (!m_hasBegun)
        return false;
    if (now >= m_announceAt)
        m_server.startDraining();
    bool mayStopAccepting = now >= m_stopAcceptingAt || (m_handlers.canStopAccepting && m_handlers.canStopAccepting());
    if (mayStopAccepting)
        m_server.stopAccepting();
    if (now >= m_answerAllAt && !std::exchange(m_hasAnsweredAll, true))
        m_handlers.answerAll();
    if (now >= m_endIdleAt && !std::exchange(m_hasEndedIdle, true))
        m_server.endIdleConnections();
    return now >= m_exitAt || (mayStopAccepting && !m_server.isOpen() && m_server.openConnections() == 0);
}

} // namespace vanillalift::node
