#include "host_setup_p.h"

#include <csignal>

namespace vanillalift::node {

namespace {

    sigset_t handledSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGHUP);
        sigaddset(&signals, SIGTERM);
        return signals;
    }

} // namespace

void prepareHost()
{
    holdSignals();
    std::signal(SIGXFSZ, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
}

void holdSignals()
{
    auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void releaseSignals()
{
    auto signals = handledSignals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace vanillalift::node
