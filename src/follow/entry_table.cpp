#include "entry_table_p.h"

#include <vanillalift/config.h>

#include <limits>

namespace vanillalift {

namespace {

    /// Covers a difference of the two machines' clock rates of up to 1 part in 30 over a 3 s lease.
    constexpr std::chrono::milliseconds clockDriftMargin { 100 };

} // namespace

TimePoint EntryRecord::leaseEndBefore(uint64_t revision) const
{
    TimePoint end {};
    for (auto it = leaseEnds.begin(); it != leaseEnds.lower_bound(revision); ++it)
        end = std::max(end, it->second);
    return end;
}

TimePoint EntryRecord::leaseEnd() const { return leaseEndBefore(std::numeric_limits<uint64_t>::max()); }

EntryTable::EntryTable(TimePoint leaderSince)
    : m_leaderSince(leaderSince)
{
}

void EntryTable::recordPoll(const FollowRequest& request, TimePoint now)
{
    auto [it, isNew] = m_entries.try_emplace(request.entry);
    auto& record = it->second;
    if (isNew)
        record.leaseEnds[0] = std::max(unknownEntryLeaseEnd(), now);
    record.zone = request.zone;
    record.revision = std::max(record.revision, request.revision);
    // An entry never reverts to a revision before the one it applied, so the leases up to that revision are merged into one.
    auto end = record.leaseEndBefore(record.revision + 1);
    record.leaseEnds.erase(record.leaseEnds.begin(), record.leaseEnds.upper_bound(record.revision));
    record.leaseEnds[record.revision] = end;
    record.partsVersion = std::max(record.partsVersion, request.partsVersion);
    // Polls of one entry may arrive out of order; a report made under older parts must not replace one made under newer parts.
    if (request.use && request.partsVersion >= record.usagePartsVersion) {
        record.use = *request.use;
        record.usagePartsVersion = request.partsVersion;
    }
}

void EntryTable::recordResponse(const EntryId& entry, uint64_t revision, TimePoint now)
{
    // The entry counts its lease from the sending of the poll, so this is later than the end that the entry uses.
    m_entries[entry].leaseEnds[revision] = now + config::entryLease + clockDriftMargin;
}

bool EntryTable::isLive(const EntryId& entry, TimePoint now) const
{
    auto it = m_entries.find(entry);
    return it != m_entries.end() && now < it->second.leaseEnd();
}

TimePoint EntryTable::leaseEnd(const EntryId& entry) const
{
    auto it = m_entries.find(entry);
    return it == m_entries.end() ? unknownEntryLeaseEnd() : it->second.leaseEnd();
}

TimePoint EntryTable::unknownEntryLeaseEnd() const
{
    return m_leaderSince + config::entryLease + clockDriftMargin;
}

std::vector<PendingEntry> EntryTable::pending(uint64_t revision, TimePoint now) const
{
    std::vector<PendingEntry> pending;
    for (const auto& [entry, record] : m_entries) {
        auto end = record.leaseEndBefore(revision);
        if (record.revision < revision && now < end)
            pending.push_back({ entry, end });
    }
    if (now < unknownEntryLeaseEnd())
        pending.push_back({ { "entries of an earlier leader", 0 }, unknownEntryLeaseEnd() });
    return pending;
}

std::vector<PendingEntry> EntryTable::isolated(uint64_t revision, const std::map<std::string, std::string>& names, Duration isolationPeriod, TimePoint now) const
{
    std::vector<PendingEntry> isolated;
    for (const auto& [name, zone] : names) {
        // Only the newest incarnation of the entry counts; earlier processes have ended.
        auto it = m_entries.upper_bound({ name, std::numeric_limits<uint64_t>::max() });
        bool isKnown = it != m_entries.begin() && std::prev(it)->first.name == name;
        auto end = isKnown ? std::prev(it)->second.leaseEndBefore(revision) : unknownEntryLeaseEnd();
        bool hasRevision = isKnown && std::prev(it)->second.revision >= revision;
        if (!hasRevision && now >= end && now < end + isolationPeriod)
            isolated.push_back({ { name, isKnown ? std::prev(it)->first.incarnation : 0 }, end + isolationPeriod });
    }
    return isolated;
}

void EntryTable::removeExpired(TimePoint limit)
{
    std::erase_if(m_entries, [&](const auto& it) { return it.second.leaseEnd() < limit; });
}

} // namespace vanillalift
