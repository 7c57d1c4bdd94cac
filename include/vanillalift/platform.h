#pragma once

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// Interface to the platform that drains and reboots instances, over HTTP and JSON.
///
/// POST /v1/drain, /v1/reboot and /v1/resume with {"instance", "pool", "action", "term"}, GET /v1/instances. The platform
/// rejects a term lower than the highest it has seen (409) and answers a repeated action with the action's first outcome.
namespace vanillalift {

enum class PlatformState : uint8_t {
    /// Not reported, or a state that this version does not know.
    Unknown,
    /// Running; no operation is pending.
    Up,
    Draining,
    /// The endpoint announced that it is leaving, its last announcement has expired, and no request is running.
    Drained,
    Rebooting,
    /// Running, but failing its health check.
    Broken,
    PlatformStateCount,
};

enum class PlatformOperation : uint8_t {
    /// Shuts the endpoint down gracefully.
    Drain,
    /// Reboots a drained instance and starts its endpoint.
    Reboot,
    /// Restarts the endpoint of a drained instance; no effect on an instance that was not told to drain.
    Resume,
    PlatformOperationCount,
};

struct PlatformRequest {
    PlatformOperation operation = PlatformOperation::Drain;
    std::string instance;
    /// The instance's pool after the operation.
    std::string pool;
    uint64_t actionId = 0;
    uint64_t term = 0;
};

struct PlatformInstance {
    PlatformState state = PlatformState::Unknown;
    /// Id of the newest action that the platform accepted.
    uint64_t actionId = 0;
};
using PlatformInstances = std::map<std::string, PlatformInstance>;

enum class PlatformErrorCode : uint8_t {
    /// No complete response was received; the request may have been carried out.
    Unreachable,
    OldTerm,
    InstanceUnknown,
    /// The platform cannot or will not carry out the operation.
    Refused,
    Malformed,
    PlatformErrorCodeCount,
};

struct PlatformError {
    PlatformErrorCode code = PlatformErrorCode::Unreachable;
    std::string detail;
};
using PlatformResult = tl::expected<void, PlatformError>;

class Platform {
public:
    virtual ~Platform() = default;
    virtual PlatformResult request(const PlatformRequest& request) = 0;
    virtual tl::expected<PlatformInstances, PlatformError> instances() = 0;
};

std::string_view platformOperationName(PlatformOperation operation);
std::string_view platformStateName(PlatformState state);
std::string_view platformErrorCodeName(PlatformErrorCode code);

nlohmann::json toJson(const PlatformRequest& request);
/// @returns nothing if the value is malformed.
std::optional<PlatformRequest> platformRequestFromJson(PlatformOperation operation, const nlohmann::json& value);
nlohmann::json toJson(const PlatformInstances& instances);
std::optional<PlatformInstances> platformInstancesFromJson(const nlohmann::json& value);

} // namespace vanillalift
