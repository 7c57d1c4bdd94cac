#include "dispatcher_p.h"

#include "core/event_log_p.h"

namespace vanillalift::jobs {

void Dispatcher::updateEvacuation(EndpointSession& session)
{
    session.isEvacuated = m_desc.features.evacuation && m_store.evacuations().contains(session.endpoint.availabilityZone);
    if (!session.isEvacuated)
        return;
    // Starts that were not sent are withdrawn, and those without a reply are stopped, see sendDueRequest().
    for (auto& [key, run] : session.runs) {
        if (run.phase == RunPhase::Starting)
            run.nextRunRequestAt = {};
    }
}

void Dispatcher::onEvacuation(const std::string& zone)
{
    if (!m_desc.features.evacuation)
        return;
    size_t endpoints = 0;
    size_t runs = 0;
    for (auto& [id, session] : m_sessions) {
        if (session->endpoint.availabilityZone != zone)
            continue;
        updateEvacuation(*session);
        endpoints++;
        runs += session->liveRuns;
    }
    m_log.stateLine("evacuation").field("zone", zone).field("evacuated", m_store.evacuations().contains(zone)).field("endpoints", endpoints).field("runs", runs);
    retryAllPlacements();
}

bool Dispatcher::hasRoomElsewhere(const Run& run) const
{
    const auto* job = m_store.findJob(run.jobId);
    if (!job || run.key.task.step >= job->spec.steps.size())
        return false;
    auto now = m_clock.now();
    const auto& step = job->spec.steps[run.key.task.step];
    const auto& service = m_store.queueOf(*job).service;
    std::vector<PlacementCandidate> candidates;
    for (const auto& [id, session] : m_sessions) {
        if (session->endpoint.service != service || !isSchedulable(*session, now) || !session->isCapacityCertain(now, m_desc.maxCapacityReportAge))
            continue;
        PlacementCandidate candidate;
        candidate.endpoint = &session->endpoint;
        candidate.free = session->freeCapacity();
        preparePlacement(candidate, *session, run.key.task, step);
        candidates.push_back(candidate);
    }
    return choosePlacement(step, {}, candidates).has_value();
}

} // namespace vanillalift::jobs
