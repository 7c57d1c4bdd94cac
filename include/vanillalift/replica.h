#pragma once

#include <vanillalift/clock.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// The replicated log of the control processes, based on Raft.
namespace vanillalift {

/// Deterministic state machine to which every replica applies the same commands. Called from one thread.
class StateMachine {
public:
    virtual ~StateMachine() = default;
    /// @returns the result of the command, returned to the proposer.
    virtual std::string apply(uint64_t index, std::string_view command) = 0;
    [[nodiscard]] virtual std::string snapshot() const = 0;
    virtual void restore(std::string_view snapshot) = 0;
};

/// Member of the replica group. A replica is identified by its name and the id of its data folder, so that a replica that
/// lost its disk, and with it its votes and log entries, is not taken for its predecessor.
struct ReplicaMember {
    std::string name;
    std::string storageId;
    bool isVoter = false;

    bool operator==(const ReplicaMember&) const = default;
};
using ReplicaMembers = std::vector<ReplicaMember>;

enum class ProposeErrorCode : uint8_t {
    /// Nothing was written; leaderHint names the leader if known.
    NotLeader,
    /// The leader stepped down or stopped before the outcome was known; the entry may still be committed.
    OutcomeUnknown,
    /// Nothing was written: too many uncommitted entries.
    Overloaded,
    /// Nothing was written: the command is longer than config::maxCommandBytes.
    TooLarge,
    /// Nothing was written: another membership change is in progress, or the leader has not committed an entry of its term.
    ChangeInProgress,
    /// Nothing was written: the replacement has not caught up, or has not answered under this storage id.
    NotCaughtUp,
    /// Nothing was written: the member is unknown, or is the leader itself.
    MemberInvalid,
    ProposeErrorCodeCount,
};

/// @returns the name shown to operators, e.g. "not-leader".
std::string_view proposeErrorName(ProposeErrorCode code);

struct ProposeError {
    ProposeErrorCode code = ProposeErrorCode::OutcomeUnknown;
    std::string leaderHint;
};

struct CommitResult {
    uint64_t index = 0;
    std::string result;
};

using ProposeResult = tl::expected<CommitResult, ProposeError>;
/// Holds the index up to which the state machine was applied when the read was confirmed.
using ReadResult = tl::expected<uint64_t, ProposeError>;

enum class ReplicaRole : uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    ReplicaRoleCount,
};

std::string_view replicaRoleName(ReplicaRole role);

struct ReplicaStatus {
    std::string name;
    std::string storageId;
    ReplicaRole role = ReplicaRole::Follower;
    std::string leader;
    uint64_t term = 0;
    uint64_t commitIndex = 0;
    uint64_t lastIndex = 0;
    uint64_t appliedIndex = 0;
    uint64_t snapshotIndex = 0;
    ReplicaMembers members;
    /// Reason why the replica stopped (failed write or sync, damaged files); empty while it runs.
    std::string fault;
};

struct ReplicaDesc {
    std::string name;
    /// Data folder of this replica, for its exclusive use.
    std::string folder;
    /// Addresses ("ip:port") of the other replicas by name.
    std::map<std::string, std::string> peers;
    /// Shared secret that authenticates the replicas to each other.
    std::string token;
    /// Lower bound of the randomized election timeout; the heartbeat interval is a fifth of it.
    Duration minElectionTimeout = std::chrono::milliseconds(150);
    uint64_t seed = 1;
    /// Number of entries applied between two snapshots.
    uint64_t snapshotIntervalEntries = 10000;
    /// Forms a new group with this replica as its only member; an error if the folder already holds a log.
    bool bootstrap = false;
};

struct ReplicaOpenError {
    std::string reason;
};

class RpcServer;

/// One replica: the Raft core, its storage, and the messages exchanged with its peers. Thread-safe.
/// @remarks One thread runs the core, the log writes and the state machine; each peer has a sender thread.
class Replica {
public:
    /// Recovers the replica from its data folder and restores the state machine.
    /// @param machine accessed only by the replica's thread between start() and stop(); must outlive the replica.
    static tl::expected<std::unique_ptr<Replica>, ReplicaOpenError> open(ReplicaDesc desc, StateMachine& machine, const Clock& clock);
    ~Replica();
    Replica(const Replica&) = delete;
    Replica& operator=(const Replica&) = delete;

    /// Registers the method that receives the peers' messages. Stop the server before destroying the replica.
    void addMethods(RpcServer& server);
    void start();
    /// Transfers leadership if possible, waiting at most four times minElectionTimeout, and stops. Pending proposals resolve with
    /// OutcomeUnknown.
    void stop();

    std::future<ProposeResult> propose(std::string command);
    /// Resolves once a majority has confirmed this replica's leadership after the call.
    std::future<ReadResult> readIndex();
    /// Adds a member, or replaces the storage id of a member that lost its disk. It starts as a learner and becomes a voter
    /// once it has caught up.
    std::future<ProposeResult> replaceMember(const std::string& name, const std::string& storageId);
    std::future<ProposeResult> removeMember(const std::string& name);

    [[nodiscard]] ReplicaStatus status() const;

private:
    class Impl;
    explicit Replica(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace vanillalift
