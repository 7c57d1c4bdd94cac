#pragma once

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// The platform that drains and reboots instances, over HTTP and JSON.
///
/// POST /v1/drain, /v1/reboot and /v1/resume with {"instance", "pool", "action", "term"}, GET /v1/instances. The platform
/// refuses a term lower than the highest it has seen (409) and answers a repeated action with its first outcome.
namespace vanillalift {

enum class PlatformState : uint8_t {
    /// No report.
    Unknown,
    /// Runs; nothing is planned.
    Up,
    Draining,
    /// The endpoint has announced leaving, its announcements ended longer than their expiry ago, and nothing runs.
    Drained,
    Rebooting,
    /// Runs, but fails its health check.
    Broken,
    PlatformStateCount,
};

enum class PlatformOperation : uint8_t {
    /// Shuts the endpoint down gracefully.
    Drain,
    /// Reboots a drained instance and starts its endpoint.
    Reboot,
    /// Starts the endpoint of a drained instance again; does nothing to one that was not told to drain.
    Resume,
    PlatformOperationCount,
};

struct PlatformRequest {
    PlatformOperation operation = PlatformOperation::Drain;
    std::string instance;
    /// Pool of the instance after the operation.
    std::string pool;
    uint64_t actionId = 0;
    uint64_t term = 0;
};

struct PlatformInstance {
    PlatformState state = PlatformState::Unknown;
    /// Newest accepted action.
    uint64_t actionId = 0;
};
using PlatformInstances = std::map<std::string, PlatformInstance>;

enum class PlatformErrorCode : uint8_t {
    /// No whole answer arrived; the request may have been carried out.
    Unreachable,
    OldTerm,
    InstanceUnknown,
    /// The platform cannot or will not do it.
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
