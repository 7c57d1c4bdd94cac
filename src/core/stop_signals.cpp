#include "stop_signals_p.h"

namespace vanillalift {

StopSignals::StopSignals()
{
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    signal(SIGXFSZ, SIG_IGN);
}

void StopSignals::wait() const
{
    int received = 0;
    sigwait(&m_signals, &received);
    pthread_sigmask(SIG_UNBLOCK, &m_signals, nullptr);
}

} // namespace vanillalift
