#pragma once

#include <vanillalift/endpoint.h>
#include <vanillalift/settings.h>

/// Stand-in endpoint for tests and measurements, with fault injection enabled by settings.
namespace vanillalift::standin {

/// Injected faults. The members of type double are probabilities per request, from 0 to 1.
struct FaultSettings {
    /// Delay before the response: delayMs plus a uniformly distributed part of up to delayRandomMs.
    double delayProbability = 1;
    int64_t delayMs = 0;
    int64_t delayRandomMs = 0;
    /// Sends only part of the response and closes the connection.
    double truncate = 0;
    /// Swaps the responses of two requests.
    double cross = 0;
    /// Responds with status 500 immediately, without doing the work.
    double failFast = 0;
    /// The process exits after sending part of the response.
    double die = 0;
    /// Closes the connection without a response.
    double close = 0;
    /// Sends the response twice.
    double twice = 0;
    /// Never responds; the slot stays occupied until the request's deadline.
    double freeze = 0;
    /// A leaving endpoint keeps announcing the state Serving.
    bool ignoreLeaving = false;
};

enum class ServiceTimeDistribution : uint8_t {
    Fixed,
    Exponential,
    ServiceTimeDistributionCount,
};

struct EndpointSettings {
    /// Identity and capacity; the announcer fills in sequence and state.
    Announcement announcement;
    /// "ip:port" of each entry's announce port.
    std::vector<std::string> entries;
    /// File that gets JSON lines for the start and end of each attempt; empty disables recording.
    std::string recordFile;
    ServiceTimeDistribution serviceTimeDistribution = ServiceTimeDistribution::Fixed;
    /// Service time, or its mean if the distribution is exponential.
    double serviceMs = 0;
    /// A leaving endpoint exits once no request has arrived for this period.
    int64_t quietMs = 3000;
    int64_t seed = 1;
    FaultSettings faults;
};

tl::expected<EndpointSettings, SettingsErrors> endpointSettingsFromJson(const nlohmann::json& value, const std::string& location);

/// Reads the settings file given on the command line, if any. Options named after the fields override its values, e.g.
/// --slots=4 --entries=127.0.0.1:7001,127.0.0.1:7002.
tl::expected<EndpointSettings, SettingsErrors> endpointSettingsFromCommandLine(int argc, const char** argv);

} // namespace vanillalift::standin
