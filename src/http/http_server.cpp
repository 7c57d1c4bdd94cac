#include "http_server_p.h"

#include <nlohmann/json.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace vanillalift {

namespace {

    constexpr uint64_t wakeEventId = 0;
    constexpr const char* workersBusyDetail = "all worker threads of this entry are busy";
    constexpr std::chrono::seconds lingerTimeout { 1 };
    constexpr size_t refusalThreadCount = 2;
    /// Threads in addition to those of active requests, for responses that are still being written.
    constexpr size_t extraWriterThreads = 8;
    constexpr size_t maxQueuedRefusals = 1024;
    /// cpp-httplib's listen backlog of 5 overflows on a burst of new connections.
    constexpr int listenBacklog = 1024;
    constexpr size_t maxRoutedPathLength = 256;

    thread_local const HttpConnection* currentConnection = nullptr;

    /// Runs tasks on the accepting thread, since adding a connection to the epoll set does not block.
    class InlineQueue final : public httplib::TaskQueue {
    public:
        void enqueue(std::function<void()> fn) override { fn(); }
        void shutdown() override { }
    };

    void setSocketOptions(socket_t socket)
    {
        // Replaces cpp-httplib's default SO_REUSEPORT, which lets two processes share a port unnoticed.
        int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }

    std::string formatRefusal(const HttpRefusal& refusal, const std::string& outcome)
    {
        nlohmann::json body { { "outcome", outcome }, { "reason", reasonName(refusal.reason) }, { "detail", refusal.detail } };
        auto content = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
        std::string text = "HTTP/1.1 " + std::to_string(reasonStatus(refusal.reason)) + " Refused\r\nConnection: close\r\n";
        text += std::string(header::outcome) + ": " + outcome + "\r\n" + header::reason + ": " + std::string(reasonName(refusal.reason)) + "\r\n";
        if (refusal.retryAfterMs > 0) {
            text += "Retry-After: " + std::to_string((refusal.retryAfterMs + 999) / 1000) + "\r\n";
            text += std::string(header::retryAfterMs) + ": " + std::to_string(refusal.retryAfterMs) + "\r\n";
        }
        return text + "Content-Type: application/json\r\nContent-Length: " + std::to_string(content.size()) + "\r\n\r\n" + content;
    }

} // namespace

const HttpConnection* HttpServer::current() { return currentConnection; }

HttpServer::HttpServer(HttpServerDesc desc)
    : m_desc(std::move(desc))
    , m_workers({ m_desc.maxActiveRequests + m_desc.maxActiveRequests / 4 + extraWriterThreads, m_desc.maxActiveRequests, m_desc.stackBytes })
    , m_refusalWorkers({ refusalThreadCount, maxQueuedRefusals })
{
    new_task_queue = [] { return new InlineQueue; };
    set_socket_options(setSocketOptions);
    set_payload_max_length(m_desc.maxBodyBytes);
    // Both are announced in the Keep-Alive header of each response. Only the timeout is enforced, by closeExpired().
    set_keep_alive_max_count(std::numeric_limits<int32_t>::max());
    set_keep_alive_timeout(std::max<time_t>(m_desc.idleTimeout.count() / 1000, 1));
    set_post_routing_handler([this](const httplib::Request& /*request*/, httplib::Response& response) {
        currentConnection->clearCloseCallback();
        {
            std::lock_guard lock(m_mutex);
            deactivate(m_slots[currentConnection->id()]);
        }
        if (!m_isStopping)
            return;
        response.headers.erase("Keep-Alive");
        response.headers.erase("Connection");
        response.set_header("Connection", "close");
    });
}

HttpServer::~HttpServer()
{
    stop();
    for (int it : { m_epollFd, m_wakeFd }) {
        if (it >= 0)
            close(it);
    }
}

bool HttpServer::start()
{
    m_port = m_desc.port;
    if (m_desc.port == 0)
        m_port = bind_to_any_port(m_desc.address);
    else if (!bind_to_port(m_desc.address, m_desc.port))
        return false;
    if (m_port <= 0 || ::listen(svr_sock_, listenBacklog) != 0)
        return false;
    m_epollFd = epoll_create1(EPOLL_CLOEXEC);
    m_wakeFd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    epoll_event event { EPOLLIN, { .u64 = wakeEventId } };
    if (m_epollFd < 0 || m_wakeFd < 0 || epoll_ctl(m_epollFd, EPOLL_CTL_ADD, m_wakeFd, &event) != 0)
        return false;
    m_pollThread = std::thread([this] { pollEvents(); });
    m_acceptThread = std::thread([this] { listen_after_bind(); });
    while (!is_running())
        std::this_thread::yield();
    return true;
}

void HttpServer::stop()
{
    if (!m_pollThread.joinable())
        return;
    Server::stop();
    m_acceptThread.join();
    m_isStopping = true;
    wakePollThread();
    {
        std::unique_lock lock(m_mutex);
        m_allClosed.wait(lock, [this] { return m_slots.empty(); });
    }
    wakePollThread();
    m_pollThread.join();
    m_workers.stop();
    m_refusalWorkers.stop();
}

HttpServerStats HttpServer::stats() const
{
    std::lock_guard lock(m_mutex);
    return { static_cast<int64_t>(m_slots.size()), static_cast<int64_t>(m_active),
        static_cast<int64_t>(m_workers.startedThreads()), m_refused };
}

bool HttpServer::process_and_close_socket(socket_t sock)
{
    int on = 1;
    setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::shared_ptr<HttpConnection> connection;
    bool isRefused = false;
    {
        std::lock_guard lock(m_mutex);
        connection = std::make_shared<HttpConnection>(sock, m_epollFd, ++m_lastId);
        isRefused = m_slots.size() >= m_desc.maxConnections;
        // Refused connections linger up to a separate limit, beyond which new ones are closed without a response.
        if (m_slots.size() >= m_desc.maxConnections + maxQueuedRefusals)
            return false;
        m_slots[connection->id()] = { connection, State::Busy };
    }
    if (isRefused)
        refuse(*connection, { Reason::ConnectionLimit, "this entry has reached its maximum number of connections", {}, 1000 });
    else
        registerWait(*connection, State::WaitingForInput, BootClock::now() + m_desc.idleTimeout);
    return true;
}

void HttpServer::wakePollThread() const
{
    uint64_t one = 1;
    [[maybe_unused]] auto n = write(m_wakeFd, &one, sizeof(one));
}

int HttpServer::nextTimeoutMs()
{
    std::lock_guard lock(m_mutex);
    if (m_waits.empty())
        return -1;
    // One more, since the remaining time is rounded down.
    return static_cast<int>(millisecondsUntil(m_waits.begin()->first, BootClock::now()) + 1);
}

void HttpServer::pollEvents()
{
    std::array<epoll_event, 64> events;
    while (true) {
        int n = epoll_wait(m_epollFd, events.data(), events.size(), nextTimeoutMs());
        for (int it = 0; it < n; ++it)
            onEvent(events[it].data.u64, events[it].events);
        closeExpired(BootClock::now());
        std::lock_guard lock(m_mutex);
        if (m_isStopping && m_slots.empty())
            return;
    }
}

void HttpServer::onEvent(uint64_t id, uint32_t events)
{
    if (id == wakeEventId) {
        uint64_t count = 0;
        [[maybe_unused]] auto n = read(m_wakeFd, &count, sizeof(count));
        return;
    }
    std::shared_ptr<HttpConnection> connection;
    State state = State::Busy;
    {
        std::lock_guard lock(m_mutex);
        auto it = m_slots.find(id);
        if (it == m_slots.end())
            return;
        connection = it->second.connection;
        state = it->second.state;
        if (state == State::WaitingForInput) {
            m_waits.erase({ connection->waitDeadline, id });
            it->second.state = State::Busy;
        }
    }
    bool isClosed = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    if (state == State::WaitingForInput)
        return dispatch(connection);
    if (state == State::Busy && isClosed)
        return connection->reportClosed();
    if (state == State::Lingering) {
        connection->discardInput();
        if (isClosed)
            return remove(id);
        connection->watch(EPOLLIN | EPOLLRDHUP);
    }
}

void HttpServer::closeExpired(TimePoint now)
{
    std::vector<std::shared_ptr<HttpConnection>> closed;
    std::lock_guard lock(m_mutex);
    for (auto it = m_waits.begin(); it != m_waits.end();) {
        auto slot = m_slots.find(it->second);
        const auto& waiting = *slot->second.connection;
        bool isIdleAtStop = m_isStopping && slot->second.state == State::WaitingForInput && waiting.input().empty() && !waiting.hasPendingInput();
        if (it->first > now && !isIdleAtStop) {
            // Ordered by deadline: unless the server is stopping, the remaining connections expire later.
            if (!m_isStopping)
                break;
            ++it;
            continue;
        }
        closed.push_back(std::move(slot->second.connection));
        m_slots.erase(slot);
        it = m_waits.erase(it);
    }
    if (m_slots.empty())
        m_allClosed.notify_all();
}

void HttpServer::registerWait(HttpConnection& connection, State state, TimePoint deadline)
{
    uint32_t events = EPOLLIN | EPOLLRDHUP;
    bool isEarliest = false;
    {
        std::lock_guard lock(m_mutex);
        connection.waitDeadline = deadline;
        auto& slot = m_slots[connection.id()];
        slot.state = state;
        deactivate(slot);
        auto it = m_waits.insert({ deadline, connection.id() }).first;
        isEarliest = it == m_waits.begin();
        // Under the lock: once it is released, the connection may be closed and its descriptor reused.
        connection.watch(events);
    }
    if (isEarliest || m_isStopping)
        wakePollThread();
}

void HttpServer::remove(uint64_t id)
{
    std::shared_ptr<HttpConnection> connection;
    std::lock_guard lock(m_mutex);
    auto it = m_slots.find(id);
    if (it == m_slots.end())
        return;
    deactivate(it->second);
    connection = std::move(it->second.connection);
    m_waits.erase({ connection->waitDeadline, id });
    m_slots.erase(it);
    if (m_slots.empty())
        m_allClosed.notify_all();
    if (m_isStopping)
        wakePollThread();
}

bool HttpServer::activate(uint64_t id)
{
    std::lock_guard lock(m_mutex);
    if (m_active >= m_desc.maxActiveRequests)
        return false;
    ++m_active;
    m_slots[id].isActive = true;
    return true;
}

void HttpServer::deactivate(Slot& slot)
{
    if (std::exchange(slot.isActive, false))
        --m_active;
}

void HttpServer::dispatch(const std::shared_ptr<HttpConnection>& connection)
{
    if (activate(connection->id()) && m_workers.tryRun([this, connection] { serve(*connection); }))
        return;
    bool isQueued = m_refusalWorkers.tryRun([this, connection] {
        auto state = connection->readHead();
        if (state == HeadState::Closed)
            return remove(connection->id());
        refuse(*connection, { Reason::ConnectionLimit, workersBusyDetail, connection->input(), 1000 });
    });
    if (!isQueued)
        remove(connection->id());
}

void HttpServer::serve(HttpConnection& connection)
{
    for (bool isFirst = true;; isFirst = false) {
        auto state = connection.readHead();
        auto now = BootClock::now();
        if (state == HeadState::Closed)
            return remove(connection.id());
        if (state == HeadState::TooLarge)
            return refuse(connection, { Reason::MalformedHeader, "the request line and headers are too large", connection.input() });
        if (state == HeadState::Incomplete) {
            bool isIdle = connection.input().empty();
            if (!isIdle && connection.headDeadline == TimePoint {})
                connection.headDeadline = now + m_desc.requestTimeout;
            return registerWait(connection, State::WaitingForInput, isIdle ? now + m_desc.idleTimeout : connection.headDeadline);
        }
        if (!isFirst && !activate(connection.id()))
            return refuse(connection, { Reason::ConnectionLimit, workersBusyDetail, connection.input(), 1000 });
        if (!handleRequest(connection))
            return;
    }
}

bool HttpServer::handleRequest(HttpConnection& connection)
{
    auto head = parseHttpHead(connection.input(), m_desc.maxBodyBytes);
    if (head.errorReason) {
        refuse(connection, { *head.errorReason, head.detail, connection.input() });
        return false;
    }
    // cpp-httplib does not report whether it read a chunked body to its end, so the connection is not reused.
    bool isLast = m_isStopping || head.isChunked;
    connection.beginRequest(std::move(head), m_desc.maxBodyBytes, BootClock::now() + m_desc.requestTimeout);
    bool isCloseRequested = false;
    bool isRouted = false;
    currentConnection = &connection;
    bool isWritten = process_request(connection, isLast, isCloseRequested, [&](httplib::Request& request) {
        isRouted = true;
        bool hasPrefix = !m_desc.routePrefix.empty() && request.target.rfind(m_desc.routePrefix, 0) == 0;
        if (hasPrefix)
            request.path = m_desc.routePrefix;
        else if (request.path.size() > maxRoutedPathLength)
            request.path = "/";
    });
    currentConnection = nullptr;
    connection.clearCloseCallback();
    if (isWritten && isRouted && !isCloseRequested && !isLast && !connection.hasUnreadBody())
        return true;
    if (isWritten && (connection.hasUnreadBody() || isLast)) {
        shutdown(connection.socket(), SHUT_WR);
        registerWait(connection, State::Lingering, BootClock::now() + lingerTimeout);
    } else {
        remove(connection.id());
    }
    return false;
}

void HttpServer::refuse(HttpConnection& connection, const HttpRefusal& refusal)
{
    ++m_refused;
    auto outcome = m_desc.classifyRefusal ? m_desc.classifyRefusal(refusal) : std::string("unknown");
    connection.trySend(formatRefusal(refusal, outcome));
    connection.discardInput();
    shutdown(connection.socket(), SHUT_WR);
    registerWait(connection, State::Lingering, BootClock::now() + lingerTimeout);
}

} // namespace vanillalift
