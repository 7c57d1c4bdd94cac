#pragma once

#include <vanillalift/endpoint.h>
#include <vanillalift/settings.h>

/// Stand-in endpoint for tests and measurements, with faults enabled by settings.
namespace vanillalift::standin {

/// Faults; each probability, 0 to 1, applies to one request.
struct FaultSettings {
    /// A delay before the answer: fixed, plus a uniform part up to delayRandomMs.
    double delayProbability = 1;
    int64_t delayMs = 0;
    int64_t delayRandomMs = 0;
    /// Answers half and closes the connection.
    double truncate = 0;
    /// Swaps the answers of two requests.
    double cross = 0;
    /// Answers 500 without working.
    double failFast = 0;
    /// The process ends in mid-answer.
    double die = 0;
    /// Closes the connection without an answer.
    double close = 0;
    /// Writes the answer twice.
    double twice = 0;
    /// Never answers; the slot is taken until the request's deadline.
    double freeze = 0;
    /// Goes on announcing that it serves.
    bool ignoreLeaving = false;
};

enum class ServiceTime : uint8_t {
    Fixed,
    Exponential,
    ServiceTimeCount,
};

struct EndpointSettings {
    /// Identity and sizes; sequence and state are filled in by the announcer.
    Announcement announcement;
    /// "ip:port" of each entry's announce port.
    std::vector<std::string> entries;
    /// Receives one JSON line for each attempt; empty means none.
    std::string recordFile;
    ServiceTime serviceTime = ServiceTime::Fixed;
    double serviceMs = 0;
    /// A leaving endpoint exits when nothing has arrived for this time.
    int64_t quietMs = 3000;
    int64_t seed = 1;
    FaultSettings faults;
};

tl::expected<EndpointSettings, SettingsErrors> endpointSettingsFromJson(const nlohmann::json& value, const std::string& place);

/// Reads the settings file named on the command line, if any. Options named after the fields replace its values, e.g.
/// --slots=4 --entries=127.0.0.1:7001,127.0.0.1:7002.
tl::expected<EndpointSettings, SettingsErrors> endpointSettingsFromCommandLine(int argc, const char** argv);

} // namespace vanillalift::standin
