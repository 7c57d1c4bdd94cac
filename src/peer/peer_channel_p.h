#pragma once

#include <vanillalift/rpc.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace vanillalift {

/// Calls methods of other entries. Thread-safe. Tests substitute one that loses and reorders messages.
class PeerTransport {
public:
    virtual ~PeerTransport() = default;
    virtual RpcResult call(const std::string& peer, const std::string& method, const nlohmann::json& params, TimePoint deadline) = 0;
};

/// Makes the calls over JSON-RPC.
class RpcPeerTransport final : public PeerTransport {
public:
    /// @param addresses "ip:port" by entry name.
    RpcPeerTransport(const std::map<std::string, std::string>& addresses, const std::string& token);
    RpcResult call(const std::string& peer, const std::string& method, const nlohmann::json& params, TimePoint deadline) override;

private:
    std::map<std::string, std::unique_ptr<RpcClient>> m_clients;
};

/// A bounded queue and threads for the calls to one peer, so that a slow peer does not delay calls to other peers.
class PeerChannel {
public:
    using Callback = std::function<void(const RpcResult& result)>;

    /// @param threadCount maximum number of concurrent calls to the peer, which also bounds the connections to it.
    PeerChannel(std::string peer, PeerTransport& transport, size_t threadCount, size_t maxQueuedCalls);
    /// Completes the queued calls, each up to its deadline, and joins the threads.
    ~PeerChannel();
    PeerChannel(const PeerChannel&) = delete;
    PeerChannel& operator=(const PeerChannel&) = delete;

    /// Queues a call. @p callback runs on another thread, or immediately with an error if the queue is full.
    void post(std::string method, nlohmann::json params, TimePoint deadline, Callback callback);

private:
    struct QueuedCall {
        std::string method;
        nlohmann::json params;
        TimePoint deadline;
        Callback callback;
    };
    void runCalls();

    std::string m_peer;
    PeerTransport& m_transport;
    size_t m_maxQueuedCalls;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<QueuedCall> m_queue;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace vanillalift
