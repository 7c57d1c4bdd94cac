#pragma once

#include <vanillalift/follow.h>

#include <map>

namespace vanillalift {

/// What the leader knows of one entry process.
struct EntryRecord {
    std::string zone;
    uint64_t revision = 0;
    uint64_t partsVersion = 0;
    /// Version of the parts that the entry acted on when it reported its use.
    uint64_t usagePartsVersion = 0;
    std::vector<TeamUsage> use;
    /// End of the lease by the revision of the answer that gave it. Each answer gives a lease for its own revision only,
    /// also when it is lost on the way.
    std::map<uint64_t, TimePoint> leaseEnds;

    /// @returns the moment from which the entry cannot act on a state before @p revision without another answer.
    [[nodiscard]] TimePoint leaseEndBefore(uint64_t revision) const;
    [[nodiscard]] TimePoint leaseEnd() const;
};

/// An entry that may still act on a state before a revision.
struct PendingEntry {
    EntryId entry;
    /// When it can no longer act on it, if it does not apply the revision before.
    TimePoint until;
};

/// The entries that polled this leader, in this term. Pure: time is passed in.
class EntryTable {
public:
    /// @param leaderSince moment at which this replica became leader. Entries may hold leases that an earlier leader gave
    /// them up to that moment.
    explicit EntryTable(TimePoint leaderSince);

    /// Records a poll. Reports of an incarnation older than the newest of the entry are kept apart.
    void recordPoll(const FollowRequest& request, TimePoint now);
    /// Records that an answer with the state at @p revision is about to be sent, which extends the entry's lease.
    void recordResponse(const EntryId& entry, uint64_t revision, TimePoint now);

    [[nodiscard]] bool isLive(const EntryId& entry, TimePoint now) const;
    /// @returns when the entry's lease ends, also for entries that never polled this leader.
    [[nodiscard]] TimePoint leaseEnd(const EntryId& entry) const;
    [[nodiscard]] const std::map<EntryId, EntryRecord>& entries() const { return m_entries; }
    /// Moment until which entries that never polled this leader may hold leases.
    [[nodiscard]] TimePoint unknownEntryLeaseEnd() const;

    /// @returns the entries that may still act on a state before @p revision.
    [[nodiscard]] std::vector<PendingEntry> pending(uint64_t revision, TimePoint now) const;

    /// @returns the registered entries without a lease that have not applied @p revision and may go on serving services
    /// that are open to all.
    /// @param names the register of entries.
    /// @param isolationPeriod longest time for which an entry serves an open service without a lease.
    [[nodiscard]] std::vector<PendingEntry> isolated(uint64_t revision, const std::map<std::string, std::string>& names, Duration isolationPeriod, TimePoint now) const;

    /// Forgets entries whose lease ended before @p limit.
    void removeExpired(TimePoint limit);

private:
    TimePoint m_leaderSince;
    std::map<EntryId, EntryRecord> m_entries;
};

} // namespace vanillalift
