#pragma once

#include <vanillalift/job.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The processes on the system's instances: gateways that take clients' requests, and controllers that keep the state.
namespace vanillalift::node {

/// First message on each link, from the side that connected.
struct Hello {
    /// "ip:port" of the sender's link listener; empty for a gateway.
    std::string name;
    std::string availabilityZone;
    std::string storageId;
    MSGPACK_DEFINE(name, availabilityZone, storageId)
};

/// Sent by a controller at intervals and whenever it changes.
struct ControllerStatus {
    uint64_t term = 0;
    /// Whether the sender leads and has applied all that earlier leaders committed.
    bool isLeader = false;
    std::string leader;
    std::vector<std::string> members;
    MSGPACK_DEFINE(term, isLeader, leader, members)
};

/// Messages of the replicated log.
struct RaftMessages {
    std::string bytes;
    MSGPACK_DEFINE(bytes)
};

enum class ClientVerb : uint8_t { Submit,
    Read,
    Cancel,
    ClientVerbCount };

/// A client's request.
struct ClientRequest {
    ClientVerb verb = ClientVerb::Read;
    std::string host;
    std::string path;
    std::string key;
    /// For Submit; its id is in the path.
    jobs::JobSpec job;
    MSGPACK_DEFINE(verb, host, path, key, job)
};

/// An endpoint's report about itself.
struct HeartbeatRequest {
    jobs::Endpoint endpoint;
    uint64_t sequence = 0;
    int64_t clockMs = -1;
    int64_t remainingMs = -1;
    MSGPACK_DEFINE(endpoint, sequence, clockMs, remainingMs)
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
/// Asks the leader to take a controller into the group.
struct JoinRequest {
    std::string name;
    std::string storageId;
    std::string availabilityZone;
    MSGPACK_DEFINE(name, storageId, availabilityZone)
};

using Request = std::variant<ClientRequest, HeartbeatRequest, DeregisterRequest, PutCatalogRequest, ReadCatalogRequest, PutWaveRequest, ReadWaveRequest, JoinRequest>;

enum class ReplyStatus : uint8_t {
    /// Done, and durable where the request changes state.
    Done,
    /// Not accepted; it has not run and will not unless it is sent again.
    Refused,
    /// The same, because the workspace has more waiting than its share.
    OverLimit,
    NoSuchQueue,
    NoSuchJob,
    NoSuchWave,
    KeyInvalid,
    Malformed,
    /// Not handled here: this controller does not lead, or lost the lead before the outcome was known.
    NotLeader,
    /// There is no configuration yet.
    NoCatalog,
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
    /// With Refused and OverLimit: when a new try may succeed, in milliseconds.
    uint32_t retryAfterMs = 0;
    /// Of Read with an id.
    std::optional<JobState> state;
    /// Of Read without an id: jobs of the queue that no task of has started.
    std::optional<uint64_t> pending;
    /// Of ReadCatalog: as the operator sent it.
    std::string source;
    /// Of ReadWave.
    bool isWaveComplete = false;
    MSGPACK_DEFINE(status, retryAfterMs, state, pending, source, isWaveComplete)
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
/// @returns nothing if the bytes are no message.
std::optional<Message> decode(std::string_view bytes);

} // namespace vanillalift::node

MSGPACK_ADD_ENUM(vanillalift::node::ClientVerb)
MSGPACK_ADD_ENUM(vanillalift::node::ReplyStatus)
MSGPACK_ADD_ENUM(vanillalift::node::JobState)
