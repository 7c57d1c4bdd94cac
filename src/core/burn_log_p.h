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

/// Outcomes of one service over the period of the given length that ends now.
struct BurnWindow {
    std::chrono::seconds length { 0 };
    uint64_t good = 0;
    uint64_t bad = 0;
};

/// Error-budget consumption of one service.
struct ServiceBurn {
    std::string service;
    std::vector<BurnWindow> windows;
};

/// @returns whether the outcome counts against the service's availability budget: a response with a server error, or a
/// refusal or unknown outcome that the caller did not cause.
bool isServiceFailure(const Outcome& outcome);

/// Counts successful and failed requests of each service over the last six hours, to report how fast it uses up its
/// availability budget. Thread-safe.
class BurnLog {
public:
    static constexpr std::array<std::chrono::seconds, 4> windowLengths { std::chrono::minutes(5), std::chrono::minutes(30), std::chrono::hours(1), std::chrono::hours(6) };

    void record(std::string_view service, bool isFailure, TimePoint now);
    [[nodiscard]] std::vector<ServiceBurn> burn(TimePoint now) const;

private:
    static constexpr std::chrono::seconds bucketLength { 60 };
    static constexpr size_t bucketCount = 360;

    struct Bucket {
        /// Count of bucket lengths since the clock's epoch; detects a bucket left from an earlier pass over the ring buffer.
        int64_t number = -1;
        uint32_t good = 0;
        uint32_t bad = 0;
    };
    using Buckets = std::vector<Bucket>;

    mutable std::mutex m_mutex;
    std::map<std::string, Buckets, std::less<>> m_services;
};

} // namespace vanillalift
