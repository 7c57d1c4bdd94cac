#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/job.h>

#include <array>
#include <map>
#include <span>
#include <string>

namespace vanillalift::jobs {

/// A workspace with tasks that wait for room in a pool.
struct Competitor {
    std::string workspace;
    double weight = 1;
};

/// What the workspaces have used of one pool, averaged over the last seconds.
class FairShare {
public:
    /// Records a change of what runs of the workspace hold.
    void change(const std::string& workspace, const Resources& difference, TimePoint now);
    /// Divides the resource of which the pool has the least left among the competitors by their weights.
    /// @param capacity of the pool.
    /// @returns what each has used relative to its part: 1 for exactly that. A workspace that gets nothing more falls to a part x of its
    /// ratio within ln(1 / x) of the averaging time.
    [[nodiscard]] std::map<std::string, double> ratios(std::span<const Competitor> competitors, const Resources& capacity, TimePoint now) const;

private:
    using Amounts = std::array<double, 3>;
    struct Use {
        Amounts held {};
        Amounts average {};
        TimePoint updatedAt;
    };
    [[nodiscard]] static Amounts averageAt(const Use& use, TimePoint now);

    std::map<std::string, Use> m_uses;
};

} // namespace vanillalift::jobs
