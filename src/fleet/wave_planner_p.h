#pragma once

#include "fleet_model_p.h"

#include <variant>

namespace vanillalift {

/// Takes batches by failure domain within the availability budget, and doubles the batch size while batches return healthy.
struct DoublingBatch {
};
/// Baseline for comparison: one instance of the wave at a time, within the availability budget.
struct OneAtATime {
};
/// Baseline for comparison: a fixed fraction of each pool at once, regardless of the pool's free capacity.
struct FixedFraction {
    double fraction = 0.25;
};
using BatchPolicy = std::variant<DoublingBatch, OneAtATime, FixedFraction>;

struct WavePlannerOptions {
    BatchPolicy policy = DoublingBatch {};
    /// Failures of instances within this time are correlated.
    int64_t correlationWindowMs = 10 * 60 * 1000;
    /// Number of correlated failures that halts a wave.
    int64_t correlatedFailures = 2;
};

/// Selects the next batch of each running wave, and halts or finishes waves. Stateless.
class WavePlanner {
public:
    explicit WavePlanner(WavePlannerOptions options = {})
        : m_options(options)
    {
    }

    [[nodiscard]] std::vector<FleetAction> plan(const FleetModel& model) const;

    /// @returns why no instance of the wave can be started now, or an empty string.
    [[nodiscard]] std::string explain(const FleetModel& model, const Wave& wave) const;

private:
    [[nodiscard]] std::optional<FleetAction> planHalt(const FleetModel& model, const Wave& wave) const;

    WavePlannerOptions m_options;
};

} // namespace vanillalift
