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

/// The replicated log of the control processes.
namespace vanillalift {

/// Deterministic state that every replica builds from the same commands. Called from one thread.
class StateMachine {
public:
    virtual ~StateMachine() = default;
    /// @returns the command's result, which the proposer receives.
    virtual std::string apply(uint64_t index, std::string_view command) = 0;
    [[nodiscard]] virtual std::string snapshot() const = 0;
    virtual void restore(std::string_view snapshot) = 0;
};

/// A replica's identity is its name together with the id of its data folder, so that a replica that lost its
/// disk, and with it its votes and entries, is not mistaken for the old one.
struct ReplicaMember {
    std::string name;
    std::string storageId;
    bool isVoter = false;

    bool operator==(const ReplicaMember&) const = default;
};
using ReplicaMembers = std::vector<ReplicaMember>;

enum class ProposeErrorCode : uint8_t {
    /// Nothing was written; leaderHint names the leader if it is known.
    NotLeader,
    /// The leader lost its term, or stopped, before the outcome was known: it may be committed later.
    OutcomeUnknown,
    /// Nothing was written: too many entries wait for commit.
    Overloaded,
    /// Nothing was written: the command is longer than config::maxCommandBytes.
    TooLarge,
    /// Nothing was written: another membership change is in progress, or the new term has no commit yet.
    ChangeInProgress,
    /// Nothing was written: the replacement has not caught up, or has not been heard of under this storage id.
    NotCaughtUp,
    /// Nothing was written: the member is unknown, or is the leader itself.
    MemberInvalid,
    ProposeErrorCodeCount,
};

/// @returns the code as shown to operators, e.g. "not-leader".
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
/// Holds the index up to which the state machine has been applied when the read was confirmed.
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
    /// Not empty once a failed write or sync, or damaged files, have stopped the replica.
    std::string fault;
};

struct ReplicaDesc {
    std::string name;
    /// Folder of this replica's files. No other process may use it.
    std::string folder;
    /// Names and "ip:port" addresses of the other replicas.
    std::map<std::string, std::string> peers;
    /// Shared secret of the replicas.
    std::string token;
    /// Shortest election timeout; a leader sends heartbeats five times as often.
    Duration minElectionTimeout = std::chrono::milliseconds(150);
    uint64_t seed = 1;
    /// Entries applied between two snapshots.
    uint64_t snapshotIntervalEntries = 10000;
    /// Forms a new group with this replica as its only member; refused if the folder already holds a log.
    bool bootstrap = false;
};

struct ReplicaOpenError {
    std::string reason;
};

class RpcServer;

/// One replica: the Raft core, its files, and the messages to and from its peers. Thread-safe.
/// @remarks One thread runs the core, the log writes and the state machine; one thread a peer sends.
class Replica {
public:
    /// Reads the folder and restores the state machine.
    /// @param machine used only by the replica's thread from start() to stop(); must outlive the replica.
    static tl::expected<std::unique_ptr<Replica>, ReplicaOpenError> open(ReplicaDesc desc, StateMachine& machine, const Clock& clock);
    ~Replica();
    Replica(const Replica&) = delete;
    Replica& operator=(const Replica&) = delete;

    /// Adds the method for messages of the peers. The server has to be stopped before the replica is destroyed.
    void addMethods(RpcServer& server);
    void start();
    /// Hands leadership over if possible, bounded by four election timeouts, and stops. Proposals without an
    /// outcome are reported as unknown.
    void stop();

    std::future<ProposeResult> propose(std::string command);
    /// Confirms leadership with a majority after the call.
    std::future<ReadResult> readIndex();
    /// Puts a storage id into the group under a name: a new member, or a member that lost its disk. It votes once
    /// it has caught up.
    std::future<ProposeResult> replaceMember(const std::string& name, const std::string& storageId);
    std::future<ProposeResult> removeMember(const std::string& name);

    [[nodiscard]] ReplicaStatus status() const;

private:
    class Impl;
    explicit Replica(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace vanillalift
