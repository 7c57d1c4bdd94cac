#include "http_p.h"

#include <vanillalift/config.h>

#include <algorithm>
#include <utility>

namespace vanillalift::net {

ConnectionBudget::ConnectionBudget(EventLoop& loop, const Clock& clock, size_t limit)
    : m_clock(clock)
    , m_limit(limit)
    , m_timer(loop, [this] { serveWaiting(); })
{
}

bool ConnectionBudget::acquire(HttpChannel& channel)
{
    if (m_open >= m_limit && !m_idle.empty())
        m_idle.front()->closeIdle();
    if (m_open >= m_limit) {
        if (std::find(m_waiting.begin(), m_waiting.end(), &channel) == m_waiting.end())
            m_waiting.push_back(&channel);
        return false;
    }
    m_open++;
    return true;
}

void ConnectionBudget::release(HttpChannel& channel)
{
    m_open--;
    removeIdle(channel);
    wakeWaiting();
}

void ConnectionBudget::addIdle(HttpChannel& channel)
{
    removeIdle(channel);
    m_idlePositions[&channel] = m_idle.insert(m_idle.end(), &channel);
    wakeWaiting();
}

void ConnectionBudget::removeIdle(HttpChannel& channel)
{
    auto position = m_idlePositions.extract(&channel);
    if (!position.empty())
        m_idle.erase(position.mapped());
}

void ConnectionBudget::remove(HttpChannel& channel)
{
    removeIdle(channel);
    m_waiting.remove(&channel);
}

void ConnectionBudget::wakeWaiting()
{
    // Not served at once: the caller may be in the middle of a callback of its stream.
    auto now = m_clock.now();
    if (!m_waiting.empty())
        m_timer.armAt(now, now);
}

void ConnectionBudget::serveWaiting()
{
    // A channel that finds no connection again is appended once more.
    for (auto count = m_waiting.size(); count > 0 && !m_waiting.empty() && (m_open < m_limit || !m_idle.empty()); count--) {
        auto* channel = m_waiting.front();
        m_waiting.pop_front();
        channel->startNext();
    }
}

HttpChannel::HttpChannel(EventLoop& loop, const Clock& clock, const Address& address, CallStats* stats, ConnectionBudget* budget)
    : m_loop(loop)
    , m_clock(clock)
    , m_address(address)
    , m_stats(stats)
    , m_budget(budget)
    , m_parser(HttpParser::Kind::Response, { config::maxHttpHeadBytes, config::maxHttpBodyBytes })
    , m_timer(loop, [this] { handleTimer(); })
{
}

HttpChannel::~HttpChannel()
{
    *m_isAlive = false;
    if (!m_budget)
        return;
    m_budget->remove(*this);
    if (m_stream)
        m_budget->release(*this);
}

void HttpChannel::send(HttpRequest request, TimePoint sendDeadline, TimePoint deadline, Handler handler)
{
    std::string head = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const auto& it : request.headers)
        head += it.name + ": " + it.value + "\r\n";
    head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
    m_queue.push_back({ std::move(head), std::move(request.body), std::min(sendDeadline, deadline), deadline, std::move(handler) });
    armTimer();
    startNext();
}

void HttpChannel::closeStream()
{
    if (m_stream)
        m_stream->abort();
    if (m_stream && m_budget)
        m_budget->release(*this);
    m_closedStream = std::move(m_stream);
}

void HttpChannel::closeIdle()
{
    // No callback of this stream is running, so its descriptor can be freed at once.
    closeStream();
    m_closedStream.reset();
}

void HttpChannel::armTimer()
{
    if (m_queue.empty())
        return m_timer.disarm();
    auto earliest = m_isInFlight ? m_queue.front().deadline : m_queue.front().sendDeadline;
    for (size_t n = 1; n < m_queue.size(); n++)
        earliest = std::min(earliest, m_queue[n].sendDeadline);
    m_timer.armAt(earliest, m_clock.now());
}

void HttpChannel::startNext()
{
    if (m_queue.empty() || m_isInFlight)
        return;
    // The timer fails expired requests as not sent.
    if (m_queue.front().sendDeadline <= m_clock.now())
        return;
    if (m_stream) {
        if (m_stream->isConnected())
            writeNextRequest();
        return;
    }
    if (m_budget && !m_budget->acquire(*this))
        return;
    m_connectionCount++;
    if (m_stats)
        m_stats->connects++;
    m_hasReceivedResponse = false;
    m_parser = HttpParser(HttpParser::Kind::Response, { config::maxHttpHeadBytes, config::maxHttpBodyBytes });
    m_stream = std::make_unique<Stream>(m_loop, m_address,
        Stream::Handlers { [this] { startNext(); }, [this](std::string_view bytes) { return receive(bytes); }, [this](StreamCloseReason reason) { handleClosed(reason); } });
}

void HttpChannel::writeNextRequest()
{
    m_isInFlight = true;
    if (m_budget)
        m_budget->removeIdle(*this);
    auto& item = m_queue.front();
    m_stream->write(item.head + item.body);
    item.head.clear();
    item.body.clear();
    armTimer();
}

size_t HttpChannel::receive(std::string_view bytes)
{
    if (!m_isInFlight) {
        // Data without a request in flight is a protocol violation by the peer.
        closeStream();
        return 0;
    }
    auto used = m_parser.feed(bytes);
    if (m_parser.hasFailed()) {
        closeStream();
        fail(HttpFailure::Unknown);
        return 0;
    }
    if (!m_parser.hasMessage())
        return used;
    m_hasReceivedResponse = true;
    if (m_stats)
        m_stats->answered++;
    if (!m_parser.shouldKeepAlive())
        closeStream();
    finish(m_parser.takeResponse());
    return used;
}

void HttpChannel::finish(HttpResult result)
{
    m_isInFlight = false;
    auto item = std::move(m_queue.front());
    m_queue.pop_front();
    auto isAlive = m_isAlive;
    item.handler(std::move(result));
    if (!*isAlive)
        return;
    armTimer();
    startNext();
    if (m_budget && m_queue.empty() && m_stream)
        m_budget->addIdle(*this);
}

void HttpChannel::fail(HttpFailure failure) { finish(failure); }

void HttpChannel::handleClosed(StreamCloseReason reason)
{
    closeStream();
    if (m_isInFlight) {
        if (reason == StreamCloseReason::Closed)
            m_parser.feedEnd();
        if (!m_parser.hasMessage())
            return fail(HttpFailure::Unknown);
        if (m_stats)
            m_stats->answered++;
        return finish(m_parser.takeResponse());
    }
    if (m_queue.empty() || reason == StreamCloseReason::Closed)
        return startNext();
    // The connection was never established, so no queued request has been sent.
    auto failure = reason == StreamCloseReason::Refused ? HttpFailure::Refused : HttpFailure::NotSent;
    auto unsent = std::exchange(m_queue, {});
    m_timer.disarm();
    auto isAlive = m_isAlive;
    for (auto& it : unsent) {
        it.handler(failure);
        if (!*isAlive)
            return;
    }
}

void HttpChannel::countExpired(Duration delay)
{
    if (!m_stats)
        return;
    m_stats->expired++;
    if (delay >= config::lateTickThreshold)
        m_stats->expiredLate++;
}

void HttpChannel::handleTimer()
{
    auto now = m_clock.now();
    auto isAlive = m_isAlive;
    auto isExpired = [&] { return m_isInFlight && m_queue.front().deadline <= now; };
    if (isExpired())
        m_stream->readPendingInput();
    if (!*isAlive)
        return;
    if (isExpired()) {
        countExpired(now - m_queue.front().deadline);
        closeStream();
        fail(HttpFailure::Unknown);
        if (!*isAlive)
            return;
    }
    // If connecting took until the first request's deadline, gives up the attempt; the next request opens a new connection.
    if (m_stream && !m_stream->isConnected() && !m_queue.empty() && m_queue.front().sendDeadline <= now)
        closeStream();
    for (size_t n = m_isInFlight ? 1 : 0; n < m_queue.size();) {
        if (m_queue[n].sendDeadline > now) {
            n++;
            continue;
        }
        countExpired(now - m_queue[n].sendDeadline);
        auto handler = std::move(m_queue[n].handler);
        m_queue.erase(m_queue.begin() + static_cast<std::ptrdiff_t>(n));
        handler(HttpFailure::NotSent);
        if (!*isAlive)
            return;
    }
    if (m_queue.empty() && m_stream && !m_stream->isConnected())
        closeStream();
    armTimer();
    startNext();
}

HttpChannelPool::HttpChannelPool(EventLoop& loop, const Clock& clock, const Address& address, size_t maxChannels, CallStats* stats, ConnectionBudget* budget)
    : m_loop(loop)
    , m_clock(clock)
    , m_address(address)
    , m_maxChannels(maxChannels)
    , m_stats(stats)
    , m_budget(budget)
{
}

void HttpChannelPool::send(HttpRequest request, TimePoint sendDeadline, TimePoint deadline, HttpChannel::Handler handler)
{
    leastLoaded().send(std::move(request), sendDeadline, deadline, std::move(handler));
}

HttpChannel& HttpChannelPool::leastLoaded()
{
    auto it = std::min_element(m_channels.begin(), m_channels.end(), [](const auto& left, const auto& right) { return left->pending() < right->pending(); });
    if (it != m_channels.end() && ((*it)->pending() == 0 || m_channels.size() >= m_maxChannels))
        return **it;
    m_channels.push_back(std::make_unique<HttpChannel>(m_loop, m_clock, m_address, m_stats, m_budget));
    return *m_channels.back();
}

} // namespace vanillalift::net
