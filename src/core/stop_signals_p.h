#pragma once

#include <csignal>

namespace vanillalift {

/// SIGTERM and SIGINT of a program that stops gracefully. Make it before the first thread, so that only wait() receives
/// them. Ignores SIGPIPE, since a closed connection is told by the error of the write.
class StopSignals {
public:
    StopSignals();

    /// Blocks until one of the signals arrives, then gives both their default effect, so that a second one ends the process
    /// at once.
    void wait() const;

private:
    sigset_t m_signals {};
};

} // namespace vanillalift
