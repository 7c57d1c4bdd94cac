#include "endpoint_table_p.h"

#include <algorithm>

namespace vanillalift {

EndpointTable::EndpointTable(std::string zone, int64_t entryCount)
    : m_zone(std::move(zone))
    , m_entryCount(std::max<int64_t>(entryCount, 1))
{
}

void EndpointTable::announce(const Announcement& announcement, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto it = std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry& entry) { return entry.announcement.address == announcement.address; });
    if (it == m_entries.end())
        it = m_entries.insert(m_entries.end(), Entry {});
    else if (std::pair(announcement.incarnation, announcement.sequence) <= std::pair(it->announcement.incarnation, it->announcement.sequence))
        return;
    if (it->announcement.incarnation != announcement.incarnation)
        it->inFlight = 0;
    it->announcement = announcement;
    it->expiry = now + std::chrono::milliseconds(announcement.expiresMs);
}

int64_t EndpointTable::window(const Entry& entry) const
{
    return std::max<int64_t>(1, std::min(entry.announcement.slots, entry.announcement.connections / m_entryCount));
}

std::optional<EndpointPlace> EndpointTable::acquire(const PlaceDesc& desc, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    Entry* best = nullptr;
    auto rank = [&](const Entry& entry) {
        return std::pair(entry.announcement.zone != m_zone, static_cast<double>(entry.inFlight) / static_cast<double>(entry.announcement.slots));
    };
    for (auto& it : m_entries) {
        bool isUsable = it.announcement.service == desc.service && it.announcement.state == EndpointState::Serving && now < it.expiry && it.inFlight < window(it);
        if (isUsable && (!best || rank(it) < rank(*best)))
            best = &it;
    }
    if (!best)
        return std::nullopt;
    ++best->inFlight;
    return EndpointPlace { { static_cast<uint16_t>(best - m_entries.data()) }, best->announcement.address, best->announcement.incarnation, best->announcement.zone };
}

void EndpointTable::release(const EndpointPlace& place, AttemptVerdict /*verdict*/, bool /*isDemandWaiting*/, TimePoint /*now*/)
{
    std::lock_guard lock(m_mutex);
    auto& entry = m_entries.at(place.endpoint.index);
    if (entry.announcement.incarnation == place.incarnation)
        --entry.inFlight;
}

EndpointPoolStats EndpointTable::stats(std::string_view service, TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    EndpointPoolStats stats;
    for (const auto& it : m_entries) {
        if (it.announcement.service != service || it.announcement.state != EndpointState::Serving || now >= it.expiry)
            continue;
        ++stats.serving;
        stats.window += window(it);
        stats.inFlight += it.inFlight;
    }
    return stats;
}

} // namespace vanillalift
