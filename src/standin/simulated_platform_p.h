#pragma once

#include <vanillalift/platform.h>
#include <vanillalift/settings.h>

#include <mutex>
#include <random>
#include <vector>

namespace vanillalift::standin {

struct PlatformInstanceSettings {
    std::string name;
    std::string rack;
    /// "ip:port" of the instance's endpoint.
    std::string address;
};

/// Durations are in milliseconds; fault settings are probabilities per reboot or drain.
struct PlatformSettings {
    std::string address = "127.0.0.1:8400";
    std::vector<PlatformInstanceSettings> instances;
    int64_t drainMs = 5000;
    int64_t rebootMs = 60000;
    /// Time from the start of the endpoint to its first announcement.
    int64_t returnMs = 3000;
    /// Additional duration of a slow reboot.
    int64_t slowMs = 120000;
    double neverReturns = 0;
    double returnsBroken = 0;
    double newAddress = 0;
    double slow = 0;
    double refuses = 0;
    /// Probability that a reboot willNotReturn if an earlier one in the same rack has failed.
    double rackFails = 0;
    int64_t seed = 1;
};

tl::expected<PlatformSettings, SettingsErrors> platformSettingsFromJson(const nlohmann::json& value, const std::string& location);

/// State of an instance as reported by the platform and by its endpoint's announcements.
struct SimulatedInstance {
    PlatformInstance platform;
    bool isAnnounced = false;
    bool isLeaving = false;
    uint64_t incarnation = 0;
    std::string address;
};

/// Simulates instances that drain, reboot and fail. Thread-safe. The caller passes the time, which must not decrease.
class SimulatedPlatform {
public:
    explicit SimulatedPlatform(PlatformSettings settings);

    PlatformResult request(const PlatformRequest& request, int64_t nowMs);
    PlatformInstances instances(int64_t nowMs);
    std::map<std::string, SimulatedInstance> observe(int64_t nowMs);

    /// Makes the instance unavailable until @p untilMs, whatever its state.
    void failUntil(const std::string& instance, int64_t untilMs);
    /// @returns the number of started reboots by instance.
    [[nodiscard]] std::map<std::string, int> reboots() const;
    /// @returns the number of drain requests for instances that were already draining or drained.
    [[nodiscard]] int repeatedDrains() const;

private:
    struct InstanceRecord {
        PlatformInstanceSettings settings;
        PlatformState state = PlatformState::Up;
        uint64_t actionId = 0;
        uint64_t incarnation = 1;
        /// When draining or rebooting completes, or when the endpoint of an instance that is up first announces itself.
        int64_t nextChangeMs = 0;
        int64_t failedUntilMs = 0;
        bool willNotReturn = false;
        bool isBroken = false;
        bool changesAddress = false;
        int reboots = 0;
    };

    PlatformResult execute(InstanceRecord& record, const PlatformRequest& request, int64_t nowMs);
    void startReboot(InstanceRecord& record, int64_t nowMs);
    void advance(InstanceRecord& record, int64_t nowMs);
    void startEndpoint(InstanceRecord& record);
    bool happens(double probability);

    mutable std::mutex m_mutex;
    PlatformSettings m_settings;
    std::mt19937_64 m_random;
    std::map<std::string, InstanceRecord> m_instances;
    /// Whether a reboot in the rack has failed.
    std::map<std::string, bool> m_failedRacks;
    std::map<uint64_t, PlatformResult> m_outcomesByAction;
    uint64_t m_term = 0;
    int m_repeatedDrains = 0;
    int m_newAddressCount = 0;
};

} // namespace vanillalift::standin
