#pragma once

#include <vanillalift/endpoint.h>

#include <map>
#include <mutex>

namespace vanillalift {

/// The endpoints that announced themselves to this entry. Thread-safe.
class EndpointTable final : public EndpointPool {
public:
    /// @param zone availability zone of this entry, preferred in acquire().
    EndpointTable(std::string zone, int64_t entryCount);

    /// Applies an announcement unless a newer one of the same address is known.
    void announce(const Announcement& announcement, TimePoint now);

    std::optional<EndpointPlace> acquire(const PlaceDesc& desc, TimePoint now) override;
    void release(const EndpointPlace& place, AttemptVerdict verdict, bool isDemandWaiting, TimePoint now) override;
    [[nodiscard]] EndpointPoolStats stats(std::string_view service, TimePoint now) const override;

private:
    struct Entry {
        Announcement announcement;
        TimePoint expiry;
        int64_t inFlight = 0;
    };

    [[nodiscard]] int64_t window(const Entry& entry) const;

    std::string m_zone;
    int64_t m_entryCount;
    mutable std::mutex m_mutex;
    std::vector<Entry> m_entries;
};

} // namespace vanillalift
