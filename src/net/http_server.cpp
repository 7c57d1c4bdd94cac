#include "http_p.h"

#include <vanillalift/config.h>

#include <glog/logging.h>

#include <algorithm>
#include <sys/socket.h>

namespace vanillalift::net {

namespace {

    HttpResponse overloadResponse() { return { 503, { { "Retry-After", "1" } }, {} }; }

    /// @param connection value of the header Connection, empty for none.
    std::string encodeHead(const HttpResponse& response, std::string_view connection)
    {
        std::string head = "HTTP/1.1 " + std::to_string(response.status) + ' ' + http_status_str(static_cast<http_status>(response.status)) + "\r\n";
        for (const auto& header : response.headers)
            head += header.name + ": " + header.value + "\r\n";
        head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
        if (!connection.empty())
            head.append("Connection: ").append(connection).append("\r\n");
        return head + "\r\n";
    }

} // namespace

const std::array<Duration, static_cast<size_t>(HttpServer::Stage::StageCount)> HttpServer::timeLimits {
    config::minHttpIdleTime, config::httpHeadTimeout, config::httpBodyTimeout, Duration::zero(), config::httpLingerTimeout
};

struct HttpServer::Connection {
    HttpParser parser;
    HttpMemory::Holder memory;
    std::unique_ptr<Stream> stream;
    /// Number of the request in progress, 0 for none.
    uint64_t request = 0;
    bool isKeptAlive = true;
    /// Whether the output was ended while no request was in progress.
    bool hasEndedIdle = false;
    /// Bytes read after the request in progress.
    size_t unparsedBytes = 0;
    /// Of the request in progress.
    bool isHead = false;
    bool isVersion10 = false;
    size_t discardedBytes = 0;
    Stage stage = Stage::Idle;
    /// End of the stage; when idle, the time from which the connection may be closed in favour of another one.
    TimePoint deadline {};
    /// In the list of the stage.
    std::list<uint64_t>::iterator position {};

    Connection(HttpParser::Limits limits, HttpMemory& budget, std::function<void()> onReclaim)
        : parser(HttpParser::Kind::Request, limits)
        , memory(budget, std::move(onReclaim))
    {
    }

    [[nodiscard]] bool isOpen() const { return request != 0 || stream->unsentBytes() != 0 || (isKeptAlive && stream->unreadBytes() != 0); }
};

HttpServer::HttpServer(EventLoop& loop, const Clock& clock, HttpMemory& memory, const Address& address, size_t maxBodyBytes, size_t maxConnections, Handler handler, Duration listenRetryInterval)
    : m_loop(loop)
    , m_clock(clock)
    , m_memory(memory)
    , m_maxBodyBytes(maxBodyBytes)
    , m_maxConnections(maxConnections)
    , m_handler(std::move(handler))
    , m_timer(loop, [this] { handleTimer(); })
    , m_listener(
          loop, address, [this](evutil_socket_t fd) { accept(fd); }, [this] { return handleAcceptFailure(); }, listenRetryInterval)
{
}

HttpServer::~HttpServer() { *m_isAlive = false; }

void HttpServer::accept(evutil_socket_t fd)
{
    const auto& lingering = m_stages[static_cast<size_t>(Stage::Lingering)];
    bool isRefused = m_connections.size() - lingering.size() >= m_maxConnections && !evictIdle();
    auto id = ++m_lastId;
    auto connection = std::make_unique<Connection>(HttpParser::Limits { config::maxHttpHeadBytes, m_maxBodyBytes }, m_memory, [this, id] { reclaim(id); });
    auto& idle = m_stages[static_cast<size_t>(Stage::Idle)];
    connection->position = idle.insert(idle.end(), id);
    connection->deadline = m_clock.now() + config::minHttpIdleTime;
    auto& inserted = *(m_connections[id] = std::move(connection));
    inserted.stream = std::make_unique<Stream>(m_loop, fd,
        Stream::Handlers { nullptr, [this, id](std::string_view bytes) { return receive(id, bytes); }, [this, id](StreamCloseReason) { drop(id); }, [this, id] { handleInputEnd(id); }, [this, id] { handleWritten(id); } });
    if (!isRefused)
        return;
    m_stats.refusedConnections++;
    LOG_EVERY_N(WARNING, 100) << "connection refused: the limit of " << m_maxConnections << " open connections is reached";
    // Fits into the empty send buffer of a new socket.
    auto response = encodeHead(overloadResponse(), "close");
    inserted.isKeptAlive = false;
    if (send(fd, response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0 || !inserted.stream->endOutput())
        return drop(id);
    enter(inserted, Stage::Lingering);
}

void HttpServer::enter(Connection& connection, Stage stage)
{
    auto& from = m_stages.at(static_cast<size_t>(connection.stage));
    auto& to = m_stages.at(static_cast<size_t>(stage));
    to.splice(to.end(), from, connection.position);
    connection.stage = stage;
    auto timeLimit = timeLimits.at(static_cast<size_t>(stage));
    if (timeLimit == Duration::zero())
        return;
    connection.deadline = m_clock.now() + timeLimit;
    if (stage != Stage::Idle && to.size() == 1)
        armTimer();
    if (stage == Stage::Lingering && to.size() > config::maxLingeringConnections)
        drop(to.front());
}

void HttpServer::armTimer()
{
    std::optional<TimePoint> earliest;
    for (auto stage : expiringStages) {
        const auto& waiting = m_stages.at(static_cast<size_t>(stage));
        if (waiting.empty())
            continue;
        auto deadline = m_connections.at(waiting.front())->deadline;
        earliest = std::min(earliest.value_or(deadline), deadline);
    }
    if (earliest)
        m_timer.armAt(*earliest, m_clock.now());
}

void HttpServer::handleTimer()
{
    auto now = m_clock.now();
    for (auto stage : expiringStages) {
        const auto& waiting = m_stages.at(static_cast<size_t>(stage));
        while (!waiting.empty() && m_connections.at(waiting.front())->deadline <= now)
            expire(waiting.front());
    }
    armTimer();
}

void HttpServer::expire(uint64_t id)
{
    auto& connection = *m_connections.at(id);
    if (connection.stage == Stage::Lingering)
        return drop(id);
    // The rest may have arrived while the loop was delayed.
    auto stage = connection.stage;
    connection.stream->readPendingInput();
    if (connection.stage != stage)
        return;
    m_stats.lateRequests++;
    refuse(id, { 408, {}, {} });
}

void HttpServer::reclaim(uint64_t id)
{
    auto& connection = *m_connections.at(id);
    bool isReceiving = connection.stage == Stage::Head || connection.stage == Stage::Body;
    bool isResponseUnread = connection.stage == Stage::Handling && connection.request == 0;
    if (!isReceiving && !isResponseUnread)
        return;
    m_stats.shedConnections++;
    LOG_EVERY_N(WARNING, 100) << "connection ended: incomplete requests and unread responses take more than their share of memory";
    if (isReceiving)
        refuse(id, overloadResponse());
    else
        drop(id);
}

bool HttpServer::handleAcceptFailure()
{
    m_stats.failedAccepts++;
    return evictIdle();
}

bool HttpServer::evictIdle()
{
    const auto& idle = m_stages[static_cast<size_t>(Stage::Idle)];
    auto now = m_clock.now();
    while (!idle.empty()) {
        auto id = idle.front();
        auto& connection = *m_connections.at(id);
        if (connection.deadline > now)
            return false;
        // Its next request may have arrived.
        connection.stream->readPendingInput();
        if (connection.stage != Stage::Idle)
            continue;
        drop(id);
        m_stats.evictedConnections++;
        return true;
    }
    return false;
}

void HttpServer::drop(uint64_t id)
{
    auto it = m_connections.find(id);
    if (it == m_connections.end())
        return;
    if (it->second->request != 0)
        m_stats.abandonedRequests++;
    m_stages.at(static_cast<size_t>(it->second->stage)).erase(it->second->position);
    m_connections.erase(it);
}

size_t HttpServer::openRequests() const
{
    return static_cast<size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto& it) { return it.second->isOpen(); }));
}

void HttpServer::endIdleConnections()
{
    std::vector<uint64_t> ids;
    for (const auto& [id, connection] : m_connections)
        ids.push_back(id);
    for (auto id : ids) {
        auto it = m_connections.find(id);
        if (it != m_connections.end())
            it->second->stream->readPendingInput();
        it = m_connections.find(id);
        if (it == m_connections.end() || it->second->isOpen() || !it->second->isKeptAlive)
            continue;
        auto& connection = *it->second;
        if (connection.parser.isInMessage()) {
            refuse(id, overloadResponse());
            continue;
        }
        connection.isKeptAlive = false;
        connection.hasEndedIdle = true;
        if (connection.stream->endOutput())
            enter(connection, Stage::Lingering);
        else
            connection.stream->closeAfterWrite();
    }
}

size_t HttpServer::receive(uint64_t id, std::string_view bytes)
{
    auto& connection = *m_connections.at(id);
    if (connection.hasEndedIdle && connection.discardedBytes == 0) {
        m_stats.abandonedRequests++;
        LOG(WARNING) << "a request arrived after its idle connection had been ended";
    }
    connection.unparsedBytes = bytes.size();
    if (connection.request != 0) {
        connection.stream->setReading(false);
        connection.memory.update(bytes.size());
        return 0;
    }
    if (!connection.isKeptAlive) {
        connection.discardedBytes += bytes.size();
        if (connection.discardedBytes > config::maxHttpDiscardedBytes) {
            connection.stream->setReading(false);
            connection.stream->closeAfterWrite();
        }
        return bytes.size();
    }
    auto used = connection.parser.feed(bytes);
    if (connection.parser.hasFailed()) {
        m_stats.malformedRequests++;
        refuse(id, { connection.parser.isTooLarge() ? 413 : 400, {}, {} });
        return bytes.size();
    }
    if (!connection.parser.hasMessage()) {
        auto stage = connection.parser.isInBody() ? Stage::Body : Stage::Head;
        if (connection.stage != stage && connection.parser.isInMessage()) {
            enter(connection, stage);
            if (stage == Stage::Body && connection.parser.expectsContinue())
                connection.stream->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        connection.memory.update(connection.parser.heldBytes() + connection.stream->unsentBytes());
        return used;
    }
    connection.memory.update(connection.stream->unsentBytes());
    connection.request = ++m_lastId;
    connection.unparsedBytes = bytes.size() - used;
    enter(connection, Stage::Handling);
    connection.isKeptAlive = connection.parser.shouldKeepAlive();
    auto respondToRequest = [this, id, request = connection.request, isAlive = m_isAlive](const HttpResponse& response) {
        if (*isAlive)
            respond(id, request, response);
    };
    connection.isVersion10 = connection.parser.isVersion10();
    auto httpRequest = connection.parser.takeRequest();
    connection.isHead = httpRequest.method == "HEAD";
    if (connection.isHead)
        httpRequest.method = "GET";
    m_handler(std::move(httpRequest), std::move(respondToRequest));
    return used;
}

void HttpServer::handleInputEnd(uint64_t id)
{
    // All bytes have been delivered, and those of a request in progress are delivered after its response, followed by this call.
    auto& connection = *m_connections.at(id);
    if (connection.request != 0)
        return;
    if (connection.isKeptAlive && connection.parser.isInMessage()) {
        m_stats.malformedRequests++;
        return refuse(id, { 400, {}, {} });
    }
    connection.isKeptAlive = false;
    connection.stream->closeAfterWrite();
}

void HttpServer::handleWritten(uint64_t id)
{
    auto& connection = *m_connections.at(id);
    if (connection.request != 0 || connection.stage != Stage::Handling)
        return;
    connection.memory.update(0);
    if (connection.isKeptAlive)
        return enter(connection, Stage::Idle);
    if (!connection.stream->endOutput())
        return connection.stream->closeAfterWrite();
    enter(connection, Stage::Lingering);
}

void HttpServer::refuse(uint64_t id, const HttpResponse& response)
{
    auto& connection = *m_connections.at(id);
    // Frees the part that has been received.
    connection.parser.takeRequest();
    connection.isHead = false;
    connection.request = ++m_lastId;
    connection.isKeptAlive = false;
    enter(connection, Stage::Handling);
    respond(id, connection.request, response);
}

void HttpServer::respond(uint64_t id, uint64_t request, const HttpResponse& response)
{
    auto it = m_connections.find(id);
    if (it == m_connections.end() || it->second->request != request)
        return;
    auto& connection = *it->second;
    connection.request = 0;
    connection.isKeptAlive = connection.isKeptAlive && (!m_isDraining || connection.unparsedBytes != 0);
    auto bytes = encodeHead(response, !connection.isKeptAlive ? "close" : (connection.isVersion10 ? "keep-alive" : ""));
    if (!connection.isHead)
        bytes += response.body;
    connection.stream->write(bytes);
    connection.memory.update(connection.stream->unsentBytes());
    connection.stream->setReading(true);
}

} // namespace vanillalift::net
