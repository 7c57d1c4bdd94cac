#include "host_setup_p.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <glog/logging.h>
#include <string>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

namespace vanillalift::node {

namespace {

    sigset_t handledSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGHUP);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
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

    /// Gives the process a description of its own of a pipe, on which writes fail while it is full. The other processes
    /// that share the pipe keep theirs.
    void avoidBlocking(int fd)
    {
        struct stat status { };
        if (fstat(fd, &status) != 0 || !S_ISFIFO(status.st_mode))
            return;
        int own = open(("/proc/self/fd/" + std::to_string(fd)).c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        if (own < 0)
            return;
        dup2(own, fd);
        close(own);
    }

} // namespace

void prepareHost()
{
    holdSignals();
    openStandardStreams();
    std::signal(SIGXFSZ, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
    avoidBlocking(STDOUT_FILENO);
    avoidBlocking(STDERR_FILENO);
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

bool isStopPending()
{
    sigset_t signals;
    return sigpending(&signals) == 0 && (sigismember(&signals, SIGTERM) == 1 || sigismember(&signals, SIGINT) == 1);
}

size_t allowDescriptors(size_t wanted)
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        PLOG(WARNING) << "the limit of open descriptors is unknown";
        return wanted;
    }
    if (limit.rlim_cur >= wanted)
        return wanted;
    auto raised = limit;
    raised.rlim_cur = std::min<rlim_t>(wanted, limit.rlim_max);
    if (setrlimit(RLIMIT_NOFILE, &raised) == 0)
        limit = raised;
    else
        PLOG(WARNING) << "the limit of open descriptors cannot be raised";
    if (limit.rlim_cur < wanted)
        LOG(WARNING) << "only " << limit.rlim_cur << " of " << wanted << " open descriptors are allowed: fewer connections are accepted";
    return std::min<size_t>(wanted, limit.rlim_cur);
}

size_t reservedOf(size_t allowed, size_t reserved) { return std::min(allowed / 2, reserved); }

} // namespace vanillalift::node
