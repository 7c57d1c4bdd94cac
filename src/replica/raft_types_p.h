#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/replica.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Messages, inputs and actions of the Raft core.
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
    /// Name of the member that this replica voted for in the term; empty if none.
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
    /// Storage id of the recipient in the candidate's configuration.
    std::string recipientStorageId;
};

struct VoteReply {
    bool isPreVote = false;
    bool granted = false;
    uint64_t requestTerm = 0;
};

struct AppendRequest {
    /// Number of the leader's message, increasing; returned in the reply.
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
    /// Term of the conflicting entry, 0 if the log is too short.
    uint64_t conflictTerm = 0;
    /// First uncommitted index of conflictTerm, or the index after the last entry if the log is too short.
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

/// Tells the recipient to start an election immediately (leadership transfer).
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
struct TransferLeadership {
    /// Replicas that are not to become the leader.
    std::vector<std::string> avoid;
    /// Whether this replica is about to end: from now on it votes, but is no candidate.
    bool isLeaving = false;
};
/// Reports that all entries up to the index are durable.
struct Persisted {
    uint64_t index = 0;
};
/// Compacts the log up to the index; data is the state machine's snapshot at that index.
struct Compact {
    uint64_t index = 0;
    std::string data;
};

using Input = std::variant<Message, Tick, Propose, ReadIndex, ReplaceMember, RemoveMember, TransferLeadership, Persisted, Compact>;

struct Send {
    Message message;
    /// Whether to wait for the log write. A leader's append requests may be sent in parallel with it.
    bool afterPersist = true;
};

/// Stores hard state, snapshot and entries. A snapshot is stored before the entries and the log is then reset to the retained
/// entries. The entries replace all stored entries from the index of the first one on.
struct Persist {
    std::optional<HardState> hardState;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> retained;
    std::vector<LogEntry> entries;
};

struct Apply {
    LogEntry entry;
    /// Proposal of this replica that waits for the entry, or 0.
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

/// State read from storage when a replica starts.
struct RecoveredState {
    std::string storageId;
    HardState hardState;
    Snapshot snapshot;
    std::vector<LogEntry> entries;
};

std::string encodeMembers(const ReplicaMembers& members);
ReplicaMembers decodeMembers(const std::string& bytes);
/// Encodes as CBOR.
std::string encodeEntry(const LogEntry& entry);
std::optional<LogEntry> decodeEntry(std::string_view bytes);
std::string encodeSnapshot(const Snapshot& snapshot);
std::optional<Snapshot> decodeSnapshot(std::string_view bytes);
std::string encodeMessages(const std::vector<Message>& messages);
/// @returns std::nullopt if any message is malformed.
std::optional<std::vector<Message>> decodeMessages(std::string_view bytes);

} // namespace vanillalift::raft
