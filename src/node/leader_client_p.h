#pragma once

#include "messages_p.h"
#include "net/frame_link_p.h"

#include <functional>
#include <map>
#include <set>

namespace vanillalift {
class EventLog;
}

namespace vanillalift::node {

/// Maintains links to all known controllers, tracks which of them is the leader, and forwards requests to it. A request is
/// sent again after a change of leader, so all requests are idempotent.
class LeaderClient {
public:
    static constexpr std::chrono::milliseconds tickInterval { 25 };

    struct Outcome {
        /// Empty if no reply was received by the deadline.
        std::optional<Reply> reply;
        /// Whether a controller may have executed the request.
        bool wasSent = false;
    };
    using Handler = std::function<void(Outcome)>;

    struct Desc {
        Hello hello;
        /// Addresses of the controllers to connect to at the start.
        std::vector<std::string> seeds;
        /// Handles requests in this process while it is the leader; nullptr for a gateway.
        std::function<void(Request, std::function<void(Reply)>)> localHandler;
    };

    LeaderClient(net::EventLoop& loop, const Clock& clock, EventLog& log, Desc desc);
    ~LeaderClient();

    /// @param sendDeadline time at which the request is abandoned if it was not sent to any controller. It is abandoned earlier once there
    /// has been no leader for config::leaderWaitTimeout.
    /// @param deadline time at which the request is abandoned if no reply was received.
    void call(Request request, TimePoint sendDeadline, TimePoint deadline, Handler handler);
    /// Completes all pending requests without a reply, and each later one at once.
    void close();
    /// Adds addresses to connect to.
    void addSeeds(const std::vector<std::string>& seeds);
    /// Sets whether this process is the leader.
    void setLocalLeader(bool isLeader, uint64_t term);
    /// Sends a message to a controller.
    /// @returns false if there is no connection to it, or its backlog is full.
    bool send(const std::string& name, const Message& message);
    /// Connects to a controller, and reconnects whenever the link is lost.
    void maintainLink(const std::string& name);
    /// @returns whether there is a link to the controller on which it reports its status.
    [[nodiscard]] bool isLinked(const std::string& name) const;
    /// @returns whether the controller can take over from one that ends: it is linked and not about to end itself.
    [[nodiscard]] bool isStaying(const std::string& name) const;
    [[nodiscard]] bool hasLeader() const { return m_isLocalLeader || !m_leader.empty(); }
    [[nodiscard]] const std::string& leader() const { return m_leader; }
    /// @returns the term of the last known leader.
    [[nodiscard]] uint64_t leaderTerm() const { return m_leaderTerm; }
    [[nodiscard]] size_t pendingCalls() const { return m_calls.size(); }

private:
    struct Peer {
        std::unique_ptr<net::FrameLink> link;
        TimePoint lastContactAt;
        TimePoint retryAt;
        ControllerStatus status;
        bool shouldConnect = false;
    };
    struct PendingCall {
        Request request;
        TimePoint sendDeadline;
        TimePoint deadline;
        Handler handler;
        /// Controller to which the request was sent last, and its term; empty if it has to be sent again.
        std::string sentTo;
        uint64_t sentInTerm = 0;
        /// Sends after which a controller may have executed the request.
        uint32_t openSends = 0;
    };

    void tick();
    /// Delivers the frames that arrived while the event loop was delayed, before their links and calls time out.
    void readOverdueLinks(TimePoint now);
    void connect(const std::string& name, Peer& peer);
    void closeLink(const std::string& name, const char* reason);
    void receive(const std::string& name, std::string_view frame);
    void receiveStatus(const std::string& name, const ControllerStatus& status);
    void receiveReply(const std::string& name, const CallReply& callReply);
    void updateLeader();
    void clearLeader();
    void sendPendingCalls();
    void sendCall(uint64_t id, PendingCall& call);
    void completeCall(uint64_t id, Outcome outcome);

    net::EventLoop& m_loop;
    const Clock& m_clock;
    EventLog& m_log;
    Desc m_desc;
    std::map<std::string, Peer> m_peers;
    std::vector<std::unique_ptr<net::FrameLink>> m_closedLinks;
    std::map<uint64_t, PendingCall> m_calls;
    uint64_t m_lastCallId = 0;
    std::string m_leader;
    uint64_t m_leaderTerm = 0;
    /// When the last leader was lost, or this object was created.
    TimePoint m_leaderLostAt;
    bool m_isLocalLeader = false;
    bool m_isClosed = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    net::Timer m_timer;
};

} // namespace vanillalift::node
