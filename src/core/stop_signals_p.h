#pragma once

#include <csignal>

namespace vanillalift {

/// Blocks SIGTERM and SIGINT so that a program can wait() for them and shut down gracefully. Construct it before the first
/// thread starts: threads inherit the signal mask. Also ignores SIGPIPE, as writes to a closed connection return an error.
class StopSignals {
public:
    StopSignals();

    /// Blocks until SIGTERM or SIGINT arrives, then restores the default action of both, so that a second signal terminates
    /// the process at once.
    void wait() const;

private:
    sigset_t m_signals {};
};

} // namespace vanillalift
