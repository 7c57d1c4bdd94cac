#pragma once

#include "http_connection_p.h"
#include "worker_pool_p.h"

#include <set>
#include <thread>
#include <unordered_map>

namespace vanillalift {

/// A request that the server refuses before any route sees it.
struct HttpRefusal {
    Reason reason = Reason::MalformedHeader;
    std::string_view detail;
    /// What was read of the request; may be cut off.
    std::string_view input;
    /// 0: trying again cannot help.
    int64_t retryAfterMs = 0;
};

struct HttpServerDesc {
    std::string address;
    /// 0: any free port.
    int port = 0;
    size_t maxActiveRequests = 8;
    size_t maxConnections = 4096;
    size_t stackBytes = 256U << 10U;
    uint64_t maxBodyBytes = 4U << 20U;
    std::chrono::milliseconds idleTimeout { 60000 };
    /// Time for the whole head from its first byte, and then for the whole body.
    std::chrono::milliseconds requestTimeout { 10000 };
    /// Targets below this path, which ends with '/', are all routed to a route of this name. cpp-httplib matches
    /// routes by std::regex, whose stack use grows with the length of the path.
    std::string routePrefix;
    /// Told of each refusal; returns its outcome word. Without it the outcome is "unknown".
    std::function<std::string(const HttpRefusal&)> classifyRefusal;
};

struct HttpServerStats {
    int64_t connections = 0;
    int64_t activeRequests = 0;
    int64_t startedThreads = 0;
    int64_t refusedRequests = 0;
};

/// HTTP server that holds a thread only for each request in progress. Idle connections wait in one epoll set; when
/// all workers are busy, reserved threads refuse further requests at once.
class HttpServer final : public httplib::Server {
public:
    explicit HttpServer(HttpServerDesc desc);
    ~HttpServer() override;

    /// Binds and serves on threads of its own. Routes are added before. @returns false if the address cannot be bound.
    [[nodiscard]] bool start();
    /// Stops accepting, closes idle connections, and waits until the running requests are answered.
    void stop();
    [[nodiscard]] int port() const { return m_port; }
    [[nodiscard]] HttpServerStats stats() const;

    /// @returns the connection that the calling route serves, or nullptr outside of a route.
    static const HttpConnection* current();

private:
    enum class State : uint8_t {
        WaitingForInput,
        Busy,
        /// Refused; input is discarded until the caller closes, so that a reset does not overtake the refusal.
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
    void registerWait(HttpConnection& connection, State state, TimePoint until);
    void remove(uint64_t id);
    [[nodiscard]] bool activate(uint64_t id);
    /// Call with the lock held.
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
    /// WaitingForInput and lingering connections by the end of their wait.
    std::set<std::pair<TimePoint, uint64_t>> m_waits;
    uint64_t m_lastId = 0;
    /// Requests whose routes run. A request stops counting before its answer is written, since the caller may send
    /// the next one before the thread that wrote the answer is free again.
    size_t m_active = 0;
    std::atomic<bool> m_isStopping { false };
    std::atomic<int64_t> m_refused { 0 };
};

} // namespace vanillalift
