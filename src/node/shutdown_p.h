#pragma once

#include "net/http_p.h"

#include <functional>

namespace vanillalift::node {

/// Times of a graceful shutdown, all counted from its begin.
struct ShutdownTimes {
    /// From when each response ends its connection, so that callers go elsewhere.
    std::chrono::milliseconds announce;
    /// Latest time at which the server stops accepting connections, see Shutdown::Handlers::canStopAccepting.
    std::chrono::milliseconds stopAccepting;
    /// After it, requests that are still open are answered at once: as not run if no controller received them, else as unknown.
    std::chrono::milliseconds answerAll;
    /// After it, idle connections are ended.
    std::chrono::milliseconds endIdle;
    /// After it, the process exits even if clients have not read their responses; the platform kills it after 6 s.
    std::chrono::milliseconds exit;
};

/// The load balancer removes a gateway after two failed readiness checks, one per second. Until then, connections that ended would
/// only come back.
constexpr ShutdownTimes gatewayShutdown {
    std::chrono::milliseconds(2500), std::chrono::milliseconds(2500), std::chrono::milliseconds(5400), std::chrono::milliseconds(5600), std::chrono::milliseconds(5800)
};

/// Callers of a controller may go to any other one at once. It stops accepting once its leadership has been transferred. The senders of
/// heartbeats, which come back within 3 s, are told on their connection that it ends.
constexpr ShutdownTimes controllerShutdown {
    std::chrono::milliseconds(0), std::chrono::milliseconds(1500), std::chrono::milliseconds(4000), std::chrono::milliseconds(4300), std::chrono::milliseconds(4500)
};

/// Graceful shutdown of a process with one HTTP server for its callers. Ends as soon as all connections are closed: a request may be on its
/// way on each of them.
class Shutdown {
public:
    struct Handlers {
        /// Whether the server may stop accepting connections before the time for it; nullptr if not.
        std::function<bool()> canStopAccepting;
        /// Answers the requests that are in progress, and each later one at once.
        std::function<void()> answerAll;
    };

    Shutdown(net::HttpServer& server, ShutdownTimes times, Handlers handlers);

    /// Starts the shutdown; further calls have no effect.
    void begin(TimePoint now);
    /// Performs the actions that are due.
    /// @returns whether the process may exit.
    bool tick(TimePoint now);

private:
    net::HttpServer& m_server;
    ShutdownTimes m_times;
    Handlers m_handlers;
    bool m_hasBegun = false;
    bool m_hasAnsweredAll = false;
    bool m_hasEndedIdle = false;
    TimePoint m_announceAt;
    TimePoint m_stopAcceptingAt;
    TimePoint m_answerAllAt;
    TimePoint m_endIdleAt;
    TimePoint m_exitAt;
};

} // namespace vanillalift::node
