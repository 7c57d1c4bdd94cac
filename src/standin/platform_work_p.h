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
    /// "ip:port" of its endpoint.
    std::string address;
};

/// Times in milliseconds, faults as probabilities of each reboot or drain.
struct PlatformSettings {
    std::string address = "127.0.0.1:8400";
    std::vector<PlatformInstanceSettings> instances;
    int64_t drainMs = 5000;
    int64_t rebootMs = 60000;
    /// From the start of the endpoint to its first announcement.
    int64_t returnMs = 3000;
    int64_t slowMs = 120000;
    double neverReturns = 0;
    double returnsBroken = 0;
    double newAddress = 0;
    double slow = 0;
    double refuses = 0;
    /// Probability that a reboot fails if one in the same rack has failed before.
    double rackFails = 0;
    int64_t seed = 1;
};

tl::expected<PlatformSettings, SettingsErrors> platformSettingsFromJson(const nlohmann::json& value, const std::string& place);

/// An instance as its endpoint's announcements and the platform show it.
struct SimulatedInstance {
    PlatformInstance platform;
    bool isAnnounced = false;
    bool isLeaving = false;
    uint64_t incarnation = 0;
    std::string address;
};

/// Simulates instances that drain, reboot and fail. Thread-safe; time is passed in and must not go back.
class PlatformWork {
public:
    explicit PlatformWork(PlatformSettings settings);

    PlatformResult request(const PlatformRequest& request, int64_t nowMs);
    PlatformInstances instances(int64_t nowMs);
    std::map<std::string, SimulatedInstance> observe(int64_t nowMs);

    /// The instance is lost until the given time, whatever it was doing.
    void lose(const std::string& instance, int64_t untilMs);
    /// Counts the reboots that were started.
    [[nodiscard]] std::map<std::string, int> reboots() const;
    /// Counts the drains of instances that were already draining or drained.
    [[nodiscard]] int repeatedDrains() const;

private:
    struct Row {
        PlatformInstanceSettings settings;
        PlatformState state = PlatformState::Up;
        uint64_t actionId = 0;
        uint64_t incarnation = 1;
        /// When the current state ends by itself, or the endpoint announces itself.
        int64_t changeMs = 0;
        int64_t lostUntilMs = 0;
        bool fails = false;
        bool isBroken = false;
        bool changesAddress = false;
        int reboots = 0;
    };

    PlatformResult carryOut(Row& row, const PlatformRequest& request, int64_t nowMs);
    void startReboot(Row& row, int64_t nowMs);
    void advance(Row& row, int64_t nowMs);
    void start(Row& row);
    bool happens(double probability);

    mutable std::mutex m_mutex;
    PlatformSettings m_settings;
    std::mt19937_64 m_random;
    std::map<std::string, Row> m_rows;
    std::map<std::string, bool> m_failedRacks;
    std::map<uint64_t, PlatformResult> m_outcomes;
    uint64_t m_term = 0;
    int m_repeatedDrains = 0;
    int m_addresses = 0;
};

} // namespace vanillalift::standin
