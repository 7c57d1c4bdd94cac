#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/replica.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Values that enter and leave the Raft core.
namespace vanillalift::raft {

enum class EntryKind : uint8_t {
    NoOp,
    Command,
    Members,
    EntryKindCount,
};

struct LogEntry {
    uint64_t index = 0;
    uint64_t term = 0;
    EntryKind kind = EntryKind::NoOp;
    std::string data;

    bool operator==(const LogEntry&) const = default;
};

struct HardState {
    uint64_t term = 0;
    /// Name of the member that got this replica's vote in the term; empty for none.
    std::string vote;
};

struct Snapshot {
    uint64_t index = 0;
    uint64_t term = 0;
    ReplicaMembers members;
    std::shared_ptr<const std::string> data = std::make_shared<std::string>();
};

struct VoteRequest {
    bool isPreVote = false;
    uint64_t lastIndex = 0;
    uint64_t lastTerm = 0;
    /// Storage id under which the candidate's configuration knows the addressee.
    std::string recipientStorageId;
};

struct VoteReply {
    bool isPreVote = false;
    bool granted = false;
    uint64_t requestTerm = 0;
};

struct AppendRequest {
    /// Increases with each message of a leader; the reply carries it back.
    uint64_t sequence = 0;
    uint64_t previousIndex = 0;
    uint64_t previousTerm = 0;
    uint64_t commitIndex = 0;
    std::vector<LogEntry> entries;
};

struct AppendReply {
    uint64_t sequence = 0;
    bool success = false;
    uint64_t matchIndex = 0;
    /// Term of the entry that conflicts, 0 if the log is too short, and the first index of that term.
    uint64_t conflictTerm = 0;
    uint64_t conflictIndex = 0;
};

struct SnapshotChunk {
    uint64_t sequence = 0;
    uint64_t index = 0;
    uint64_t snapshotTerm = 0;
    ReplicaMembers members;
    uint64_t offset = 0;
    std::string data;
    bool isLast = false;
};

struct SnapshotReply {
    uint64_t sequence = 0;
    uint64_t index = 0;
    uint64_t nextOffset = 0;
    bool isInstalled = false;
};

/// Asks the addressee to start an election at once (leadership transfer).
struct TimeoutNow { };

using MessageBody = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, TimeoutNow>;

struct Message {
    std::string from;
    std::string fromStorageId;
    std::string to;
    uint64_t term = 0;
    MessageBody body;
};

struct Tick { };
struct Propose {
    uint64_t id = 0;
    std::string command;
};
struct ReadIndex {
    uint64_t id = 0;
};
struct ReplaceMember {
    uint64_t id = 0;
    std::string name;
    std::string storageId;
};
struct RemoveMember {
    uint64_t id = 0;
    std::string name;
};
struct TransferLeadership { };
/// All entries up to the index are durable.
struct Persisted {
    uint64_t index = 0;
};
/// The state machine's snapshot after it applied the index.
struct Compact {
    uint64_t index = 0;
    std::string data;
};

using Input = std::variant<Message, Tick, Propose, ReadIndex, ReplaceMember, RemoveMember, TransferLeadership, Persisted, Compact>;

struct Send {
    Message message;
    /// Appends of a leader may leave while its own log write is in progress; all else waits for the write.
    bool afterPersist = true;
};

/// Entries replace all entries from the first one's index on. A snapshot is stored before them, and the log then
/// restarts with the retained entries.
struct Persist {
    std::optional<HardState> hardState;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> retained;
    std::vector<LogEntry> entries;
};

struct Apply {
    LogEntry entry;
    /// 0 if no proposal of this replica waits for the entry.
    uint64_t proposalId = 0;
};

struct Restore {
    Snapshot snapshot;
};

struct ReadReady {
    uint64_t index = 0;
};

using Response = std::variant<ReadReady, ProposeError>;

struct Respond {
    uint64_t id = 0;
    Response response;
};

using Action = std::variant<Send, Persist, Apply, Restore, Respond>;
using Actions = std::vector<Action>;

/// What storage holds when a replica starts.
struct RecoveredState {
    std::string storageId;
    HardState hardState;
    Snapshot snapshot;
    std::vector<LogEntry> entries;
};

std::string encodeMembers(const ReplicaMembers& members);
ReplicaMembers decodeMembers(const std::string& bytes);
/// @returns CBOR.
std::string encodeEntry(const LogEntry& entry);
std::optional<LogEntry> decodeEntry(std::string_view bytes);
std::string encodeSnapshot(const Snapshot& snapshot);
std::optional<Snapshot> decodeSnapshot(std::string_view bytes);
std::string encodeMessages(const std::vector<Message>& messages);
/// @returns nothing if any of the messages is malformed.
std::optional<std::vector<Message>> decodeMessages(std::string_view bytes);

} // namespace vanillalift::raft
