#pragma once

#include "ejection_p.h"

#include <vanillalift/endpoint.h>

#include <map>
#include <mutex>
#include <random>
#include <set>
#include <unordered_map>

namespace vanillalift {

/// Registry of the endpoints that announced themselves to this entry. Thread-safe.
class EndpointTable final : public EndpointPool {
public:
    /// @param zone availability zone of this entry, preferred by acquire().
    /// @param entryCount number of entries, among which the slots and connections of an endpoint are divided.
    /// @param random used to select among equally loaded endpoints.
    EndpointTable(std::string zone, int64_t entryCount, std::mt19937_64 random = std::mt19937_64 {});

    /// Listeners must outlive the table and are added before the first announcement.
    void addListener(EndpointPoolListener& listener);

    /// Applies an announcement. Ignores it if an announcement of the same address that is at least as new was received.
    /// @returns AnnouncementError::TableFull if the maximum number of endpoints is reached.
    tl::expected<void, AnnouncementError> announce(const Announcement& announcement, TimePoint now);

    /// Treats the endpoints of these instances as leaving until the next call, whatever state they announce.
    /// @param instances names of draining instances (Catalog::draining).
    void setDraining(std::set<std::string, std::less<>> instances);

    std::optional<EndpointSlot> acquire(const SlotDesc& desc, TimePoint now) override;
    void release(const EndpointSlot& slot, AttemptVerdict verdict, bool hasQueuedRequests, TimePoint now) override;
    [[nodiscard]] EndpointPoolStats stats(std::string_view service, TimePoint now) const override;
    [[nodiscard]] std::vector<EndpointStats> endpoints(TimePoint now) const;

    /// @returns the time at which expire() is due, or TimePoint::max().
    [[nodiscard]] TimePoint nextChange() const;
    /// Removes expired endpoints and notifies the listeners of ended ejections.
    void expire(TimePoint now);

private:
    struct Row {
        Announcement announcement;
        TimePoint expiresAt;
        /// False once the announcement has expired. The row is kept while slots of the endpoint are held.
        bool isAnnounced = false;
        bool isEjectionEndReported = true;
        /// Maximum number of slots held at a time, adapted by resizeWindow().
        int64_t window = 1;
        /// Successful attempts since the last change of the window.
        int64_t successes = 0;
        int64_t inFlight = 0;
        int64_t ejections = 0;
        EndpointHealth health;
        std::array<int64_t, static_cast<size_t>(AttemptVerdict::AttemptVerdictCount)> verdicts {};
    };
    struct Service {
        std::vector<EndpointHandle> members;
        RequestKindFailures kindFailures;
    };
    using Services = std::map<std::string, Service, std::less<>>;
    /// Latest announcement of an address. Kept after the row is removed, so that a delayed announcement does not add the
    /// endpoint again.
    struct LatestAnnouncement {
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        EndpointHandle row;
        TimePoint receivedAt;
    };
    struct RemovedEndpoint {
        std::string address;
        uint64_t incarnation = 0;
    };
    /// Notifications to be sent to the listeners once the mutex is released.
    struct Changes {
        std::vector<std::string> services;
        std::vector<RemovedEndpoint> removedEndpoints;
    };

    [[nodiscard]] int64_t windowBound(const Announcement& announcement) const;
    /// @returns the number of connections to the endpoint that this entry may open.
    [[nodiscard]] int64_t connectionShare(const Announcement& announcement) const;
    [[nodiscard]] bool isServing(const Row& row, TimePoint now) const;
    /// @returns whether the endpoint is serving and not ejected.
    [[nodiscard]] bool isUsable(const Row& row, TimePoint now) const;
    [[nodiscard]] int64_t servingCount(const Service& service, TimePoint now) const;
    [[nodiscard]] double medianFailureRate(const Service& service, EndpointHandle excluded, TimePoint now) const;
    Row& row(EndpointHandle handle) { return m_rows[handle.index]; }
    [[nodiscard]] const Row& row(EndpointHandle handle) const { return m_rows[handle.index]; }

    /// @returns an invalid handle if the table or the service is full.
    EndpointHandle allocateRow(const Announcement& announcement);
    void initializeRow(Row& row, const Announcement& announcement);
    void removeRow(EndpointHandle handle);
    void expireMembers(Service& service, TimePoint now, Changes& changes);
    /// Ends ejections early while more endpoints of the service are ejected than ejectionLimit() allows, those with the
    /// earliest end first.
    void enforceEjectionLimit(Service& service, TimePoint now);
    /// @returns the eligible endpoint with the lowest ratio of held to announced slots, or an invalid handle.
    EndpointHandle selectEndpoint(const Service& service, const SlotDesc& desc, TimePoint now);
    /// Records the verdict and ejects the endpoint if necessary.
    void updateHealth(Service& service, EndpointHandle handle, AttemptVerdict verdict, uint64_t requestKind, TimePoint now);
    /// Grows the window by 1 per window of successes while requests are queued, halves it on NotStarted and TimedOut.
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
