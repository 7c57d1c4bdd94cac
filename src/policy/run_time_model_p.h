#pragma once

#include <cstdint>
#include <string>

namespace vanillalift::jobs {

/// A task whose run time is estimated.
struct RunTimeKey {
    std::string queue;
    uint32_t step = 0;
    /// The caller's estimate, in milliseconds.
    double declaredMs = 0;
};

/// Estimates run times from what callers declare. All results are in milliseconds.
class RunTimeModel {
public:
    [[nodiscard]] double mean(const RunTimeKey& key) const;
    /// @param share of the runs that take at most the returned time.
    [[nodiscard]] double quantile(const RunTimeKey& key, double share) const;
    /// @returns the time that a run still takes after `elapsedMs`, which `share` of such runs do not exceed.
    [[nodiscard]] double remaining(const RunTimeKey& key, double elapsedMs, double share) const;
};

} // namespace vanillalift::jobs
