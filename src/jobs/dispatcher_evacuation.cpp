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

} // namespace vanillalift::jobs
