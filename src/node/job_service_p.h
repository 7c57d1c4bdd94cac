#pragma once

#include "command_batcher_p.h"
#include "jobs/dispatcher_p.h"
#include "messages_p.h"

#include <vanillalift/clock.h>
#include <vanillalift/features.h>

#include <functional>
#include <map>

namespace vanillalift::node {

/// Handles requests on the leader. Exists for one term of its leadership.
class JobService {
public:
    using Respond = std::function<void(Reply)>;

    struct Desc {
        /// Whether this controller had contact with a majority recently enough to act as the leader.
        std::function<bool()> hasLeaderAuthority;
        /// Whether no other controller can have been elected: what is unknown here then exists nowhere.
        std::function<bool()> isSoleLeader;
        std::function<void(const JoinRequest&)> handleJoin;
        Features features;
        /// The zones of the settings: others are known by what runs there.
        std::vector<std::string> availabilityZones {};
    };

    JobService(Desc desc, jobs::JobStore& store, jobs::Dispatcher& dispatcher, CommandBatcher& batcher, const Clock& clock, EventLog& log);
    ~JobService();

    void handle(Request request, Respond respond);

private:
    void handle(ClientRequest& request, const Respond& respond);
    void handle(HeartbeatRequest& request, const Respond& respond);
    void handle(DeregisterRequest& request, const Respond& respond);
    void handle(PutCatalogRequest& request, const Respond& respond);
    void handle(ReadCatalogRequest& request, const Respond& respond);
    void handle(PutWaveRequest& request, const Respond& respond);
    void handle(ReadWaveRequest& request, const Respond& respond);
    void handle(JoinRequest& request, const Respond& respond);
    void handle(EvacuationRequest& request, const Respond& respond);
    void handle(ReadEvacuationsRequest& request, const Respond& respond);

    /// Counts the job against its workspace's agreed rate.
    /// @returns whether it exceeds the rate.
    bool countJob(const jobs::JobSpec& job, const std::string& workspace, int64_t atMs);
    void submit(ClientRequest& request, const jobs::Queue& queue, const std::string& id, const std::string& workspace, const Respond& respond);
    void read(const jobs::Queue& queue, const std::string& id, const Respond& respond);
    void cancel(const std::string& id, const Respond& respond);
    void propose(const jobs::Command& command, const Respond& respond);
    [[nodiscard]] bool isZoneKnown(const std::string& zone) const;
    /// Reports something as unknown; if a newer leader may know it, asks the sender to try again there.
    void respondUnknown(ReplyStatus status, const Respond& respond) const;

    /// A proposed order to evacuate a zone or to give it back, with the callbacks of all requests for it.
    struct PendingEvacuation {
        uint64_t number = 0;
        bool isEvacuated = false;
        std::vector<Respond> callbacks;
    };

    Desc m_desc;
    jobs::JobStore& m_store;
    jobs::Dispatcher& m_dispatcher;
    CommandBatcher& m_batcher;
    const Clock& m_clock;
    EventLog& m_log;
    /// Submissions whose commit is pending, by job id, with the callbacks of all requests that submitted the job.
    std::map<std::string, std::vector<Respond>> m_pendingSubmissions;
    /// Includes jobs whose commit is pending.
    jobs::AgreedRate m_agreedRate;
    /// By zone, the newest order last.
    std::map<std::string, std::vector<PendingEvacuation>> m_pendingEvacuations;
    uint64_t m_lastEvacuationNumber = 0;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace vanillalift::node
