#pragma once

#include "disk_p.h"
#include "raft_types_p.h"

namespace vanillalift::raft {

/// The durable state of one replica, in the files of one folder:
/// - `hard-state`: term, vote and storage id. Written last when a folder is initialized.
/// - `snapshot-{index}.cbor`: the newest snapshot.
/// - `log-{number}.seg`: log segments. The newest one starts with a record of the snapshot's index and term, followed by the
///   log entries after it.
/// A record consists of a magic number, length, CRC-32 and payload (CBOR). The entries of one sync share a record, each
/// prefixed by its length. Errors are sticky: every later call returns the first one; only OutOfResources can be cleared.
class RaftStorage {
public:
    /// Reads the folder and truncates a torn write at the end of the log.
    /// @param storageId identity assigned to the folder if it is empty.
    /// @returns Corrupted if anything else differs from what was written.
    static StorageResult<RaftStorage> open(Disk& disk, const std::string& storageId);

    /// Sets aside all files of a folder that open() refuses, so that it can be opened as an empty one.
    static StorageResult<void> setAside(Disk& disk);

    [[nodiscard]] const RecoveredState& recovered() const { return m_recovered; }
    /// Moves the recovered state to the caller.
    RecoveredState takeRecovered() { return std::move(m_recovered); }

    /// Stores hard state and snapshot durably; buffers entries until the next sync().
    StorageResult<void> write(const Persist& persist);
    /// Makes all buffered entries durable with one sync of the segment.
    StorageResult<void> sync();
    /// Clears OutOfResources and truncates the partial write. Everything written since the last sync has to be written again.
    /// @returns OutOfResources if the resource is still missing. Other errors are not cleared.
    StorageResult<void> resume();

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
    /// Removes what an earlier run should have removed. The state is complete with and without these files.
    void removeLeftovers(const std::string& prefix, const std::string& newest);
    StorageResult<void> recordFirstError(const StorageResult<void>& result);

    Disk* m_disk;
    std::string m_storageId;
    RecoveredState m_recovered;
    uint64_t m_segmentNumber = 0;
    /// Durable bytes of the newest segment.
    uint64_t m_durableSegmentSize = 0;
    std::vector<LogEntry> m_unsyncedEntries;
    /// The first error.
    StorageResult<void> m_status;
};

} // namespace vanillalift::raft
