#pragma once

#include "ejection_p.h"

#include <vanillalift/endpoint.h>

#include <map>
#include <mutex>
#include <random>
#include <set>
#include <unordered_map>

namespace vanillalift {

/// The endpoints that announced themselves to this entry. Thread-safe.
class EndpointTable final : public EndpointPool {
public:
    /// @param zone availability zone of this entry, preferred in acquire().
    /// @param random breaks ties between equally loaded endpoints.
    EndpointTable(std::string zone, int64_t entryCount, std::mt19937_64 random = std::mt19937_64 {});

    /// Listeners must outlive the table and are added before the first announcement.
    void addListener(EndpointPoolListener& listener);

    /// Applies an announcement unless one at least as new of the same address is known.
    /// @returns AnnouncementError::TableFull if there is no room for another endpoint.
    tl::expected<void, AnnouncementError> announce(const Announcement& announcement, TimePoint now);

    /// Treats the endpoints of these instances as leaving, whatever they announce, until the next call.
    /// @param instances names of draining instances (Catalog::draining).
    void setDraining(std::set<std::string, std::less<>> instances);

    std::optional<EndpointSlot> acquire(const SlotDesc& desc, TimePoint now) override;
    void release(const EndpointSlot& place, AttemptVerdict verdict, bool hasQueuedRequests, TimePoint now) override;
    [[nodiscard]] EndpointPoolStats stats(std::string_view service, TimePoint now) const override;
    [[nodiscard]] std::vector<EndpointStats> endpoints(TimePoint now) const;

    /// @returns when expire() next has something to do, or TimePoint::max().
    [[nodiscard]] TimePoint nextChange() const;
    /// Removes expired endpoints and reports ended ejections to the listeners.
    void expire(TimePoint now);

private:
    struct Row {
        Announcement announcement;
        TimePoint expiresAt;
        /// False from expiry on. The row itself is kept while places of the endpoint are in flight.
        bool isAnnounced = false;
        bool isEjectionEndReported = true;
        int64_t window = 1;
        int64_t successes = 0;
        int64_t inFlight = 0;
        int64_t ejections = 0;
        EndpointHealth health;
        std::array<int64_t, static_cast<size_t>(AttemptVerdict::AttemptVerdictCount)> verdicts {};
    };
    struct Service {
        std::vector<EndpointHandle> members;
        RequestKindFailures kinds;
    };
    using Services = std::map<std::string, Service, std::less<>>;
    /// LatestAnnouncement announcement of an address. It outlives the row, so that a late announcement cannot revive an endpoint.
    struct LatestAnnouncement {
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        EndpointHandle row;
        TimePoint seen;
    };
    struct RemovedEndpoint {
        std::string address;
        uint64_t incarnation = 0;
    };
    struct Changes {
        std::vector<std::string> services;
        std::vector<RemovedEndpoint> gone;
    };

    [[nodiscard]] int64_t windowBound(const Announcement& announcement) const;
    [[nodiscard]] int64_t connectionShare(const Announcement& announcement) const;
    [[nodiscard]] bool isServing(const Row& row, TimePoint now) const;
    [[nodiscard]] bool isUsable(const Row& row, TimePoint now) const;
    [[nodiscard]] int64_t servingCount(const Service& service, TimePoint now) const;
    [[nodiscard]] double medianFailureRate(const Service& service, EndpointHandle except, TimePoint now) const;
    Row& row(EndpointHandle handle) { return m_rows[handle.index]; }
    [[nodiscard]] const Row& row(EndpointHandle handle) const { return m_rows[handle.index]; }

    EndpointHandle allocateRow(const Announcement& announcement);
    void restart(Row& row, const Announcement& announcement);
    void removeRow(EndpointHandle handle);
    void expireMembers(Service& service, TimePoint now, Changes& changes);
    /// Ends ejections while more of the pool than the bound is ejected, those first that would end first.
    void enforceEjectionLimit(Service& service, TimePoint now);
    EndpointHandle choose(const Service& service, const SlotDesc& desc, TimePoint now);
    void updateHealth(Service& service, EndpointHandle handle, AttemptVerdict verdict, uint64_t kind, TimePoint now);
    void resizeWindow(Row& row, AttemptVerdict verdict, bool hasQueuedRequests);
    void notify(const Changes& changes);

    std::string m_zone;
    int64_t m_entryCount;
    std::vector<EndpointPoolListener*> m_listeners;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::vector<Row> m_rows;
    std::vector<EndpointHandle> m_freeRows;
    Services m_services;
    std::set<std::string, std::less<>> m_draining;
    std::unordered_map<std::string, LatestAnnouncement> m_latestAnnouncements;
};

} // namespace vanillalift
