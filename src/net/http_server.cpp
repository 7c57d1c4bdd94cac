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

    [[nodiscard]] bool isOpen() const { return request != 0 || stream->unsentBytes() != 0 || (isKeptAlive && stream->unreadBytes() != 0); }
};

HttpServer::HttpServer(EventLoop& loop, const Address& address, size_t maxBodyBytes, size_t maxConnections, Handler handler, Duration listenRetryInterval)
    : m_loop(loop)
    , m_maxBodyBytes(maxBodyBytes)
    , m_maxConnections(maxConnections)
    , m_handler(std::move(handler))
    , m_listener(
          loop, address, [this](evutil_socket_t fd) { accept(fd); }, listenRetryInterval)
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
    auto& inserted = *(m_connections[id] = std::move(connection));
    inserted.stream = std::make_unique<Stream>(m_loop, fd,
        Stream::Handlers { nullptr, [this, id](std::string_view bytes) { return receive(id, bytes); }, [this, id](StreamCloseReason) { drop(id); } });
}

void HttpServer::drop(uint64_t id)
{
    auto it = m_connections.find(id);
    if (it == m_connections.end())
        return;
    if (it->second->request != 0)
        m_stats.abandonedRequests++;
    m_connections.erase(it);
}

size_t HttpServer::openRequests() const
{
    return static_cast<size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto& it) { return it.second->isOpen(); }));
}

size_t HttpServer::receive(uint64_t id, std::string_view bytes)
{
    auto& connection = *m_connections.at(id);
    if (connection.request != 0 || !connection.isKeptAlive) {
        connection.stream->setReading(false);
        return 0;
    }
    auto used = connection.parser.feed(bytes);
    if (connection.parser.hasFailed()) {
        m_stats.malformedRequests++;
        connection.request = ++m_lastId;
        connection.isKeptAlive = false;
        HttpResponse response { connection.parser.isTooLarge() ? 413 : 400, {}, {} };
        respond(id, connection.request, response);
        return bytes.size();
    }
    if (!connection.parser.hasMessage())
        return used;
    connection.request = ++m_lastId;
    connection.isKeptAlive = connection.parser.shouldKeepAlive();
    auto respondToRequest = [this, id, request = connection.request, isAlive = m_isAlive](const HttpResponse& response) {
        if (*isAlive)
            respond(id, request, response);
    };
    m_handler(connection.parser.takeRequest(), std::move(respondToRequest));
    return used;
}

void HttpServer::respond(uint64_t id, uint64_t request, const HttpResponse& response)
{
    auto it = m_connections.find(id);
    if (it == m_connections.end() || it->second->request != request)
        return;
    auto& connection = *it->second;
    connection.request = 0;
    connection.isKeptAlive = connection.isKeptAlive && !m_isDraining;
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + ' ' + http_status_str(static_cast<http_status>(response.status)) + "\r\n";
    for (const auto& header : response.headers)
        head += header.name + ": " + header.value + "\r\n";
    head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (!connection.isKeptAlive)
        head += "Connection: close\r\n";
    head += "\r\n";
    connection.stream->write(head + response.body);
    if (!connection.isKeptAlive)
        connection.stream->closeAfterWrite();
    else
        connection.stream->setReading(true);
}

} // namespace vanillalift::net
