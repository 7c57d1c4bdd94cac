#include "demand_history_p.h"

#include "policy/job_estimate_p.h"

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// As often as pools are planned.
    constexpr std::chrono::milliseconds updateInterval { 100 };
    /// Age from which a job says nothing about the present demand: twice the time constant of the slow average, and some for a difference
    /// of the clocks.
    constexpr std::chrono::milliseconds maxJobAge { 2000 };

} // namespace

DemandHistory::DemandHistory(const JobStore& store, const Clock& clock, bool usesLearnedRunTimes)
    : m_store(store)
    , m_clock(clock)
    , m_usesLearnedRunTimes(usesLearnedRunTimes)
{
}

void DemandHistory::add(const Job& job)
{
    bool isOld = wallClockMs() - job.acceptedAtMs > maxJobAge.count();
    // Jobs beyond the agreed rate run in room that nothing else wants.
    if (isOld || job.isBeyondRate || job.isLongRunning() || job.spec.occurrences != 0)
        return;
    auto estimate = estimateJob(job, 0, m_usesLearnedRunTimes ? &m_store.runTimes() : nullptr);
    m_arrivals[m_store.queueOf(job).service].add(estimate.totalWorkMs, estimate.totalMemoryMs / 1000, m_clock.now());
}

void DemandHistory::update()
{
    auto now = m_clock.now();
    if (now < m_nextUpdateAt)
        return;
    m_nextUpdateAt = now + updateInterval;
    Resources instance;
    for (const auto& [id, it] : m_store.endpoints()) {
        instance.cpu = std::max(instance.cpu, it.capacity.cpu);
        instance.memory = std::max(instance.memory, it.capacity.memory);
    }
    m_fleetSize = std::max(m_fleetSize, m_store.endpoints().size());
    for (const auto& [service, it] : arrivals())
        m_forecast.observe(service, toInstances(it.rate(), instance), m_fleetSize, now);
}

const std::map<std::string, ArrivalRate>& DemandHistory::arrivals()
{
    for (auto& [service, it] : m_arrivals)
        it.advance(m_clock.now());
    return m_arrivals;
}

double DemandHistory::expectedPeak(const std::string& pool) const { return m_forecast.expected(pool, m_clock.now()); }

double toInstances(const Resources& amount, const Resources& instance)
{
    auto share = [](int64_t part, int64_t whole) { return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0; };
    return std::max(share(amount.cpu, instance.cpu), share(amount.memory, instance.memory));
}

} // namespace vanillalift::jobs
