#pragma once

#include "raft_types_p.h"

#include <vanillalift/rpc.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace vanillalift::raft {

constexpr const char* replicaMethod = "replica";

/// Wraps messages for the JSON-RPC method, base64 over CBOR since JSON strings cannot hold arbitrary bytes.
nlohmann::json toRpcParams(const std::vector<Message>& messages);
std::optional<std::vector<Message>> fromRpcParams(const nlohmann::json& params);

/// Sends messages to one peer on a separate thread, so that a slow or unreachable peer does not delay the others. Messages
/// that do not arrive are lost, which Raft tolerates.
class PeerSender {
public:
    PeerSender(std::string address, std::string token, Duration callTimeout);
    ~PeerSender();
    PeerSender(const PeerSender&) = delete;
    PeerSender& operator=(const PeerSender&) = delete;

    /// Never blocks; drops the oldest message if the queue is full.
    void send(Message message);

private:
    void run();

    RpcClient m_client;
    Duration m_callTimeout;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<Message> m_queue;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace vanillalift::raft
