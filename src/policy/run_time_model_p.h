#pragma once

#include <msgpack.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace vanillalift::jobs {

/// A task whose run time is estimated.
struct RunTimeKey {
    std::string queue;
    uint32_t step = 0;
    /// The caller's estimate, in milliseconds.
    double declaredMs = 0;
    /// Runs of tasks of the same step of the same job that are done, and their mean run time.
    uint32_t siblings = 0;
    double siblingMs = 0;
};

/// Sums over the measured runs of a queue or of one of its steps. Logarithms of milliseconds count in thousandths, as integers, so
/// that all controllers hold the same sums.
struct RunTimeSums {
    int64_t runs = 0;
    int64_t measured = 0;
    int64_t declared = 0;
    int64_t measuredSquares = 0;
    int64_t declaredSquares = 0;
    int64_t products = 0;
    /// Runs that took many times as long as others of their declaration, which the sums above leave out, and by how much.
    int64_t tailRuns = 0;
    int64_t tailExcess = 0;
    /// Runs that followed others of their job's step, and the squares of their differences from those.
    int64_t siblingRuns = 0;
    int64_t siblingSquares = 0;
    MSGPACK_DEFINE(runs, measured, declared, measuredSquares, declaredSquares, products, tailRuns, tailExcess, siblingRuns, siblingSquares)

    void add(int64_t logMeasured, int64_t logDeclared);
    /// Halves the weight of all runs so far.
    void halve();
};

/// Distribution of run times by declaration: the logarithm is normal around `center + slope * (log(declared) - declaredCenter)`,
/// except for a share of the runs that take longer by a factor.
struct RunTimeFit {
    double center = 0;
    double declaredCenter = 0;
    double slope = 1;
    double spread = 0;
    double tailShare = 0;
    /// Logarithm of the factor by which runs of the tail take longer than others.
    double tailExcess = 0;
    /// Spread of the logarithm among the tasks of one job's step.
    double siblingSpread = 0;
};

/// @param queue sums of the whole queue, which count for a few runs.
RunTimeFit fitRunTimes(const RunTimeSums& step, const RunTimeSums& queue);

/// Distribution of run times relative to its location, tabulated so that a look-up needs no logarithm.
class RunTimeTable {
public:
    RunTimeTable() = default;
    explicit RunTimeTable(const RunTimeFit& fit);

    /// @returns the location for a declaration, in milliseconds: about the median.
    [[nodiscard]] double location(double declaredMs) const;
    /// @returns the mean relative to the location.
    [[nodiscard]] double mean() const { return m_mean; }
    /// @returns the relative time that `survival` of the runs exceed.
    [[nodiscard]] double exceededBy(double survival) const;
    /// @returns the share of runs that exceed a relative time.
    [[nodiscard]] double survival(double time) const;
    [[nodiscard]] double longest() const { return m_times.back(); }

private:
    static constexpr size_t size = 64;
    double m_scale = 1;
    double m_slope = 1;
    double m_mean = 1;
    /// Ascending times, and the share of runs that exceed each.
    std::array<double, size> m_times {};
    std::array<double, size> m_survival {};
};

/// Estimates run times from what callers declare and from how long earlier runs of the queue took: declarations that hold are kept,
/// others give way to the queue's history. Old runs lose weight by the number of newer ones. All results are in milliseconds.
class RunTimeModel {
public:
    /// Adds a completed run.
    void add(const RunTimeKey& key, double measuredMs);
    /// Forgets the queues for which the function returns false.
    void retainQueues(const std::function<bool(const std::string&)>& isKnown);

    [[nodiscard]] double mean(const RunTimeKey& key) const;
    /// @returns the median time of the longest of several tasks of one job's step.
    [[nodiscard]] double longest(const RunTimeKey& key, uint32_t tasks) const;
    /// @param share of the runs that take at most the returned time.
    [[nodiscard]] double quantile(const RunTimeKey& key, double share) const;
    /// @returns the time that a run still takes after `elapsedMs`, which `share` of such runs do not exceed.
    [[nodiscard]] double remaining(const RunTimeKey& key, double elapsedMs, double share) const;

    /// What is known of one queue, for operators.
    struct Summary {
        int64_t runs = 0;
        /// Geometric mean of the run times, in milliseconds.
        double typicalMs = 0;
        /// Spread of the logarithm, given the declaration.
        double spread = 0;
        /// The same among the tasks of one job's step.
        double siblingSpread = 0;
        /// Mean and spread of the logarithm of measured to declared time.
        double declaredBias = 0;
        double declaredError = 0;
        /// How far an estimate follows the declaration: 1 fully, 0 not at all.
        double slope = 1;
        double tailShare = 0;
        double tailFactor = 1;
    };
    [[nodiscard]] std::map<std::string, Summary> summaries() const;

    /// The replicated part of the state.
    struct QueueSums {
        RunTimeSums all;
        std::vector<RunTimeSums> steps;
        MSGPACK_DEFINE(all, steps)
    };
    [[nodiscard]] const std::map<std::string, QueueSums>& sums() const { return m_sums; }
    void restore(std::map<std::string, QueueSums> sums);

private:
    struct CachedTable {
        /// For tasks of a step of which no task is done, and of others.
        RunTimeTable first;
        RunTimeTable sibling;
        /// Squares of the spreads.
        double variance = 0;
        double siblingVariance = 0;
        /// Runs until it is computed anew.
        int64_t runsLeft = 0;
        bool isValid = false;
    };
    /// The distribution for a task: a table, and the location that its times are relative to.
    struct Distribution {
        const RunTimeTable* table = nullptr;
        double location = 0;
    };
    [[nodiscard]] const CachedTable& tablesOf(const RunTimeKey& key) const;
    [[nodiscard]] Distribution distributionOf(const RunTimeKey& key) const;
    static void compute(CachedTable& tables, const RunTimeFit& fit);

    std::map<std::string, QueueSums> m_sums;
    /// By queue and step; not part of the state.
    mutable std::map<std::string, std::vector<CachedTable>> m_tables;
};

} // namespace vanillalift::jobs
