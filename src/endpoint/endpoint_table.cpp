#include "endpoint_table_p.h"

#include <vanillalift/config.h>

#include <algorithm>

namespace vanillalift {

namespace {

    /// How long the latest announcement of a removed endpoint is kept. An announcement request takes at most some
    /// seconds, so none arrives later than that.
    constexpr std::chrono::minutes latestAnnouncementRetention { 10 };
    constexpr size_t maxRows = std::min<size_t>(EndpointHandle::invalidIndex, config::maxServices* config::maxEndpointsPerService);

    bool contains(const std::vector<EndpointHandle>& handles, EndpointHandle handle)
    {
        return std::find(handles.begin(), handles.end(), handle) != handles.end();
    }

} // namespace

EndpointTable::EndpointTable(std::string zone, int64_t entryCount, std::mt19937_64 random)
    : m_zone(std::move(zone))
    , m_entryCount(std::max<int64_t>(entryCount, 1))
    , m_random(random)
{
}

void EndpointTable::addListener(EndpointPoolListener& listener)
{
    m_listeners.push_back(&listener);
}

int64_t EndpointTable::connectionShare(const Announcement& announcement) const
{
    return std::max<int64_t>(1, announcement.connections / m_entryCount);
}

int64_t EndpointTable::windowBound(const Announcement& announcement) const
{
    return std::max<int64_t>(1, std::min(announcement.slots, connectionShare(announcement)));
}

bool EndpointTable::isServing(const Row& row, TimePoint now) const
{
    return row.isAnnounced && row.announcement.state == EndpointState::Serving && now < row.expiresAt && !m_draining.contains(row.announcement.instance);
}

bool EndpointTable::isUsable(const Row& row, TimePoint now) const
{
    return isServing(row, now) && !row.health.isEjected(now);
}

int64_t EndpointTable::servingCount(const Service& service, TimePoint now) const
{
    return std::count_if(service.members.begin(), service.members.end(), [&](EndpointHandle it) { return isServing(row(it), now); });
}

EndpointHandle EndpointTable::allocateRow(const Announcement& announcement)
{
    auto service = m_services.find(announcement.service);
    bool isFull = service == m_services.end() ? m_services.size() >= config::maxServices : service->second.members.size() >= config::maxEndpointsPerService;
    if (isFull || (m_freeRows.empty() && m_rows.size() >= maxRows))
        return {};
    EndpointHandle handle;
    if (m_freeRows.empty()) {
        handle.index = static_cast<uint16_t>(m_rows.size());
        m_rows.emplace_back();
    } else {
        handle = m_freeRows.back();
        m_freeRows.pop_back();
    }
    m_services[announcement.service].members.push_back(handle);
    return handle;
}

void EndpointTable::initializeRow(Row& row, const Announcement& announcement)
{
    row = Row {};
    auto initialWindow = (announcement.slots + m_entryCount - 1) / m_entryCount;
    row.window = std::min(initialWindow, windowBound(announcement));
}

void EndpointTable::removeRow(EndpointHandle handle)
{
    auto it = m_services.find(row(handle).announcement.service);
    std::erase(it->second.members, handle);
    if (it->second.members.empty())
        m_services.erase(it);
    m_latestAnnouncements[row(handle).announcement.address].row = {};
    row(handle) = Row {};
    m_freeRows.push_back(handle);
}

tl::expected<void, AnnouncementError> EndpointTable::announce(const Announcement& announcement, TimePoint now)
{
    Changes changes;
    {
        std::lock_guard lock(m_mutex);
        auto found = m_latestAnnouncements.find(announcement.address);
        auto latest = found == m_latestAnnouncements.end() ? LatestAnnouncement {} : found->second;
        if (found != m_latestAnnouncements.end() && std::pair(announcement.incarnation, announcement.sequence) <= std::pair(latest.incarnation, latest.sequence))
            return {};
        bool isSameIncarnation = latest.row.isValid() && latest.incarnation == announcement.incarnation && row(latest.row).announcement.service == announcement.service;
        if (latest.row.isValid() && !isSameIncarnation) {
            changes.removedEndpoints.push_back({ announcement.address, latest.incarnation });
            removeRow(latest.row);
            latest.row = {};
        }
        if (!latest.row.isValid()) {
            latest.row = allocateRow(announcement);
            if (latest.row.isValid())
                initializeRow(row(latest.row), announcement);
        }
        if (latest.row.isValid() || found != m_latestAnnouncements.end())
            m_latestAnnouncements[announcement.address] = { announcement.incarnation, announcement.sequence, latest.row, now };
        if (latest.row.isValid()) {
            auto& it = row(latest.row);
            it.announcement = announcement;
            it.expiresAt = now + std::min<Duration>(std::chrono::milliseconds(announcement.expiresMs), config::announcementExpiry);
            it.isAnnounced = true;
            it.window = std::min(it.window, windowBound(announcement));
            enforceEjectionLimit(m_services[announcement.service], now);
            changes.services.push_back(announcement.service);
        }
    }
    notify(changes);
    if (changes.services.empty())
        return tl::unexpected(AnnouncementError::TableFull);
    return {};
}

EndpointHandle EndpointTable::selectEndpoint(const Service& service, const SlotDesc& desc, TimePoint now)
{
    auto isUsableEndpoint = [&](EndpointHandle it) { return isUsable(row(it), now); };
    auto isInOwnZone = [&](EndpointHandle it) { return row(it).announcement.zone == m_zone; };
    const auto& members = service.members;
    bool useAvoided = std::none_of(members.begin(), members.end(), [&](EndpointHandle it) { return isUsableEndpoint(it) && !contains(desc.avoid, it); });
    auto isCandidate = [&](EndpointHandle it) { return isUsableEndpoint(it) && (useAvoided || !contains(desc.avoid, it)); };
    bool useOtherZones = desc.allowOtherZones || std::none_of(members.begin(), members.end(), [&](EndpointHandle it) { return isCandidate(it) && isInOwnZone(it); });
    EndpointHandle best;
    uint64_t ties = 0;
    for (auto it : members) {
        const auto& row = this->row(it);
        if (!isCandidate(it) || row.inFlight >= row.window || !(isInOwnZone(it) || useOtherZones))
            continue;
        auto rank = [&](EndpointHandle handle) { return std::pair(!isInOwnZone(handle), static_cast<double>(this->row(handle).inFlight) / static_cast<double>(this->row(handle).announcement.slots)); };
        bool isBetter = !best.isValid() || rank(it) < rank(best);
        ties = isBetter ? 1 : ties + (rank(it) == rank(best) ? 1 : 0);
        bool winsTie = !isBetter && rank(it) == rank(best) && std::uniform_int_distribution<uint64_t>(1, ties)(m_random) == 1;
        if (isBetter || winsTie)
            best = it;
    }
    return best;
}

void EndpointTable::setDraining(std::set<std::string, std::less<>> instances)
{
    Changes changes;
    {
        std::lock_guard lock(m_mutex);
        m_draining = std::move(instances);
        // Endpoints of instances that are no longer draining have free slots for queued requests.
        for (const auto& [name, service] : m_services)
            changes.services.push_back(name);
    }
    notify(changes);
}

std::optional<EndpointSlot> EndpointTable::acquire(const SlotDesc& desc, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto service = m_services.find(desc.service);
    if (service == m_services.end())
        return std::nullopt;
    enforceEjectionLimit(service->second, now);
    auto handle = selectEndpoint(service->second, desc, now);
    if (!handle.isValid())
        return std::nullopt;
    auto& it = row(handle);
    ++it.inFlight;
    const auto& announcement = it.announcement;
    return EndpointSlot { handle, announcement.address, announcement.incarnation, announcement.zone, connectionShare(announcement), desc.requestKind };
}

void EndpointTable::resizeWindow(Row& row, AttemptVerdict verdict, bool hasQueuedRequests)
{
    if (verdict == AttemptVerdict::NotStarted || verdict == AttemptVerdict::TimedOut) {
        row.window = std::max<int64_t>(1, row.window / 2);
        row.successes = 0;
        return;
    }
    if (verdict != AttemptVerdict::Succeeded || !hasQueuedRequests || ++row.successes < row.window)
        return;
    row.window = std::min(row.window + 1, windowBound(row.announcement));
    row.successes = 0;
}

double EndpointTable::medianFailureRate(const Service& service, EndpointHandle excluded, TimePoint now) const
{
    std::vector<double> rates;
    for (auto it : service.members) {
        if (it != excluded && isServing(row(it), now))
            rates.push_back(row(it).health.failureRate(now));
    }
    if (rates.empty())
        return 0;
    std::sort(rates.begin(), rates.end());
    auto middle = rates.size() / 2;
    return rates.size() % 2 == 1 ? rates[middle] : (rates[middle - 1] + rates[middle]) / 2;
}

void EndpointTable::updateHealth(Service& service, EndpointHandle handle, AttemptVerdict verdict, uint64_t requestKind, TimePoint now)
{
    auto& it = row(handle);
    bool hasFailed = verdict == AttemptVerdict::ServerError || verdict == AttemptVerdict::Broken || verdict == AttemptVerdict::TimedOut;
    if (verdict == AttemptVerdict::Succeeded) {
        it.health.recordSuccess(now);
        service.kindFailures.recordSuccess(requestKind);
    } else if (verdict == AttemptVerdict::NotSent) {
        it.health.recordConnectFailure();
    } else if (hasFailed && service.kindFailures.recordFailure(requestKind, handle.index, now)) {
        it.health.recordFailure(now);
    }
    if (!isUsable(it, now))
        return;
    auto ejected = std::count_if(service.members.begin(), service.members.end(), [&](EndpointHandle member) { return isServing(row(member), now) && row(member).health.countsTowardsLimit(now); });
    bool isFailing = it.health.isFailing(medianFailureRate(service, handle, now), now) && ejected < ejectionLimit(servingCount(service, now));
    if (!isFailing && !it.health.isUnreachable())
        return;
    it.health.eject(isFailing ? EjectionCause::Failing : EjectionCause::Unreachable, now);
    it.isEjectionEndReported = false;
    it.window = 1;
    it.successes = 0;
    ++it.ejections;
}

void EndpointTable::enforceEjectionLimit(Service& service, TimePoint now)
{
    auto limit = ejectionLimit(servingCount(service, now));
    std::vector<EndpointHandle> ejected;
    std::copy_if(service.members.begin(), service.members.end(), std::back_inserter(ejected), [&](EndpointHandle it) { return isServing(row(it), now) && row(it).health.countsTowardsLimit(now); });
    std::sort(ejected.begin(), ejected.end(), [&](EndpointHandle a, EndpointHandle b) { return row(a).health.ejectedUntil() < row(b).health.ejectedUntil(); });
    for (size_t i = 0; i + static_cast<size_t>(limit) < ejected.size(); ++i)
        row(ejected[i]).health.endEjection();
}

void EndpointTable::release(const EndpointSlot& slot, AttemptVerdict verdict, bool hasQueuedRequests, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (slot.endpoint.index >= m_rows.size())
        return;
    auto& it = row(slot.endpoint);
    bool isSameIncarnation = it.announcement.address == slot.address && it.announcement.incarnation == slot.incarnation;
    if (!isSameIncarnation || it.inFlight == 0)
        return;
    --it.inFlight;
    ++it.verdicts.at(static_cast<size_t>(verdict));
    // The window of an ejected endpoint does not grow, so that its ejection ends with a window of 1.
    resizeWindow(it, verdict, hasQueuedRequests && !it.health.isEjected(now));
    if (verdict != AttemptVerdict::Unused)
        updateHealth(m_services.find(it.announcement.service)->second, slot.endpoint, verdict, slot.requestKind, now);
    if (!it.isAnnounced && it.inFlight == 0)
        removeRow(slot.endpoint);
}

EndpointPoolStats EndpointTable::stats(std::string_view service, TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    EndpointPoolStats stats;
    auto found = m_services.find(service);
    if (found == m_services.end())
        return stats;
    for (auto handle : found->second.members) {
        const auto& it = row(handle);
        stats.inFlight += it.inFlight;
        stats.serving += isServing(it, now) ? 1 : 0;
        stats.ejected += isServing(it, now) && it.health.isEjected(now) ? 1 : 0;
        stats.window += isUsable(it, now) ? it.window : 0;
    }
    return stats;
}

std::vector<EndpointStats> EndpointTable::endpoints(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    std::vector<EndpointStats> all;
    for (const auto& [name, service] : m_services) {
        for (auto handle : service.members) {
            const auto& it = row(handle);
            const auto& from = it.announcement;
            if (it.isAnnounced && now < it.expiresAt)
                all.push_back({ name, from.address, from.zone, from.instance, from.incarnation, m_draining.contains(from.instance) ? EndpointState::Leaving : from.state, it.health.isEjected(now), it.window, windowBound(from), it.inFlight, it.ejections, it.verdicts });
        }
    }
    return all;
}

TimePoint EndpointTable::nextChange() const
{
    std::lock_guard lock(m_mutex);
    auto next = TimePoint::max();
    for (const auto& it : m_rows) {
        if (it.isAnnounced)
            next = std::min(next, it.expiresAt);
        if (it.isAnnounced && !it.isEjectionEndReported)
            next = std::min(next, it.health.ejectedUntil());
    }
    return next;
}

void EndpointTable::expireMembers(Service& service, TimePoint now, Changes& changes)
{
    for (auto handle : service.members) {
        auto& it = row(handle);
        if (!it.isAnnounced || now < it.expiresAt)
            continue;
        it.isAnnounced = false;
        changes.removedEndpoints.push_back({ it.announcement.address, it.announcement.incarnation });
    }
    enforceEjectionLimit(service, now);
    for (auto handle : service.members) {
        auto& it = row(handle);
        if (it.isEjectionEndReported || it.health.isEjected(now))
            continue;
        it.isEjectionEndReported = true;
        if (changes.services.empty() || changes.services.back() != it.announcement.service)
            changes.services.push_back(it.announcement.service);
    }
}

void EndpointTable::expire(TimePoint now)
{
    Changes changes;
    {
        std::lock_guard lock(m_mutex);
        for (auto& [name, service] : m_services)
            expireMembers(service, now, changes);
        for (size_t i = 0; i < m_rows.size(); ++i) {
            if (!m_rows[i].isAnnounced && m_rows[i].inFlight == 0 && !m_rows[i].announcement.address.empty())
                removeRow({ static_cast<uint16_t>(i) });
        }
        std::erase_if(m_latestAnnouncements, [&](const auto& it) { return !it.second.row.isValid() && now - it.second.receivedAt >= latestAnnouncementRetention; });
    }
    notify(changes);
}

void EndpointTable::notify(const Changes& changes)
{
    for (auto* listener : m_listeners) {
        for (const auto& it : changes.removedEndpoints)
            listener->endpointRemoved(it.address, it.incarnation);
        for (const auto& it : changes.services)
            listener->endpointsChanged(it);
    }
}

} // namespace vanillalift
