#include "peer_channel_p.h"

namespace vanillalift {

RpcPeerTransport::RpcPeerTransport(const std::map<std::string, std::string>& addresses, const std::string& token)
{
    for (const auto& [name, address] : addresses)
        m_clients[name] = std::make_unique<RpcClient>(address, token);
}

RpcResult RpcPeerTransport::call(const std::string& peer, const std::string& method, const nlohmann::json& params, TimePoint deadline)
{
    auto it = m_clients.find(peer);
    if (it == m_clients.end())
        return tl::unexpected(RpcError { RpcErrorCode::NotConnected, "unknown peer entry" });
    return it->second->call(method, params, deadline);
}

PeerChannel::PeerChannel(std::string peer, PeerTransport& transport, size_t threadCount, size_t maxQueuedCalls)
    : m_peer(std::move(peer))
    , m_transport(transport)
    , m_maxQueuedCalls(maxQueuedCalls)
{
    m_threads.reserve(threadCount);
    for (size_t n = 0; n < threadCount; ++n)
        m_threads.emplace_back([this] { runCalls(); });
}

PeerChannel::~PeerChannel()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    for (auto& it : m_threads)
        it.join();
}

void PeerChannel::post(std::string method, nlohmann::json params, TimePoint deadline, Callback callback)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_queue.size() < m_maxQueuedCalls && !m_isStopping) {
            m_queue.push_back({ std::move(method), std::move(params), deadline, std::move(callback) });
            m_changed.notify_one();
            return;
        }
    }
    callback(tl::unexpected(RpcError { RpcErrorCode::NotConnected, "call queue is full for peer " + m_peer }));
}

void PeerChannel::runCalls()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_isStopping || !m_queue.empty(); });
        if (m_queue.empty())
            return;
        auto queued = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        if (BootClock::now() >= queued.deadline)
            queued.callback(tl::unexpected(RpcError { RpcErrorCode::NotConnected, "call deadline passed while queued" }));
        else
            queued.callback(m_transport.call(m_peer, queued.method, queued.params, queued.deadline));
        lock.lock();
    }
}

} // namespace vanillalift
