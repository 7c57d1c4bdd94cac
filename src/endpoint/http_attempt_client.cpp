#include "http_attempt_client_p.h"

#include "attempt_connection_p.h"

#include <charconv>

namespace vanillalift {

namespace {

    struct HostAndPort {
        std::string host;
        int port = 0;
    };

    std::optional<HostAndPort> parseAddress(std::string_view address)
    {
        auto colon = address.rfind(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        HostAndPort parsed { std::string(address.substr(0, colon)) };
        const auto* last = address.data() + address.size();
        auto [end, ec] = std::from_chars(address.data() + colon + 1, last, parsed.port);
        if (ec != std::errc {} || end != last || parsed.port < 1 || parsed.port > 65535)
            return std::nullopt;
        return parsed;
    }

} // namespace

HttpAttemptClient::HttpAttemptClient(const Clock& clock)
    : m_clock(clock)
{
}

HttpAttemptClient::~HttpAttemptClient() = default;

bool HttpAttemptClient::checkOut(const Key& key, int64_t maxConnections, ConnectionPtr& connection)
{
    std::lock_guard lock(m_mutex);
    auto& pool = m_pools[key];
    pool.maxConnections = maxConnections;
    if (maxConnections > 0 && pool.inUse >= maxConnections)
        return false;
    ++pool.inUse;
    if (!pool.idle.empty()) {
        connection = std::move(pool.idle.back());
        pool.idle.pop_back();
    }
    return true;
}

void HttpAttemptClient::checkIn(const Key& key, ConnectionPtr connection)
{
    // Declared before the lock, so that the connection is closed after the mutex is released.
    ConnectionPtr closing;
    std::lock_guard lock(m_mutex);
    auto it = m_pools.find(key);
    auto& pool = it->second;
    --pool.inUse;
    auto openCount = pool.inUse + static_cast<int64_t>(pool.idle.size());
    if (pool.isRemoved || (pool.maxConnections > 0 && openCount >= pool.maxConnections))
        closing = std::move(connection);
    else if (connection)
        pool.idle.push_back(std::move(connection));
    if (pool.inUse == 0 && pool.idle.empty())
        m_pools.erase(it);
}

void HttpAttemptClient::endpointRemoved(std::string_view address, uint64_t incarnation)
{
    // Declared before the lock, so that the connections are closed after the mutex is released.
    std::vector<ConnectionPtr> closing;
    std::lock_guard lock(m_mutex);
    auto it = m_pools.find({ std::string(address), incarnation });
    if (it == m_pools.end())
        return;
    closing.swap(it->second.idle);
    it->second.isRemoved = true;
    if (it->second.inUse == 0)
        m_pools.erase(it);
}

size_t HttpAttemptClient::idleConnections(std::string_view address) const
{
    std::lock_guard lock(m_mutex);
    size_t n = 0;
    for (auto it = m_pools.lower_bound({ std::string(address), 0 }); it != m_pools.end() && it->first.first == address; ++it)
        n += it->second.idle.size();
    return n;
}

AttemptResult HttpAttemptClient::send(const AttemptDesc& desc)
{
    auto address = parseAddress(desc.address);
    if (!address)
        return AttemptNotSent { "the endpoint's address is not of the form ip:port" };
    Key key { desc.address, desc.incarnation };
    ConnectionPtr connection;
    if (!checkOut(key, desc.maxConnections, connection))
        return AttemptNotSent { "all connections to the endpoint are in use" };
    if (!connection)
        connection = std::make_unique<AttemptConnection>(address->host, address->port, m_clock);
    auto exchange = connection->exchange(desc);
    if (exchange.isRetryable) {
        connection = std::make_unique<AttemptConnection>(address->host, address->port, m_clock);
        exchange = connection->exchange(desc);
    }
    if (!exchange.isReusable)
        connection.reset();
    checkIn(key, std::move(connection));
    return std::move(exchange.result);
}

} // namespace vanillalift
