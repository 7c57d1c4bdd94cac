#pragma once

#include <vanillalift/follow.h>
#include <vanillalift/rpc.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace vanillalift {

struct ControlFollowerDesc {
    EntryId entry;
    std::string zone;
    /// Addresses of the control replicas' RPC servers, "ip:port".
    std::vector<std::string> replicas;
    std::string token;
};

struct ControlFollowerStats {
    uint64_t polls = 0;
    uint64_t failedPolls = 0;
    uint64_t revision = 0;
    bool isLeaseValid = false;
};

/// Polls the control replicas on its own thread and provides the newest configuration, lease and limit parts. An entry serves
/// nothing before the first successful poll.
class ControlFollower final : public Authority {
public:
    ControlFollower(ControlFollowerDesc desc, const Clock& clock);
    ~ControlFollower() override;
    ControlFollower(const ControlFollower&) = delete;
    ControlFollower& operator=(const ControlFollower&) = delete;

    /// @param use read before a poll that reports usage. @param listener notified of changes. Both must outlive the thread.
    void start(const TeamUsageSource& use, AuthorityListener& listener);
    void stop();

    [[nodiscard]] CatalogPtr catalog() const override;
    [[nodiscard]] TimePoint leaseEnd() const override;
    [[nodiscard]] int64_t limitPart(std::string_view team, TimePoint now) const override;

    [[nodiscard]] ControlFollowerStats stats() const;

    /// Applies the response to a poll that was sent at @p sentAt; the lease counts from then. Public for tests.
    /// @returns whether the listener must be notified.
    bool applyResponse(const FollowResponse& response, TimePoint sentAt);
    /// @returns the next poll to send.
    FollowRequest nextRequest(const TeamUsageSource& use, TimePoint now);

private:
    void run(const TeamUsageSource& use, AuthorityListener& listener);
    /// Sends one poll and applies the response. After a failure, the next poll goes to the next replica.
    /// @returns whether the listener must be notified.
    bool pollOnce(const TeamUsageSource& use);
    void logLeaseChange(TimePoint now);

    ControlFollowerDesc m_desc;
    const Clock& m_clock;
    std::vector<std::unique_ptr<RpcClient>> m_clients;
    size_t m_currentClient = 0;

    mutable std::mutex m_mutex;
    CatalogPtr m_catalog;
    std::atomic<TimePoint> m_leaseEnd { TimePoint {} };
    uint64_t m_partsVersion = 0;
    std::map<std::string, TeamLimitPart, std::less<>> m_parts;
    TimePoint m_nextUsageReport {};
    uint64_t m_reportedPartsVersion = 0;
    bool m_wasLeaseValid = false;
    uint64_t m_polls = 0;
    uint64_t m_failedPolls = 0;

    std::condition_variable m_stopped;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace vanillalift
