#include "dispatcher_p.h"

#include "core/event_log_p.h"
#include "policy/queue_order_p.h"

#include <vanillalift/config.h>

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// Time after a reservation was given up before its endpoint gets another one: others may use the room meanwhile.
    constexpr std::chrono::milliseconds reservationPause { 1000 };
    /// A run that has exceeded its estimate is expected to take this share of its past time longer.
    constexpr double overrunShare = 0.25;
    /// Least progress, in percent, from which the remaining time of a run is extrapolated.
    constexpr uint32_t minProgress = 20;
    /// Longest time for which reservations hold back a job's tasks while half of the pool is idle.
    constexpr std::chrono::milliseconds maxHoldTime { 2000 };

    Duration fromMs(double ms) { return std::chrono::microseconds(static_cast<int64_t>(ms * 1000)); }
    double toMs(Duration it) { return std::chrono::duration<double, std::milli>(it).count(); }

} // namespace

Duration Dispatcher::longRunTime(const JobPlan& plan, const TaskKey& key) const
{
    const auto& spec = plan.job->spec.steps[key.step];
    if (spec.isLongRunning)
        return Duration::max() / 4;
    const auto* runTimes = learnedRunTimes();
    return fromMs(runTimes ? runTimes->quantile(plan.job->runTimeKey(key.occurrence, key.step), reservationQuantile) : spec.estimateMs);
}

TimePoint Dispatcher::expectedEnd(const Run& run, TimePoint now) const
{
    if (run.mustStop)
        return now + m_desc.stopTimeout;
    auto elapsedMs = toMs(now - (run.startedAt == TimePoint {} ? run.placedAt : run.startedAt));
    const auto* runTimes = learnedRunTimes();
    auto remainingMs = runTimes ? runTimes->remaining(runTimeKeyOf(run), elapsedMs, reservationQuantile) : std::max(run.estimateMs - elapsedMs, 0.0);
    if (run.percent >= minProgress && run.startedAt != TimePoint {} && run.resumedFrom.empty()) {
        auto spentMs = toMs(run.progressAt - run.startedAt);
        auto totalMs = 100 * spentMs / run.percent;
        remainingMs = std::max(totalMs - elapsedMs, 0.0);
    }
    // Also of a run that has stalled after it reported progress.
    if (remainingMs == 0)
        remainingMs = overrunShare * elapsedMs;
    return now + fromMs(remainingMs);
}

uint32_t Dispatcher::waitingTasks(const JobPlan& plan, const TaskKey& step)
{
    return static_cast<uint32_t>(std::count_if(plan.ready.begin(), plan.ready.end(), [&](const auto& it) { return firstTaskOfStep(it) == step; }));
}

void Dispatcher::checkReservations(const std::string& service, TimePoint now)
{
    m_reservedSteps.clear();
    std::map<TaskKey, uint32_t> reserved;
    for (auto& [id, session] : m_sessions) {
        if (!session->reservation || session->endpoint.service != service)
            continue;
        auto& reservation = *session->reservation;
        if (auto fault = reservationFault(*session, now); !fault.empty()) {
            giveUpReservation(*session, fault);
            continue;
        }
        auto& tasks = reserved[reservation.step];
        auto waiting = waitingTasks(m_plans.at(reservation.step.job), reservation.step);
        if (tasks >= waiting) {
            giveUpReservation(*session, "placed-elsewhere");
            continue;
        }
        reservation.tasks = std::min(reservation.tasks, waiting - tasks);
        tasks += reservation.tasks;
        m_reservedSteps.insert(reservation.step);
    }
    for (const auto& [step, tasks] : reserved) {
        const auto& plan = m_plans.at(step.job);
        // A gang without room for one of its tasks does not start.
        if (!plan.job->spec.steps[step.step].isGang || tasks >= waitingTasks(plan, step))
            continue;
        m_reservedSteps.erase(step);
        for (auto& [id, session] : m_sessions) {
            if (session->reservation && session->reservation->step == step)
                giveUpReservation(*session, "gang-incomplete");
        }
    }
}

std::string_view Dispatcher::reservationFault(const EndpointSession& session, TimePoint now)
{
    const auto& reservation = *session.reservation;
    auto plan = m_plans.find(reservation.step.job);
    if (plan == m_plans.end())
        return "job-ended";
    if (session.endpoint.startedAtMs != reservation.endpointStartedAtMs || !isSchedulable(session, now))
        return "endpoint-lost";
    if (session.isDueForMaintenance)
        return "maintenance";
    if (now > reservation.givenUpAt)
        return "overdue";
    if (!reservation.need.fitsIn(session.usableCapacity()))
        return "capacity";
    const auto& job = *plan->second.job;
    const auto& step = job.spec.steps[reservation.step.step];
    if (!isWithinLimit(job, step, step.isGang ? step.taskCount : 1))
        return "limit";
    return now > latestStartOf(plan->second) ? "expired" : "";
}

void Dispatcher::giveUpReservation(EndpointSession& session, std::string_view cause)
{
    if (!session.reservation)
        return;
    const auto& it = *session.reservation;
    auto now = m_clock.now();
    m_stats.reservationsGivenUp++;
    m_log.line("reserve-end").field("job", it.step.job).field("task", it.step).field("endpoint", it.endpoint).field("cause", cause).field("late-ms", millisecondsUntil(now, it.at));
    session.reservation.reset();
    session.reservableFrom = now + reservationPause;
}

bool Dispatcher::wasHeldLong(const JobPlan& plan, TimePoint now) const { return m_isHalfIdle && plan.heldSince != TimePoint {} && now - plan.heldSince > maxHoldTime; }

void Dispatcher::markHeld(std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions, const JobPlan& plan, const TaskKey& key) const
{
    if (m_reservedSteps.empty())
        return;
    const auto& step = plan.job->spec.steps[key.step];
    auto need = reservedNeed(step);
    auto endsAt = m_clock.now() + longRunTime(plan, key);
    auto priority = m_store.queueOf(*plan.job).priority;
    bool isExempt = step.isLongRunning || wasHeldLong(plan, m_clock.now());
    for (size_t n = 0; n < candidates.size(); n++) {
        const auto& reservation = sessions[n]->reservation;
        if (!reservation || reservation->step == firstTaskOfStep(key)) {
            candidates[n].isHeldForOther = false;
            continue;
        }
        const auto& holder = *m_plans.at(reservation->step.job).job;
        bool ranksAbove = isExempt || priority < m_store.queueOf(holder).priority || (holder.isBeyondRate && !plan.job->isBeyondRate);
        candidates[n].isHeldForOther = !ranksAbove && !reservation->admits(need, endsAt);
    }
}

void Dispatcher::updateReservation(EndpointSession& session, JobPlan& plan, const TaskKey& key)
{
    m_stats.jobsBehindReservations += std::exchange(plan.heldSince, {}) != TimePoint {} ? 1 : 0;
    if (!session.reservation)
        return;
    auto& reservation = *session.reservation;
    auto now = m_clock.now();
    if (reservation.step != firstTaskOfStep(key))
        return reservation.addBackfill(reservedNeed(plan.job->spec.steps[key.step]), now + longRunTime(plan, key));
    if (--reservation.tasks > 0)
        return;
    m_stats.reservationsKept++;
    m_log.line("reserve-kept").field("job", plan.job->spec.id).field("task", key).field("endpoint", reservation.endpoint).field("late-ms", millisecondsUntil(now, reservation.at));
    session.reservation.reset();
}

TimePoint Dispatcher::latestStartOf(const JobPlan& plan)
{
    return plan.acceptedAt + expiryFactor * plan.objective - fromMs(plan.estimate.criticalPathMs);
}

void Dispatcher::makeReservations(const std::string& service, const std::vector<PlacementCandidate>& candidates, const std::vector<EndpointSession*>& sessions, const ShareRatios& shares)
{
    auto now = m_clock.now();
    size_t held = 0;
    Resources used;
    int64_t runs = 0;
    std::vector<ReservableEndpoint> endpoints;
    for (size_t n = 0; n < candidates.size(); n++) {
        const auto& session = *sessions[n];
        held += session.reservation ? 1 : 0;
        used += session.used;
        runs += session.liveRuns;
        bool isUsable = !session.reservation && now >= session.reservableFrom && !session.isDueForMaintenance && !candidates[n].isReserved && session.consecutiveFailures == 0;
        if (isUsable)
            endpoints.push_back({ n, session.freeCapacity(), session.usableCapacity(), 0, {} });
    }
    auto limit = reservationLimit(candidates.size());
    if (runs == 0 || held >= limit)
        return;
    Resources mean { used.cpu / runs, used.memory / runs, used.gpus / runs };
    std::vector<JobPlan*> plans;
    for (auto& [serial, plan] : m_plans) {
        if (plan.ready.empty() || isDeferred(plan) || plan.job->isLongRunning() || m_store.queueOf(*plan.job).service != service || now > latestStartOf(plan))
            continue;
        if (plan.hasWaitingGang || isLargeTask(plan.largestNeed, mean))
            plans.push_back(&plan);
    }
    size_t tried = 0;
    for (auto serial : rankPlans(plans, shares, now)) {
        const auto& plan = m_plans.at(serial);
        std::optional<TaskKey> last;
        for (const auto& key : plan.ready) {
            auto first = firstTaskOfStep(key);
            const auto& step = plan.job->spec.steps[key.step];
            if (std::exchange(last, first) == first || m_reservedSteps.contains(first) || !(step.isGang || isLargeTask(reservedNeed(step), mean)))
                continue;
            if (held >= limit || tried++ >= maxReservations)
                return;
            held += reserveRoom(plan, key, endpoints, sessions, limit - held);
        }
    }
}

size_t Dispatcher::reserveRoom(const JobPlan& plan, const TaskKey& key, std::span<const ReservableEndpoint> endpoints, const std::vector<EndpointSession*>& sessions, size_t limit)
{
    auto now = m_clock.now();
    const auto& job = *plan.job;
    const auto& step = job.spec.steps[key.step];
    const auto* task = job.findTask(key);
    bool isPlaceable = task->placements.empty() && !needsIsolation(task->possibleCrashes()) && isWithinLimit(job, step, step.isGang ? step.taskCount : 1);
    if (!isPlaceable)
        return 0;
    auto first = firstTaskOfStep(key);
    WaitingStep waiting { reservedNeed(step), waitingTasks(plan, first), step.isGang, step.maxPerEndpoint, latestStartOf(plan) };
    if (step.isGang && waiting.tasks != step.taskCount)
        return 0;
    bool isAdvised = m_store.queueOf(job).isAdvised;
    auto allowed = isAdvised ? adviceOf(key).allowedEndpoints(now) : std::vector<std::string>();
    std::vector<ReservableEndpoint> usable;
    for (const auto& it : endpoints) {
        const auto& endpoint = sessions[it.index]->endpoint;
        bool hasLabel = step.requiredLabel.empty() || std::find(endpoint.labels.begin(), endpoint.labels.end(), step.requiredLabel) != endpoint.labels.end();
        if (!hasLabel || sessions[it.index]->reservation || (isAdvised && std::find(allowed.begin(), allowed.end(), endpoint.id) == allowed.end()))
            continue;
        usable.push_back(it);
        usable.back().runsOfStep = step.maxPerEndpoint == 0 ? 0 : runsOfStep(*sessions[it.index], key);
    }
    std::vector<ReservableEndpoint> shortlist;
    for (auto n : shortlistEndpoints(waiting, usable)) {
        shortlist.push_back(std::move(usable[n]));
        for (const auto& [runKey, run] : sessions[shortlist.back().index]->runs) {
            if (!run.isLongRunning && run.phase != RunPhase::Ended)
                shortlist.back().releases.push_back({ expectedEnd(run, now), run.need });
        }
    }
    auto planned = planReservations(waiting, shortlist, limit, now);
    for (const auto& it : planned) {
        auto& session = *sessions[it.endpoint];
        session.reservation = Reservation { first, session.endpoint.id, session.endpoint.startedAtMs, waiting.need, it.tasks, it.at, it.givenUpAt, it.spare };
        m_stats.reservationsMade++;
        m_log.line("reserve").field("job", job.spec.id).field("task", first).field("tasks", it.tasks).field("endpoint", session.endpoint.id).field("cpu", waiting.need.cpu).field("memory", waiting.need.memory).field("ahead-ms", millisecondsUntil(it.at, now)).field("spare-cpu", it.spare.cpu).field("waited-ms", millisecondsUntil(now, plan.acceptedAt));
    }
    return planned.size();
}

} // namespace vanillalift::jobs
