#include "http_p.h"

#include <vanillalift/config.h>

#include <glog/logging.h>

#include <algorithm>

namespace vanillalift::net {

struct HttpServer::Connection {
    HttpParser parser;
    std::unique_ptr<Stream> stream;
    /// Number of the request in progress, 0 for none.
    uint64_t request = 0;
    bool isKeptAlive = true;
    /// Whether the output was ended while no request was in progress.
    bool hasEndedIdle = false;
    /// Bytes read after the request in progress.
    size_t unparsedBytes = 0;
    size_t discardedBytes = 0;
    Stage stage = Stage::Idle;
    /// End of the stage; when idle, the time from which the connection may be closed in favour of another one.
    TimePoint deadline {};
    /// In the list of the stage.
    std::list<uint64_t>::iterator position {};

    [[nodiscard]] bool isOpen() const { return request != 0 || stream->unsentBytes() != 0 || (isKeptAlive && stream->unreadBytes() != 0); }
};

HttpServer::HttpServer(EventLoop& loop, const Clock& clock, const Address& address, size_t maxBodyBytes, size_t maxConnections, Handler handler)
    : m_loop(loop)
    , m_clock(clock)
    , m_maxBodyBytes(maxBodyBytes)
    , m_maxConnections(maxConnections)
    , m_handler(std::move(handler))
    , m_timer(loop, [this] { handleTimer(); })
    , m_listener(loop, address, [this](evutil_socket_t fd) { accept(fd); })
{
}

HttpServer::~HttpServer() { *m_isAlive = false; }

void HttpServer::accept(evutil_socket_t fd)
{
    if (m_connections.size() >= m_maxConnections) {
        evutil_closesocket(fd);
        m_stats.refusedConnections++;
        LOG_EVERY_N(WARNING, 100) << "connection refused: the limit of " << m_connections.size() << " open connections is reached";
        return;
    }
    auto id = ++m_lastId;
    auto connection = std::make_unique<Connection>(Connection { HttpParser(HttpParser::Kind::Request, { config::maxHttpHeadBytes, m_maxBodyBytes }), nullptr });
    auto& idle = m_stages[static_cast<size_t>(Stage::Idle)];
    connection->position = idle.insert(idle.end(), id);
    auto& inserted = *(m_connections[id] = std::move(connection));
    inserted.stream = std::make_unique<Stream>(m_loop, fd,
        Stream::Handlers { nullptr, [this, id](std::string_view bytes) { return receive(id, bytes); }, [this, id](StreamCloseReason) { drop(id); }, [this, id] { handleInputEnd(id); }, [this, id] { handleWritten(id); } });
}

void HttpServer::enter(Connection& connection, Stage stage)
{
    auto& from = m_stages.at(static_cast<size_t>(connection.stage));
    auto& to = m_stages.at(static_cast<size_t>(stage));
    to.splice(to.end(), from, connection.position);
    connection.stage = stage;
    if (stage != Stage::Lingering)
        return;
    connection.deadline = m_clock.now() + config::httpLingerTimeout;
    if (to.size() == 1)
        armTimer();
}

void HttpServer::armTimer()
{
    const auto& lingering = m_stages[static_cast<size_t>(Stage::Lingering)];
    if (lingering.empty())
        return;
    m_timer.armAt(m_connections.at(lingering.front())->deadline, m_clock.now());
}

void HttpServer::handleTimer()
{
    const auto& lingering = m_stages[static_cast<size_t>(Stage::Lingering)];
    auto now = m_clock.now();
    while (!lingering.empty() && m_connections.at(lingering.front())->deadline <= now)
        drop(lingering.front());
    armTimer();
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
        connection.isKeptAlive = false;
        if (connection.parser.isInMessage()) {
            connection.request = ++m_lastId;
            enter(connection, Stage::Handling);
            respond(id, connection.request, { 503, { { "Retry-After", "1" } }, {} });
            continue;
        }
        connection.hasEndedIdle = true;
        handleWritten(id);
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
        refuse(id, connection.parser.isTooLarge() ? 413 : 400);
        return bytes.size();
    }
    if (!connection.parser.hasMessage())
        return used;
    connection.request = ++m_lastId;
    connection.unparsedBytes = bytes.size() - used;
    enter(connection, Stage::Handling);
    connection.isKeptAlive = connection.parser.shouldKeepAlive();
    auto respondToRequest = [this, id, request = connection.request, isAlive = m_isAlive](const HttpResponse& response) {
        if (*isAlive)
            respond(id, request, response);
    };
    m_handler(connection.parser.takeRequest(), std::move(respondToRequest));
    return used;
}

void HttpServer::handleInputEnd(uint64_t id)
{
    // All bytes have been delivered, and those of a request in progress are delivered after its response, followed by this call.
    auto& connection = *m_connections.at(id);
    if (connection.request != 0)
        return;
    if (connection.isKeptAlive && connection.parser.isInMessage())
        return refuse(id, 400);
    connection.isKeptAlive = false;
    connection.stream->closeAfterWrite();
}

void HttpServer::handleWritten(uint64_t id)
{
    auto& connection = *m_connections.at(id);
    if (connection.isKeptAlive || connection.request != 0 || connection.stage == Stage::Lingering)
        return;
    if (!connection.stream->endOutput())
        return connection.stream->closeAfterWrite();
    enter(connection, Stage::Lingering);
}

void HttpServer::refuse(uint64_t id, int status)
{
    auto& connection = *m_connections.at(id);
    m_stats.malformedRequests++;
    connection.request = ++m_lastId;
    connection.isKeptAlive = false;
    enter(connection, Stage::Handling);
    respond(id, connection.request, { status, {}, {} });
}

void HttpServer::respond(uint64_t id, uint64_t request, const HttpResponse& response)
{
    auto it = m_connections.find(id);
    if (it == m_connections.end() || it->second->request != request)
        return;
    auto& connection = *it->second;
    connection.request = 0;
    connection.isKeptAlive = connection.isKeptAlive && (!m_isDraining || connection.unparsedBytes != 0);
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + ' ' + http_status_str(static_cast<http_status>(response.status)) + "\r\n";
    for (const auto& header : response.headers)
        head += header.name + ": " + header.value + "\r\n";
    head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (!connection.isKeptAlive)
        head += "Connection: close\r\n";
    head += "\r\n";
    connection.stream->write(head + response.body);
    if (connection.isKeptAlive)
        enter(connection, Stage::Idle);
    connection.stream->setReading(true);
}

} // namespace vanillalift::net
