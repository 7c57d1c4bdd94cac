#pragma once

#include <vanillalift/rpc.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace vanillalift {

/// Calls methods of other entries. Thread-safe; tests pass one that loses and reorders messages.
class PeerTransport {
public:
    virtual ~PeerTransport() = default;
    virtual RpcResult call(const std::string& peer, const std::string& method, const nlohmann::json& params, TimePoint deadline) = 0;
};

/// Calls over JSON-RPC.
class RpcPeerTransport final : public PeerTransport {
public:
    /// @param addresses "ip:port" by entry name.
    RpcPeerTransport(const std::map<std::string, std::string>& addresses, const std::string& token);
    RpcResult call(const std::string& peer, const std::string& method, const nlohmann::json& params, TimePoint deadline) override;

private:
    std::map<std::string, std::unique_ptr<RpcClient>> m_clients;
};

/// Threads and a bounded queue for the calls to one peer, so that a slow peer delays no call to the others.
class PeerChannel {
public:
    using Done = std::function<void(const RpcResult& result)>;

    /// @param threads most calls to the peer at once, which is also the most connections to it.
    PeerChannel(std::string peer, PeerTransport& transport, size_t threads, size_t maxQueuedCalls);
    /// Carries out the queued calls, each up to its deadline.
    ~PeerChannel();
    PeerChannel(const PeerChannel&) = delete;
    PeerChannel& operator=(const PeerChannel&) = delete;

    /// Queues a call; @p done runs on another thread, or at once with an error if the queue is full.
    void post(std::string method, nlohmann::json params, TimePoint deadline, Done done);

private:
    struct Job {
        std::string method;
        nlohmann::json params;
        TimePoint deadline;
        Done done;
    };
    void run();

    std::string m_peer;
    PeerTransport& m_transport;
    size_t m_maxQueuedCalls;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Job> m_queue;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace vanillalift
