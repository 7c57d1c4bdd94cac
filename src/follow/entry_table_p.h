#pragma once

#include <vanillalift/follow.h>

#include <map>

namespace vanillalift {

/// The leader's record of one entry process.
struct EntryRecord {
    std::string zone;
    uint64_t revision = 0;
    uint64_t partsVersion = 0;
    /// Version of the limit parts that the entry had applied when it reported its usage.
    uint64_t usagePartsVersion = 0;
    std::vector<TeamUsage> use;
    /// End of the lease by the revision of the response that granted it. A response grants a lease for its own revision only,
    /// and is counted even if it is lost.
    std::map<uint64_t, TimePoint> leaseEnds;

    /// @returns the time from which the entry cannot act on a revision before @p revision without another response.
    [[nodiscard]] TimePoint leaseEndBefore(uint64_t revision) const;
    [[nodiscard]] TimePoint leaseEnd() const;
};

/// An entry that may still act on an older revision than the one asked about.
struct PendingEntry {
    EntryId entry;
    /// Time from which it no longer can, unless it applies the revision earlier.
    TimePoint until;
};

/// The entries that polled this leader in its current term. Deterministic: the time is passed in.
class EntryTable {
public:
    /// @param leaderSince time at which this replica became leader. Entries may hold leases that an earlier leader granted
    /// up to then.
    explicit EntryTable(TimePoint leaderSince);

    /// Records a poll. Each incarnation of an entry has a record of its own.
    void recordPoll(const FollowRequest& request, TimePoint now);
    /// Records that a response with the state at @p revision is about to be sent, which extends the entry's lease.
    void recordResponse(const EntryId& entry, uint64_t revision, TimePoint now);

    /// @returns whether the entry may hold a valid lease.
    [[nodiscard]] bool isLive(const EntryId& entry, TimePoint now) const;
    /// @returns the end of the entry's lease; for an entry without a record, the end of leases that an earlier leader granted.
    [[nodiscard]] TimePoint leaseEnd(const EntryId& entry) const;
    [[nodiscard]] const std::map<EntryId, EntryRecord>& entries() const { return m_entries; }
    /// @returns the time until which entries that never polled this leader may hold leases.
    [[nodiscard]] TimePoint unknownEntryLeaseEnd() const;

    /// @returns the entries with a lease that may still act on a revision before @p revision.
    [[nodiscard]] std::vector<PendingEntry> pending(uint64_t revision, TimePoint now) const;

    /// @returns the registered entries without a lease that have not applied @p revision and may still serve services that
    /// are open to all.
    /// @param names zones of the registered entries by name.
    /// @param isolationPeriod longest time for which an entry serves an open service without a lease.
    [[nodiscard]] std::vector<PendingEntry> isolated(uint64_t revision, const std::map<std::string, std::string>& names, Duration isolationPeriod, TimePoint now) const;

    /// Removes entries whose lease ended before @p limit.
    void removeExpired(TimePoint limit);

private:
    TimePoint m_leaderSince;
    std::map<EntryId, EntryRecord> m_entries;
};

} // namespace vanillalift
