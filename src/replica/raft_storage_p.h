#pragma once

#include "disk_p.h"
#include "raft_types_p.h"

namespace vanillalift::raft {

/// The durable state of one replica in the files of one folder:
/// - `hard-state`: term, vote and storage id. It is written last when a folder is first used.
/// - `snapshot-{index}.cbor`: the newest snapshot.
/// - `log-{number}.seg`: the newest one starts with a record of the snapshot's place and holds the log after it.
/// A record is a mark, length, CRC-32, payload (CBOR). The entries of one sync share a record, each with its length before
/// it. After an error, every later call returns that error.
class RaftStorage {
public:
    /// Reads the folder, and cuts a torn tail.
    /// @param storageId identity given to the folder if it is empty.
    /// @returns Corrupted if anything else than the tail is not as it was written.
    static StorageResult<RaftStorage> open(Disk& disk, const std::string& storageId);

    [[nodiscard]] const Recovered& recovered() const { return m_recovered; }
    /// Gives up the recovered content to the caller.
    Recovered takeRecovered() { return std::move(m_recovered); }

    /// Stores hard state and snapshot durably; entries become durable with the next sync().
    StorageResult<void> write(const Persist& persist);
    /// Makes all written entries durable with one sync of the file.
    StorageResult<void> sync();
    /// After DiskFull: cuts what the failed write left. All that was written since the last sync has to be written again.
    /// @returns DiskFull if there is still no room; other errors stay.
    StorageResult<void> resumeAfterFullDisk();

private:
    explicit RaftStorage(Disk& disk)
        : m_disk(&disk)
    {
    }

    StorageResult<void> recover(const std::string& storageId);
    StorageResult<void> format(const std::string& storageId);
    StorageResult<void> readHardState();
    StorageResult<void> readSnapshot(const std::string& name);
    StorageResult<void> readSegment(const std::string& name);
    StorageResult<void> startSegment(const Snapshot& snapshot, const std::vector<LogEntry>& entries);
    StorageResult<void> writeHardState(const HardState& state);
    StorageResult<void> writeSnapshot(const Persist& persist);
    StorageResult<void> removeOlderFiles(const std::string& prefix, const std::string& newest);
    StorageResult<void> recordFirstError(const StorageResult<void>& result);

    Disk* m_disk;
    std::string m_storageId;
    Recovered m_recovered;
    uint64_t m_segmentNumber = 0;
    /// Bytes of the newest segment that are durable.
    uint64_t m_durableSegmentSize = 0;
    /// Entries that wait for the next sync.
    std::vector<LogEntry> m_unsyncedEntries;
    StorageResult<void> m_status;
};

} // namespace vanillalift::raft
