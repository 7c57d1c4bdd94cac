#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/outcome.h>

#include <array>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace vanillalift {

/// Receipts of one service in the time before now.
struct BurnWindow {
    std::chrono::seconds length { 0 };
    uint64_t good = 0;
    uint64_t bad = 0;
};

struct ServiceBurn {
    std::string service;
    std::vector<BurnWindow> windows;
};

/// @returns whether the receipt counts against the service's availability budget: an unknown outcome, an answer with a
/// server error, or a refusal that was not the caller's fault.
bool isServiceFailure(const Outcome& outcome);

/// Counts good and bad receipts of each service over the last six hours. Thread-safe.
class BurnLog {
public:
    static constexpr std::array<std::chrono::seconds, 4> windowLengths { std::chrono::minutes(5), std::chrono::minutes(30), std::chrono::hours(1), std::chrono::hours(6) };

    void record(std::string_view service, bool isBad, TimePoint now);
    [[nodiscard]] std::vector<ServiceBurn> burn(TimePoint now) const;

private:
    static constexpr std::chrono::seconds slotLength { 60 };
    static constexpr size_t slotCount = 360;

    struct Slot {
        /// Number of slot lengths since the clock's epoch, which tells a current slot from one of an earlier round.
        int64_t number = -1;
        uint32_t good = 0;
        uint32_t bad = 0;
    };
    using Slots = std::vector<Slot>;

    mutable std::mutex m_mutex;
    std::map<std::string, Slots, std::less<>> m_services;
};

} // namespace vanillalift
