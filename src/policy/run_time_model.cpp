#include "run_time_model_p.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <numbers>

namespace vanillalift::jobs {

namespace {

    /// Bounds of the state: further queues are not learned, and later steps count as the last.
    constexpr size_t maxQueues = 1000;
    constexpr size_t maxSteps = 8;
    /// Weight at which that of earlier runs is halved: a change of the work shows fully after about three times as many runs.
    constexpr int64_t maxRuns = 256;
    /// Weight of the rest of the queue for a step, in runs.
    constexpr double queueWeight = 8;
    /// Before anything was measured, declarations are held to be right, as from this many runs; the spread of the run times around
    /// them and of the declarations, as logarithms.
    constexpr double priorRuns = 8;
    constexpr double priorSpread = 0.4;
    constexpr double priorDeclaredSpread = 0.5;
    constexpr double minSpread = 0.05;
    /// A run belongs to the tail if it exceeds what its declaration lets expect by this, as a logarithm, and by this multiple of the
    /// spread. More than this share of the runs are no tail: the work has changed.
    constexpr double minTailExcess = 0.9;
    constexpr double tailSpreads = 2.5;
    constexpr double maxTailShare = 0.15;
    /// Smallest spread assumed within the tail.
    constexpr double minTailSpread = 0.3;
    /// A difference between tasks of one step from which it says more about the run's endpoint.
    constexpr double maxSiblingDifference = 0.9;
    /// Unit of the sums.
    constexpr double thousand = 1000;
    /// Runs after which tables are computed anew; fewer while little is known.
    constexpr int64_t runsPerRefresh = 8;
    constexpr double median = 0.5;
    /// How far a table reaches to either side of its location, in spreads.
    constexpr double tableSpreads = 5;

    int64_t logThousandths(double ms) { return std::llround(std::log(std::max(ms, 1.0)) * thousand); }

    /// @returns the share of a standard normal distribution above a value.
    double normalSurvival(double value) { return std::erfc(value / std::numbers::sqrt2) / 2; }

    /// Weighted sums of two groups of runs, as logarithms.
    struct WeightedSums {
        double runs = 0;
        double measured = 0;
        double declared = 0;
        double measuredSquares = 0;
        double declaredSquares = 0;
        double products = 0;
        double tailRuns = 0;
        double tailExcess = 0;
        double siblingRuns = 0;
        double siblingSquares = 0;

        void add(const RunTimeSums& it, double weight)
        {
            runs += weight * static_cast<double>(it.runs);
            measured += weight * static_cast<double>(it.measured) / thousand;
            declared += weight * static_cast<double>(it.declared) / thousand;
            measuredSquares += weight * static_cast<double>(it.measuredSquares) / (thousand * thousand);
            declaredSquares += weight * static_cast<double>(it.declaredSquares) / (thousand * thousand);
            products += weight * static_cast<double>(it.products) / (thousand * thousand);
            tailRuns += weight * static_cast<double>(it.tailRuns);
            tailExcess += weight * static_cast<double>(it.tailExcess) / thousand;
            siblingRuns += weight * static_cast<double>(it.siblingRuns);
            siblingSquares += weight * static_cast<double>(it.siblingSquares) / (thousand * thousand);
        }
    };

} // namespace

void RunTimeSums::add(int64_t logMeasured, int64_t logDeclared)
{
    runs++;
    measured += logMeasured;
    declared += logDeclared;
    measuredSquares += logMeasured * logMeasured;
    declaredSquares += logDeclared * logDeclared;
    products += logMeasured * logDeclared;
}

void RunTimeSums::halve()
{
    // Sums keep their ratio to their count, which is rounded: a variance is a small difference of large sums.
    auto scale = [](int64_t& count, std::initializer_list<int64_t*> sums) {
        auto half = count / 2;
        for (auto* it : sums)
            *it = count > 0 ? *it * half / count : 0;
        count = half;
    };
    scale(runs, { &measured, &declared, &measuredSquares, &declaredSquares, &products });
    scale(tailRuns, { &tailExcess });
    scale(siblingRuns, { &siblingSquares });
}

RunTimeFit fitRunTimes(const RunTimeSums& step, const RunTimeSums& queue)
{
    WeightedSums sums;
    sums.add(step, 1);
    auto queueRuns = static_cast<double>(queue.runs + queue.tailRuns);
    auto otherRuns = queueRuns - static_cast<double>(step.runs + step.tailRuns);
    if (otherRuns > 0)
        sums.add(queue, std::min(queueWeight, otherRuns) / queueRuns);
    RunTimeFit fit;
    // Normal with this mean, the logarithm has the declared time as the mean of the run times.
    constexpr double priorBias = -priorSpread * priorSpread / 2;
    constexpr double priorVariance = priorDeclaredSpread * priorDeclaredSpread;
    auto runs = std::max(sums.runs, 1e-9);
    fit.declaredCenter = sums.declared / runs;
    auto measuredCenter = sums.measured / runs;
    auto priorCenter = fit.declaredCenter + priorBias;
    fit.center = (sums.measured + priorRuns * priorCenter) / (sums.runs + priorRuns);
    auto declaredVariance = sums.declaredSquares - sums.declared * fit.declaredCenter + priorRuns * priorVariance;
    auto covariance = sums.products - sums.declared * measuredCenter + priorRuns * priorVariance;
    auto measuredVariance = sums.measuredSquares - sums.measured * measuredCenter + priorRuns * (priorVariance + priorSpread * priorSpread);
    measuredVariance += sums.runs * (measuredCenter - fit.center) * (measuredCenter - fit.center) + priorRuns * (priorCenter - fit.center) * (priorCenter - fit.center);
    fit.slope = std::clamp(covariance / declaredVariance, 0.0, 1.0);
    auto residual = measuredVariance - 2 * fit.slope * covariance + fit.slope * fit.slope * declaredVariance;
    fit.spread = std::sqrt(std::max(residual / (sums.runs + priorRuns), minSpread * minSpread));
    fit.tailShare = sums.tailRuns / (sums.runs + sums.tailRuns + priorRuns);
    fit.tailExcess = sums.tailRuns > 0 ? sums.tailExcess / sums.tailRuns : 0;
    auto siblingVariance = (sums.siblingSquares + priorRuns * priorSpread * priorSpread) / (sums.siblingRuns + priorRuns);
    fit.siblingSpread = std::sqrt(std::max(siblingVariance, minSpread * minSpread));
    return fit;
}

RunTimeTable::RunTimeTable(const RunTimeFit& fit)
    : m_scale(std::exp(fit.center - fit.slope * fit.declaredCenter))
    , m_slope(fit.slope)
{
    auto tailSpread = std::max(fit.spread, minTailSpread);
    m_mean = (1 - fit.tailShare) * std::exp(fit.spread * fit.spread / 2) + fit.tailShare * std::exp(fit.tailExcess + tailSpread * tailSpread / 2);
    auto low = -tableSpreads * fit.spread;
    auto high = std::max(tableSpreads * fit.spread, fit.tailShare > 0 ? fit.tailExcess + tableSpreads * tailSpread : 0);
    for (size_t n = 0; n < size; n++) {
        auto log = low + (high - low) * static_cast<double>(n) / (size - 1);
        m_times[n] = std::exp(log);
        m_survival[n] = (1 - fit.tailShare) * normalSurvival(log / fit.spread) + fit.tailShare * normalSurvival((log - fit.tailExcess) / tailSpread);
    }
}

double RunTimeTable::location(double declaredMs) const { return m_scale * (m_slope == 1 ? declaredMs : std::pow(declaredMs, m_slope)); }

double RunTimeTable::exceededBy(double survival) const
{
    auto it = std::lower_bound(m_survival.begin(), m_survival.end(), survival, std::greater<>());
    if (it == m_survival.begin())
        return m_times.front();
    if (it == m_survival.end())
        return m_times.back();
    auto n = static_cast<size_t>(it - m_survival.begin());
    auto part = (m_survival[n - 1] - survival) / std::max(m_survival[n - 1] - m_survival[n], 1e-300);
    return m_times[n - 1] + part * (m_times[n] - m_times[n - 1]);
}

double RunTimeTable::survival(double time) const
{
    auto it = std::lower_bound(m_times.begin(), m_times.end(), time);
    if (it == m_times.begin())
        return 1;
    if (it == m_times.end())
        return m_survival.back();
    auto n = static_cast<size_t>(it - m_times.begin());
    return m_survival[n - 1] + (m_survival[n] - m_survival[n - 1]) * (time - m_times[n - 1]) / (m_times[n] - m_times[n - 1]);
}

void RunTimeModel::add(const RunTimeKey& key, double measuredMs)
{
    if (key.declaredMs <= 0 || measuredMs <= 0 || (m_sums.size() >= maxQueues && !m_sums.contains(key.queue)))
        return;
    auto& queue = m_sums[key.queue];
    auto step = std::min<size_t>(key.step, maxSteps - 1);
    if (queue.steps.size() <= step)
        queue.steps.resize(step + 1);
    auto logMeasured = logThousandths(measuredMs);
    auto logDeclared = logThousandths(key.declaredMs);
    auto fit = fitRunTimes(queue.steps[step], queue.all);
    auto expected = fit.center + fit.slope * (static_cast<double>(logDeclared) / thousand - fit.declaredCenter);
    auto excess = logMeasured - std::llround(expected * thousand);
    bool isLong = static_cast<double>(excess) > thousand * std::max(minTailExcess, tailSpreads * fit.spread);
    auto difference = key.siblings > 0 ? logMeasured - logThousandths(key.siblingMs) : 0;
    bool isAlike = key.siblings > 0 && std::abs(static_cast<double>(difference)) <= maxSiblingDifference * thousand;
    for (auto* it : { &queue.steps[step], &queue.all }) {
        it->siblingRuns += isAlike ? 1 : 0;
        it->siblingSquares += isAlike ? difference * difference : 0;
        bool isTail = isLong && static_cast<double>(it->tailRuns + 1) <= maxTailShare * static_cast<double>(it->runs + it->tailRuns + 1);
        if (isTail) {
            it->tailRuns++;
            it->tailExcess += excess;
        } else {
            it->add(logMeasured, logDeclared);
        }
        if (it->runs + it->tailRuns >= maxRuns)
            it->halve();
    }
    if (auto tables = m_tables.find(key.queue); tables != m_tables.end()) {
        for (auto& it : tables->second)
            it.runsLeft--;
    }
}

void RunTimeModel::retainQueues(const std::function<bool(const std::string&)>& isKnown)
{
    std::erase_if(m_sums, [&](const auto& it) { return !isKnown(it.first); });
    std::erase_if(m_tables, [&](const auto& it) { return !isKnown(it.first); });
}

void RunTimeModel::restore(std::map<std::string, QueueSums> sums)
{
    m_sums = std::move(sums);
    m_tables.clear();
}

void RunTimeModel::compute(CachedTable& tables, const RunTimeFit& fit)
{
    tables.first = RunTimeTable(fit);
    tables.variance = fit.spread * fit.spread;
    tables.siblingVariance = fit.siblingSpread * fit.siblingSpread;
    RunTimeFit sibling;
    sibling.spread = std::min(fit.siblingSpread, fit.spread);
    tables.sibling = RunTimeTable(sibling);
    tables.isValid = true;
}

const RunTimeModel::CachedTable& RunTimeModel::tablesOf(const RunTimeKey& key) const
{
    static const CachedTable unknown = [] {
        CachedTable tables;
        compute(tables, fitRunTimes({}, {}));
        return tables;
    }();
    auto queue = m_sums.find(key.queue);
    if (queue == m_sums.end())
        return unknown;
    auto step = std::min<size_t>(key.step, maxSteps - 1);
    auto& tables = m_tables[key.queue];
    if (tables.size() <= step)
        tables.resize(step + 1);
    auto& cached = tables[step];
    if (!cached.isValid || cached.runsLeft <= 0) {
        static const RunTimeSums none;
        const auto& sums = step < queue->second.steps.size() ? queue->second.steps[step] : none;
        compute(cached, fitRunTimes(sums, queue->second.all));
        cached.runsLeft = std::clamp<int64_t>((sums.runs + sums.tailRuns) / runsPerRefresh, 1, runsPerRefresh);
    }
    return cached;
}

RunTimeModel::Distribution RunTimeModel::distributionOf(const RunTimeKey& key) const
{
    const auto& tables = tablesOf(key);
    auto location = tables.first.location(key.declaredMs);
    if (key.siblings == 0 || key.siblingMs <= 0)
        return { &tables.first, location };
    auto known = key.siblings * tables.variance;
    return { &tables.sibling, location * std::pow(key.siblingMs / location, known / (known + tables.siblingVariance)) };
}

double RunTimeModel::mean(const RunTimeKey& key) const
{
    if (key.declaredMs <= 0)
        return 0;
    auto it = distributionOf(key);
    return it.location * it.table->mean();
}

double RunTimeModel::longest(const RunTimeKey& key, uint32_t tasks) const
{
    if (tasks <= 1)
        return quantile(key, median);
    // The longest of n is as likely above as below the time that ln 2 / n of the tasks exceed.
    return quantile(key, median) * std::max(1.0, tablesOf(key).sibling.exceededBy(std::numbers::ln2 / tasks));
}

double RunTimeModel::quantile(const RunTimeKey& key, double share) const
{
    if (key.declaredMs <= 0)
        return 0;
    auto it = distributionOf(key);
    return it.location * it.table->exceededBy(1 - share);
}

double RunTimeModel::remaining(const RunTimeKey& key, double elapsedMs, double share) const
{
    if (key.declaredMs <= 0)
        return 0;
    auto [table, location] = distributionOf(key);
    auto elapsed = elapsedMs / location;
    // Nothing is known about runs this long: half of them take as long again.
    if (elapsed >= table->longest())
        return elapsedMs * share / std::max(1 - share, 1e-3);
    return std::max(0.0, table->exceededBy(table->survival(elapsed) * (1 - share)) - elapsed) * location;
}

std::map<std::string, RunTimeModel::Summary> RunTimeModel::summaries() const
{
    std::map<std::string, Summary> summaries;
    for (const auto& [name, it] : m_sums) {
        const auto& sums = it.all;
        if (sums.runs == 0)
            continue;
        auto fit = fitRunTimes(sums, {});
        auto runs = static_cast<double>(sums.runs) * thousand;
        auto& summary = summaries[name];
        summary.runs = sums.runs + sums.tailRuns;
        summary.typicalMs = std::exp(static_cast<double>(sums.measured) / runs);
        summary.declaredBias = static_cast<double>(sums.measured - sums.declared) / runs;
        auto squares = static_cast<double>(sums.measuredSquares + sums.declaredSquares - 2 * sums.products) / (runs * thousand);
        summary.declaredError = std::sqrt(std::max(0.0, squares - summary.declaredBias * summary.declaredBias));
        summary.spread = fit.spread;
        summary.siblingSpread = fit.siblingSpread;
        summary.slope = fit.slope;
        summary.tailShare = static_cast<double>(sums.tailRuns) / static_cast<double>(summary.runs);
        summary.tailFactor = std::exp(fit.tailExcess);
    }
    return summaries;
}

} // namespace vanillalift::jobs
