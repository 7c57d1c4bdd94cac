#pragma once

#include "http_connection_p.h"
#include "worker_pool_p.h"

#include <set>
#include <thread>
#include <unordered_map>

namespace vanillalift {

/// A request that the server refuses before it reaches a route.
struct HttpRefusal {
    Reason reason = Reason::MalformedHeader;
    std::string_view detail;
    /// The part of the request that was read; may be truncated.
    std::string_view input;
    /// Suggested retry delay. 0: a retry cannot succeed.
    int64_t retryAfterMs = 0;
};

struct HttpServerDesc {
    std::string address;
    /// 0 selects any free port.
    int port = 0;
    size_t maxActiveRequests = 8;
    size_t maxConnections = 4096;
    size_t stackBytes = 256U << 10U;
    uint64_t maxBodyBytes = 4U << 20U;
    std::chrono::milliseconds idleTimeout { 60000 };
    /// Time limit for receiving the head, from its first byte, and then again for the body.
    std::chrono::milliseconds requestTimeout { 10000 };
    /// Path that ends with '/'; all targets below it go to the route registered for this path. Needed because cpp-httplib
    /// matches routes by std::regex, whose stack use grows with the length of the path.
    std::string routePrefix;
    /// Called for each refusal; returns the outcome to send. If unset, the outcome is "unknown".
    std::function<std::string(const HttpRefusal&)> classifyRefusal;
};

struct HttpServerStats {
    int64_t connections = 0;
    int64_t activeRequests = 0;
    int64_t startedThreads = 0;
    int64_t refusedRequests = 0;
};

/// HTTP server that uses a thread only for each request in progress. Idle connections wait in one epoll set. When all
/// workers are busy, reserved threads refuse further requests immediately.
class HttpServer final : public httplib::Server {
public:
    explicit HttpServer(HttpServerDesc desc);
    ~HttpServer() override;

    /// Binds and serves on internal threads. Add all routes before. @returns false if the address cannot be bound.
    [[nodiscard]] bool start();
    /// Stops accepting, closes idle connections, and waits for the responses to requests in progress.
    void stop();
    [[nodiscard]] int port() const { return m_port; }
    [[nodiscard]] HttpServerStats stats() const;

    /// @returns the connection whose request the calling thread's route handles, or nullptr outside of a route.
    static const HttpConnection* current();

private:
    enum class State : uint8_t {
        WaitingForInput,
        Busy,
        /// The last response was sent. Input is discarded until the caller closes or a timeout, since closing the socket with
        /// unread input sends a reset, which can overtake the response.
        Lingering,
    };
    struct Slot {
        std::shared_ptr<HttpConnection> connection;
        State state = State::WaitingForInput;
        /// Whether the connection counts in m_active.
        bool isActive = false;
    };

    bool process_and_close_socket(socket_t sock) override;
    void pollEvents();
    [[nodiscard]] int nextTimeoutMs();
    void onEvent(uint64_t id, uint32_t events);
    void closeExpired(TimePoint now);
    void wakePollThread() const;

    void dispatch(const std::shared_ptr<HttpConnection>& connection);
    void serve(HttpConnection& connection);
    bool handleRequest(HttpConnection& connection);
    void refuse(HttpConnection& connection, const HttpRefusal& refusal);
    void registerWait(HttpConnection& connection, State state, TimePoint deadline);
    void remove(uint64_t id);
    [[nodiscard]] bool activate(uint64_t id);
    /// Requires m_mutex to be held.
    void deactivate(Slot& slot);

    HttpServerDesc m_desc;
    int m_port = 0;
    int m_epollFd = -1;
    int m_wakeFd = -1;
    std::thread m_acceptThread;
    std::thread m_pollThread;
    WorkerPool m_workers;
    WorkerPool m_refusalWorkers;

    mutable std::mutex m_mutex;
    std::condition_variable m_allClosed;
    std::unordered_map<uint64_t, Slot> m_slots;
    /// Connections in the states WaitingForInput and Lingering, ordered by deadline.
    std::set<std::pair<TimePoint, uint64_t>> m_waits;
    uint64_t m_lastId = 0;
    /// Number of requests whose route is running. A request stops counting before its response is written, since the caller
    /// may send the next one before the thread that wrote the response is free again.
    size_t m_active = 0;
    std::atomic<bool> m_isStopping { false };
    std::atomic<int64_t> m_refused { 0 };
};

} // namespace vanillalift
