#include "kept_clients.h"

#include <utility>

namespace vanillalift::soak {

using std::chrono::milliseconds;

namespace {

    /// Longer than a gateway may take for an answer.
    constexpr milliseconds answerLimit { 5000 };
    constexpr milliseconds requestInterval { 25 };
    constexpr milliseconds reconnectInterval { 200 };

} // namespace

KeptClients::KeptClients(net::EventLoop& loop, const Clock& clock, std::function<std::optional<TimePoint>(const std::string&)> stopAskedAt, std::function<void(const std::string&)> onCut)
    : m_loop(loop)
    , m_clock(clock)
    , m_stopAskedAt(std::move(stopAskedAt))
    , m_onCut(std::move(onCut))
{
}

void KeptClients::add(const std::string& process, const net::Address& address, const net::HttpRequest& request, size_t count)
{
    for (size_t n = 0; n < count; n++)
        m_clients.push_back(std::make_unique<Client>(Client { process, request, std::make_unique<net::HttpChannel>(m_loop, m_clock, address), {} }));
}

void KeptClients::poll()
{
    auto now = m_clock.now();
    for (auto& it : m_clients) {
        if (now >= it->nextAt && it->channel->pending() == 0)
            send(*it);
    }
}

void KeptClients::hurry(const std::string& process, TimePoint until)
{
    m_hurryUntil[process] = until;
    for (auto& it : m_clients) {
        if (it->process == process && it->channel->pending() == 0 && it->channel->hasReceivedResponse())
            send(*it);
    }
}

void KeptClients::send(Client& client)
{
    bool isKept = client.channel->hasReceivedResponse();
    client.channel->send(client.request, m_clock.now() + answerLimit, [this, &client, isKept](const net::HttpResult& result) { finish(client, isKept, result); });
}

void KeptClients::finish(Client& client, bool isKept, const net::HttpResult& result)
{
    const auto* failure = std::get_if<net::HttpFailure>(&result);
    client.nextAt = m_clock.now() + (failure ? reconnectInterval : requestInterval);
    m_answered += failure ? 0 : 1;
    if (!failure && m_clock.now() < m_hurryUntil[client.process])
        return send(client);
    if (!failure || *failure != net::HttpFailure::Unknown || !isKept)
        return;
    auto stopAskedAt = m_stopAskedAt(client.process);
    if (!stopAskedAt)
        return;
    m_cut++;
    if (std::exchange(m_cutStops[client.process], *stopAskedAt) != *stopAskedAt)
        m_onCut(client.process);
}

} // namespace vanillalift::soak
