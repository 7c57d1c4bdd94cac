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
        return tl::unexpected(RpcError { RpcErrorCode::NotConnected, "no such entry" });
    return it->second->call(method, params, deadline);
}

PeerChannel::PeerChannel(std::string peer, PeerTransport& transport, size_t threads, size_t maxQueuedCalls)
    : m_peer(std::move(peer))
    , m_transport(transport)
    , m_maxQueuedCalls(maxQueuedCalls)
{
    m_threads.reserve(threads);
    for (size_t n = 0; n < threads; ++n)
        m_threads.emplace_back([this] { run(); });
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

void PeerChannel::post(std::string method, nlohmann::json params, TimePoint deadline, Done done)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_queue.size() < m_maxQueuedCalls && !m_isStopping) {
            m_queue.push_back({ std::move(method), std::move(params), deadline, std::move(done) });
            m_changed.notify_one();
            return;
        }
    }
    done(tl::unexpected(RpcError { RpcErrorCode::NotConnected, "too many calls are queued for " + m_peer }));
}

void PeerChannel::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_isStopping || !m_queue.empty(); });
        if (m_queue.empty())
            return;
        auto job = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        if (BootClock::now() >= job.deadline)
            job.done(tl::unexpected(RpcError { RpcErrorCode::NotConnected, "the deadline passed in the queue" }));
        else
            job.done(m_transport.call(m_peer, job.method, job.params, job.deadline));
        lock.lock();
    }
}

} // namespace vanillalift
