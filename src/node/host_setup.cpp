#include "host_setup_p.h"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

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

    void openStandardStreams()
    {
        for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; fd++) {
            if (fcntl(fd, F_GETFD) >= 0 || errno != EBADF)
                continue;
            // The lowest free descriptor is this one. A host without /dev/null has at least a root folder, to which writes fail.
            if (open("/dev/null", O_RDWR) < 0)
                open("/", O_RDONLY | O_DIRECTORY);
        }
    }

} // namespace

void prepareHost()
{
    holdSignals();
    openStandardStreams();
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
