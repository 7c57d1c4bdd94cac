#include "raft_storage_p.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <zlib.h>

#include <array>
#include <cstring>

namespace vanillalift::raft {

using nlohmann::json;

namespace {

    constexpr const char* hardStateName = "hard-state";
    constexpr const char* snapshotPrefix = "snapshot-";
    constexpr const char* segmentPrefix = "log-";
    /// Magic number at the start of each record, so that records after a corrupted one can be found.
    constexpr std::string_view recordMagic = "\xF7VLR";
    constexpr size_t lengthSize = sizeof(uint32_t);
    constexpr size_t recordHeaderSize = recordMagic.size() + 2 * lengthSize;

    std::string fileName(const char* prefix, uint64_t number, const char* suffix)
    {
        std::array<char, 64> buf {};
        std::snprintf(buf.data(), buf.size(), "%s%020llu%s", prefix, static_cast<unsigned long long>(number), suffix);
        return buf.data();
    }

    std::string segmentName(uint64_t number) { return fileName(segmentPrefix, number, ".seg"); }

    void appendUint32(std::string& bytes, uint32_t value)
    {
        for (unsigned shift = 0; shift < 32; shift += 8)
            bytes.push_back(static_cast<char>(value >> shift & 0xFFU));
    }

    uint32_t decodeUint32(std::string_view bytes)
    {
        uint32_t value = 0;
        for (unsigned n = 0; n < 4; n++)
            value |= static_cast<uint32_t>(static_cast<unsigned char>(bytes[n])) << (8 * n);
        return value;
    }

    uint32_t checksum(std::string_view payload)
    {
        return static_cast<uint32_t>(crc32_z(0, reinterpret_cast<const Bytef*>(payload.data()), payload.size()));
    }

    std::string encodeRecord(std::string_view payload)
    {
        std::string bytes(recordMagic);
        appendUint32(bytes, static_cast<uint32_t>(payload.size()));
        appendUint32(bytes, checksum(payload));
        return bytes.append(payload);
    }

    /// @returns the payload of the record at the start of @p bytes, or nothing if there is no complete and valid record.
    std::optional<std::string_view> decodeRecord(std::string_view bytes)
    {
        if (bytes.size() < recordHeaderSize || !bytes.starts_with(recordMagic))
            return std::nullopt;
        auto length = decodeUint32(bytes.substr(recordMagic.size()));
        if (length > bytes.size() - recordHeaderSize)
            return std::nullopt;
        auto payload = bytes.substr(recordHeaderSize, length);
        if (checksum(payload) != decodeUint32(bytes.substr(recordMagic.size() + 4)))
            return std::nullopt;
        return payload;
    }

    /// The entries of one sync share a record, so that a power loss keeps all or none of them, in whatever order the disk wrote.
    std::string encodeBatch(const std::vector<LogEntry>& entries)
    {
        std::string payload;
        for (const auto& it : entries) {
            auto bytes = encodeEntry(it);
            appendUint32(payload, static_cast<uint32_t>(bytes.size()));
            payload += bytes;
        }
        return encodeRecord(payload);
    }

    std::optional<std::vector<LogEntry>> decodeBatch(std::string_view payload)
    {
        std::vector<LogEntry> entries;
        while (!payload.empty()) {
            if (payload.size() < lengthSize)
                return std::nullopt;
            auto length = decodeUint32(payload);
            payload.remove_prefix(lengthSize);
            auto entry = length <= payload.size() ? decodeEntry(payload.substr(0, length)) : std::nullopt;
            if (!entry)
                return std::nullopt;
            entries.push_back(std::move(*entry));
            payload.remove_prefix(length);
        }
        return entries;
    }

    bool hasLaterRecord(std::string_view bytes)
    {
        for (auto at = bytes.find(recordMagic, 1); at != std::string_view::npos; at = bytes.find(recordMagic, at + 1)) {
            if (decodeRecord(bytes.substr(at)))
                return true;
        }
        return false;
    }

    tl::unexpected<StorageError> corrupted(const std::string& file, const std::string& detail)
    {
        return tl::unexpected(StorageError { StorageErrorCode::Corrupted, file, detail });
    }

    /// For content that is as it was written, but cannot be read by this version.
    tl::unexpected<StorageError> unknownFormat(const std::string& file)
    {
        return tl::unexpected(StorageError { StorageErrorCode::ReadFailed, file, "unknown format; written by another version" });
    }

    std::string newestFile(const std::vector<std::string>& names, const char* prefix)
    {
        std::string found;
        for (const auto& it : names) {
            if (it.starts_with(prefix))
                found = it;
        }
        return found;
    }

    /// The first record of a segment, stored as an entry without a command: index and term of the preceding snapshot.
    LogEntry segmentHeader(const Snapshot& snapshot) { return { snapshot.index, snapshot.term, EntryKind::NoOp, "start" }; }

} // namespace

StorageResult<RaftStorage> RaftStorage::open(Disk& disk, const std::string& storageId)
{
    RaftStorage storage(disk);
    if (auto result = storage.recover(storageId); !result)
        return tl::unexpected(result.error());
    return storage;
}

StorageResult<void> RaftStorage::setAside(Disk& disk)
{
    auto names = disk.list();
    if (!names)
        return tl::unexpected(names.error());
    std::erase_if(*names, [](const auto& it) { return it != hardStateName && !it.starts_with(snapshotPrefix) && !it.starts_with(segmentPrefix); });
    return disk.setAside(*names);
}

StorageResult<void> RaftStorage::recover(const std::string& storageId)
{
    auto names = m_disk->list();
    if (!names)
        return tl::unexpected(names.error());
    auto segment = newestFile(*names, segmentPrefix);
    auto snapshot = newestFile(*names, snapshotPrefix);
    bool hasHardState = std::find(names->begin(), names->end(), hardStateName) != names->end();
    if (segment.empty() && snapshot.empty() && !hasHardState)
        return format(storageId);
    if (segment.empty())
        return corrupted(segmentPrefix, "there is no log segment");
    if (hasHardState) {
        if (auto result = readHardState(); !result)
            return result;
    }
    if (!snapshot.empty()) {
        if (auto result = readSnapshot(snapshot); !result)
            return result;
    }
    if (auto result = readSegment(segment); !result)
        return result;
    if (!hasHardState) {
        // Unless there is content, a crash interrupted the initialization of the folder.
        if (!snapshot.empty() || !m_recovered.entries.empty())
            return corrupted(hardStateName, "missing");
        return format(storageId);
    }
    removeLeftovers(segmentPrefix, segmentName(m_segmentNumber));
    if (!snapshot.empty())
        removeLeftovers(snapshotPrefix, snapshot);
    return {};
}

void RaftStorage::removeLeftovers(const std::string& prefix, const std::string& newest)
{
    if (auto result = removeOlderFiles(prefix, newest); !result)
        LOG(WARNING) << "files of an earlier run are left until the next snapshot: " << describe(result.error());
}

StorageResult<void> RaftStorage::format(const std::string& storageId)
{
    m_storageId = storageId;
    m_recovered.storageId = storageId;
    if (auto result = startSegment({}, {}); !result)
        return result;
    return writeHardState({});
}

StorageResult<void> RaftStorage::readHardState()
{
    auto bytes = m_disk->read(hardStateName);
    if (!bytes)
        return tl::unexpected(bytes.error());
    auto payload = decodeRecord(*bytes);
    if (!payload)
        return corrupted(hardStateName, "checksum mismatch");
    auto value = json::from_cbor(payload->begin(), payload->end(), true, false);
    if (!value.is_array() || value.size() != 3 || !value[0].is_number_unsigned() || !value[1].is_string() || !value[2].is_string())
        return unknownFormat(hardStateName);
    m_recovered.hardState = { value[0], value[1] };
    m_storageId = value[2];
    m_recovered.storageId = m_storageId;
    return {};
}

StorageResult<void> RaftStorage::readSnapshot(const std::string& name)
{
    auto bytes = m_disk->read(name);
    if (!bytes)
        return tl::unexpected(bytes.error());
    auto payload = decodeRecord(*bytes);
    if (!payload)
        return corrupted(name, "checksum mismatch");
    auto snapshot = decodeSnapshot(*payload);
    if (!snapshot)
        return unknownFormat(name);
    m_recovered.snapshot = std::move(*snapshot);
    return {};
}

StorageResult<void> RaftStorage::readSegment(const std::string& name)
{
    auto bytes = m_disk->read(name);
    if (!bytes)
        return tl::unexpected(bytes.error());
    m_segmentNumber = std::strtoull(name.c_str() + std::strlen(segmentPrefix), nullptr, 10);
    std::string_view remaining(*bytes);
    std::vector<LogEntry> log;
    while (auto payload = decodeRecord(remaining)) {
        auto batch = decodeBatch(*payload);
        if (!batch)
            return unknownFormat(name);
        bool isValid = true;
        for (size_t n = 0; isValid && n < batch->size(); n++) {
            auto& entry = (*batch)[n];
            isValid = log.empty() || (entry.index > log.front().index && entry.index <= log.back().index + 1);
            if (!isValid)
                break;
            // An entry replaces all entries from its index on, as it did when it was written.
            if (!log.empty())
                log.resize(entry.index - log.front().index);
            log.push_back(std::move(entry));
        }
        if (!isValid)
            return corrupted(name, "malformed entries in the record at byte " + std::to_string(bytes->size() - remaining.size()));
        remaining.remove_prefix(recordHeaderSize + payload->size());
    }
    auto validSize = bytes->size() - remaining.size();
    if (log.empty() || log.front().data != "start" || hasLaterRecord(remaining))
        return corrupted(name, "invalid record at byte " + std::to_string(validSize));
    if (!remaining.empty()) {
        if (auto result = m_disk->truncate(name, validSize); !result)
            return result;
    }
    m_durableSegmentSize = validSize;
    const auto& snapshot = m_recovered.snapshot;
    const auto& header = log.front();
    if (header.index > snapshot.index || (header.index == snapshot.index && header.term != snapshot.term))
        return corrupted(name, "the snapshot before this segment is missing");
    // A crash after a snapshot was stored leaves the previous segment. Its later entries are valid only if it contains the
    // snapshot's last entry.
    auto offset = snapshot.index - header.index;
    bool containsSnapshotEntry = offset < log.size() && log[offset].term == snapshot.term;
    if (containsSnapshotEntry)
        m_recovered.entries.assign(std::make_move_iterator(log.begin() + static_cast<std::ptrdiff_t>(offset) + 1), std::make_move_iterator(log.end()));
    return offset == 0 ? StorageResult<void> {} : startSegment(snapshot, m_recovered.entries);
}

StorageResult<void> RaftStorage::startSegment(const Snapshot& snapshot, const std::vector<LogEntry>& entries)
{
    auto bytes = encodeBatch({ segmentHeader(snapshot) });
    if (!entries.empty())
        bytes += encodeBatch(entries);
    if (auto result = m_disk->replace(segmentName(m_segmentNumber + 1), bytes); !result)
        return result;
    m_segmentNumber++;
    m_durableSegmentSize = bytes.size();
    return {};
}

StorageResult<void> RaftStorage::writeHardState(const HardState& state)
{
    auto payload = json::to_cbor({ state.term, state.vote, m_storageId });
    return m_disk->replace(hardStateName, encodeRecord({ reinterpret_cast<const char*>(payload.data()), payload.size() }));
}

StorageResult<void> RaftStorage::writeSnapshot(const Persist& persist)
{
    auto name = fileName(snapshotPrefix, persist.snapshot->index, ".cbor");
    if (auto result = m_disk->replace(name, encodeRecord(encodeSnapshot(*persist.snapshot))); !result)
        return result;
    // The retained entries include the unsynced ones.
    m_unsyncedEntries.clear();
    if (auto result = startSegment(*persist.snapshot, persist.retained); !result)
        return result;
    removeLeftovers(segmentPrefix, segmentName(m_segmentNumber));
    removeLeftovers(snapshotPrefix, name);
    return {};
}

StorageResult<void> RaftStorage::removeOlderFiles(const std::string& prefix, const std::string& newest)
{
    auto names = m_disk->list();
    if (!names)
        return tl::unexpected(names.error());
    for (const auto& it : *names) {
        if (!it.starts_with(prefix) || it >= newest)
            continue;
        if (auto result = m_disk->remove(it); !result)
            return result;
    }
    return {};
}

StorageResult<void> RaftStorage::recordFirstError(const StorageResult<void>& result)
{
    if (m_status && !result)
        m_status = result;
    return m_status;
}

StorageResult<void> RaftStorage::write(const Persist& persist)
{
    if (m_status && persist.hardState)
        recordFirstError(writeHardState(*persist.hardState));
    if (m_status && persist.snapshot)
        recordFirstError(writeSnapshot(persist));
    m_unsyncedEntries.insert(m_unsyncedEntries.end(), persist.entries.begin(), persist.entries.end());
    return m_status;
}

StorageResult<void> RaftStorage::sync()
{
    if (!m_status || m_unsyncedEntries.empty())
        return m_status;
    auto bytes = encodeBatch(m_unsyncedEntries);
    if (!recordFirstError(m_disk->append(segmentName(m_segmentNumber), bytes)) || !recordFirstError(m_disk->sync(segmentName(m_segmentNumber))))
        return m_status;
    m_unsyncedEntries.clear();
    m_durableSegmentSize += bytes.size();
    return m_status;
}

StorageResult<void> RaftStorage::resume()
{
    if (m_status || m_status.error().code != StorageErrorCode::OutOfResources)
        return m_status;
    // The next write would append after the remains of the failed one, which were never synced.
    if (auto result = m_disk->truncate(segmentName(m_segmentNumber), m_durableSegmentSize); !result) {
        if (result.error().code != StorageErrorCode::OutOfResources)
            m_status = result;
        return result;
    }
    m_unsyncedEntries.clear();
    m_status = {};
    return m_status;
}

} // namespace vanillalift::raft
