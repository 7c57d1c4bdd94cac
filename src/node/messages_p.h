#pragma once

#include <vanillalift/job.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The system's processes: gateways, which accept the clients' requests, and controllers, which hold the replicated state.
namespace vanillalift::node {

/// First message on each link, sent by the side that opened it.
struct Hello {
    /// "ip:port" of the sender's link listener; empty for a gateway.
    std::string name;
    std::string availabilityZone;
    std::string storageId;
    MSGPACK_DEFINE(name, availabilityZone, storageId)
};

/// Sent by a controller periodically and after each change of its role.
struct ControllerStatus {
    uint64_t term = 0;
    /// Whether the sender is the leader and has applied all entries that earlier leaders committed.
    bool isLeader = false;
    std::string leader;
    std::vector<std::string> members;
    /// Whether the sender is about to end; senders of an earlier version leave it out.
    bool isStopping = false;
    MSGPACK_DEFINE(term, isLeader, leader, members, isStopping)
};

/// Encoded Raft messages.
struct RaftMessages {
    std::string bytes;
    MSGPACK_DEFINE(bytes)
};

enum class ClientVerb : uint8_t { Submit,
    Read,
    Cancel,
    ClientVerbCount };

/// A request of a client to a queue.
struct ClientRequest {
    ClientVerb verb = ClientVerb::Read;
    std::string host;
    std::string path;
    std::string key;
    /// The submitted job, used with Submit only. The path contains its id.
    jobs::JobSpec job;
    MSGPACK_DEFINE(verb, host, path, key, job)
};

/// A report of an endpoint about its state.
struct HeartbeatRequest {
    jobs::Endpoint endpoint;
    uint64_t sequence = 0;
    /// -1 if not reported.
    int64_t clockMs = -1;
    /// While the endpoint drains, the least time until it ends; -1 if not reported.
    int64_t remainingMs = -1;
    /// Time for which the endpoint remains slow after its start.
    int64_t warmUpMs = 0;
    MSGPACK_DEFINE(endpoint, sequence, clockMs, remainingMs, warmUpMs)
};
struct DeregisterRequest {
    std::string endpointId;
    MSGPACK_DEFINE(endpointId)
};
struct PutCatalogRequest {
    jobs::Catalog catalog;
    MSGPACK_DEFINE(catalog)
};
struct ReadCatalogRequest {
    bool unused = false;
    MSGPACK_DEFINE(unused)
};
struct PutWaveRequest {
    jobs::Wave wave;
    MSGPACK_DEFINE(wave)
};
struct ReadWaveRequest {
    uint64_t number = 0;
    MSGPACK_DEFINE(number)
};
/// Asks the leader to add a controller to the group.
struct JoinRequest {
    std::string name;
    std::string storageId;
    std::string availabilityZone;
    MSGPACK_DEFINE(name, storageId, availabilityZone)
};
/// Withdraws an availability zone from use, or gives it back.
struct EvacuationRequest {
    std::string zone;
    bool isEvacuated = false;
    MSGPACK_DEFINE(zone, isEvacuated)
};
struct ReadEvacuationsRequest {
    bool unused = false;
    MSGPACK_DEFINE(unused)
};

using Request = std::variant<ClientRequest, HeartbeatRequest, DeregisterRequest, PutCatalogRequest, ReadCatalogRequest, PutWaveRequest, ReadWaveRequest, JoinRequest, EvacuationRequest, ReadEvacuationsRequest>;

enum class ReplyStatus : uint8_t {
    /// Completed, and durable if the request changes state.
    Done,
    /// Not accepted: the request was not executed, and will not be unless it is sent again.
    Refused,
    /// Refused because the workspace has more queued than its share.
    OverLimit,
    NoSuchQueue,
    NoSuchJob,
    NoSuchWave,
    KeyInvalid,
    Malformed,
    /// Not handled: this controller is not the leader, or lost its leadership before the outcome was known.
    NotLeader,
    /// No configuration has been set yet.
    NoCatalog,
    NoSuchZone,
    ReplyStatusCount,
};

enum class JobState : uint8_t { Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
    JobStateCount };

struct Reply {
    ReplyStatus status = ReplyStatus::Done;
    /// With Refused and OverLimit: time after which a retry may succeed, in milliseconds.
    uint32_t retryAfterMs = 0;
    /// Reply to Read with a job id.
    std::optional<JobState> state;
    /// Reply to Read without a job id: number of jobs of the queue of which no task has started.
    std::optional<uint64_t> pending;
    /// Reply to ReadCatalog: the configuration as the operator sent it.
    std::string source;
    /// Reply to ReadWave.
    bool isWaveComplete = false;
    /// With NotLeader: the request was certainly not executed.
    bool isUnhandled = false;
    /// Reply to ReadEvacuations: the evacuated availability zones.
    std::vector<std::string> zones;
    MSGPACK_DEFINE(status, retryAfterMs, state, pending, source, isWaveComplete, isUnhandled, zones)
};

struct Call {
    uint64_t id = 0;
    Request request;
};
struct CallReply {
    uint64_t id = 0;
    Reply reply;
};

using Message = std::variant<Hello, ControllerStatus, RaftMessages, Call, CallReply>;

std::string encode(const Message& message);
/// @returns the message, or nothing if the bytes are malformed.
std::optional<Message> decode(std::string_view bytes);

} // namespace vanillalift::node

MSGPACK_ADD_ENUM(vanillalift::node::ClientVerb)
MSGPACK_ADD_ENUM(vanillalift::node::ReplyStatus)
MSGPACK_ADD_ENUM(vanillalift::node::JobState)
