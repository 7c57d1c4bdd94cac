#include "instance_manager_p.h"

#include "core/event_log_p.h"

#include <vanillalift/config.h>

#include <algorithm>
#include <array>

namespace vanillalift::jobs {

namespace {

    /// Planning the waves takes longer than a tick of the controller and is not urgent, so it does not run on each one. What a pass takes
    /// grows with the fleet, and the same thread starts the tasks.
    constexpr PacedIntervalDesc updatePace { std::chrono::milliseconds(50), std::chrono::milliseconds(1000), 0.2 };
    /// List requests while a wave is open: they show when an instance is up again. Each call is billed.
    constexpr std::chrono::milliseconds listInterval { 800 };
    /// Added while no wave is open: the list then only shows which instances are spare.
    constexpr std::chrono::milliseconds idleListDelay { 2500 };
    /// Long, because the platform can be slow while it is available.
    constexpr std::chrono::milliseconds listTimeout { 3000 };
    /// Share of the platform's rate limit that this leader uses: the last calls of the previous leader may still count.
    constexpr double callRateShare = 0.9;

    /// Pools are planned only while the leader's authority lasts this much longer, that is, up to two intervals of the log's messages after
    /// its last contact with a majority. A leader that is cut off accepts no jobs, so that its pools seem to have no demand.
    constexpr std::chrono::milliseconds minAuthorityForPools { 300 };

    /// An instance missing from the platform's lists for this long has been removed. During a wave they are requested about
    /// once a second.
    constexpr std::chrono::milliseconds removedAfter { 4000 };

    /// Moving a task takes a second or so, and looking for room elsewhere has its cost in a large fleet.
    constexpr std::chrono::milliseconds vacateInterval { 200 };
    /// Interval of log lines about what still runs in evacuated zones.
    constexpr std::chrono::milliseconds vacateLogInterval { 3000 };

    std::string_view stateName(InstanceState state)
    {
        constexpr std::array<std::string_view, static_cast<size_t>(InstanceState::InstanceStateCount)> names { "up", "moving", "maintenance", "down" };
        return names.at(static_cast<size_t>(state));
    }

} // namespace

InstanceManager::InstanceManager(InstanceManagerDesc desc, uint64_t term, JobStore& store, Dispatcher& dispatcher, InstanceService& service, std::function<void(Command)> propose, std::function<TimePoint()> authorityEndsAt, const Clock& clock, EventLog& log)
    : m_desc(desc)
    , m_term(term)
    , m_store(store)
    , m_dispatcher(dispatcher)
    , m_service(service)
    , m_propose(std::move(propose))
    , m_authorityEndsAt(std::move(authorityEndsAt))
    , m_clock(clock)
    , m_log(log)
    , m_startedAt(clock.now())
    , m_pace(updatePace)
    , m_tokensUpdatedAt(clock.now())
{
    // Before the first placement of this term: the platform may still carry out what an earlier leader has requested.
    if (m_desc.isEnabled)
        updateCordons();
}

InstanceManager::~InstanceManager() { *m_isAlive = false; }

bool InstanceManager::takeCallToken()
{
    auto now = m_clock.now();
    auto rate = m_desc.callsPerSecond * callRateShare;
    m_callTokens = std::min(rate + 1, m_callTokens + std::chrono::duration<double>(now - m_tokensUpdatedAt).count() * rate);
    m_tokensUpdatedAt = now;
    if (m_callTokens < 1)
        return false;
    m_callTokens--;
    return true;
}

void InstanceManager::tick()
{
    auto now = m_clock.now();
    if (!m_pace.isDue(now) || now >= m_authorityEndsAt())
        return;
    update();
    m_pace.recordPass(now, m_clock.now());
}

void InstanceManager::update()
{
    auto now = m_clock.now();
    vacateZones();
    if (!m_desc.isEnabled)
        return;
    bool hasOpenWave = std::any_of(m_store.waves().begin(), m_store.waves().end(), [](const auto& it) { return !it.second.isComplete(); });
    bool isListDue = now >= m_nextListAt + (hasOpenWave ? Duration::zero() : Duration(idleListDelay));
    if (!m_isListing && (isListDue || !m_hasList))
        listInstances();
    if (!m_hasList)
        return updateCordons();
    updateReturns();
    for (const auto& [number, wave] : m_store.waves()) {
        if (!wave.isComplete())
            updateWave(wave);
    }
    finishMoves();
    if (now >= m_nextPoolPlanAt && now + minAuthorityForPools < m_authorityEndsAt())
        updatePools();
    updateCordons();
}

void InstanceManager::listInstances()
{
    if (!takeCallToken())
        return;
    m_isListing = true;
    m_listing.clear();
    listPage("", m_clock.now());
}

void InstanceManager::listPage(const std::string& token, TimePoint sentAt)
{
    m_service.list(token, m_clock.now() + listTimeout, [this, sentAt, isAlive = m_isAlive](std::optional<std::vector<Instance>> instances, const std::string& next) {
        if (!*isAlive)
            return;
        auto now = m_clock.now();
        if (!instances) {
            m_isListing = false;
            m_nextListAt = now + listInterval;
            m_log.decisionLine("instances-unread");
            return;
        }
        for (auto& it : *instances)
            m_listing[it.name] = std::move(it);
        if (!next.empty())
            return listPage(next, sentAt);
        m_isListing = false;
        m_hasList = true;
        m_listedAt = sentAt;
        m_nextListAt = now + listInterval;
        m_instances.clear();
        for (auto& [name, it] : std::exchange(m_listing, {}))
            m_instances[name] = { std::move(it), sentAt };
        adoptMoves();
    });
}

const Endpoint* InstanceManager::endpointOf(const std::string& instance) const
{
    if (const auto* endpoint = m_store.findEndpointByInstance(instance))
        return endpoint;
    auto known = m_instances.find(instance);
    return known == m_instances.end() ? nullptr : m_store.findEndpoint(known->second.instance.endpoint);
}

const EndpointSession* InstanceManager::sessionOf(const std::string& instance) const
{
    const auto* endpoint = endpointOf(instance);
    if (!endpoint)
        return nullptr;
    auto it = m_dispatcher.sessions().find(endpoint->id);
    return it == m_dispatcher.sessions().end() ? nullptr : it->second.get();
}

InstanceManager::WaveStats InstanceManager::waveStats() const
{
    auto stats = m_waveStats;
    for (const auto& [key, progress] : m_progress) {
        auto wave = m_store.waves().find(key.first);
        bool isOpen = wave != m_store.waves().end() && !wave->second.isComplete();
        stats.held += isOpen && progress.isHeldForRoom ? 1 : 0;
    }
    return stats;
}

WaveInstance InstanceManager::describe(const WaveState& wave, const std::string& name)
{
    WaveInstance described;
    described.name = name;
    auto& progress = m_progress[{ wave.wave.number, name }];
    auto known = m_instances.find(name);
    bool isMaintained = wave.isMaintained(name);
    bool wasRequested = progress.isRequested || wave.isRequested(name);
    described.isMaintenanceStarted = isMaintained || wasRequested;
    described.isDown = (isMaintained && !progress.hasReturned) || (wasRequested && !isMaintained);
    if (described.isMaintenanceStarted)
        return described;
    described.isBlocked = known != m_instances.end() && known->second.instance.state != InstanceState::Up && known->second.instance.state != InstanceState::Down;
    const auto* pool = known == m_instances.end() ? nullptr : m_store.catalog().serviceNamed(known->second.instance.pool);
    described.isSpare = pool && pool->isSpare;
    const auto* session = sessionOf(name);
    described.isEvacuated = known != m_instances.end() && isEvacuated(known->second, session);
    described.isDraining = progress.drainingSince != TimePoint {};
    described.drainingSince = progress.drainingSince;
    described.isHeld = m_clock.now() < progress.heldUntil;
    if (!session)
        return described;
    described.runs = session->liveRuns;
    described.runsOfLongRunningTasks = session->runsOfLongRunningTasks;
    auto capacity = session->endpoint.capacity.cpu;
    described.load = capacity > 0 ? static_cast<double>(session->used.cpu) / static_cast<double>(capacity) : 0;
    if (described.isDraining)
        describeDrain(described, progress, *session);
    return described;
}

void InstanceManager::updateReturns()
{
    for (auto& [key, progress] : m_progress) {
        auto wave = m_store.waves().find(key.first);
        if (progress.hasReturned || wave == m_store.waves().end() || !wave->second.isMaintained(key.second))
            continue;
        auto known = m_instances.find(key.second);
        // An instance that is no longer listed has been removed.
        progress.hasReturned = known == m_instances.end() || (known->second.requestedAt > progress.acceptedAt && known->second.instance.state == InstanceState::Up);
    }
}

void InstanceManager::updateWave(const WaveState& wave)
{
    auto now = m_clock.now();
    std::vector<WaveInstance> instances;
    for (const auto& name : wave.wave.instances)
        instances.push_back(describe(wave, name));
    WaveConstraints constraints;
    constraints.dueAt = now + std::chrono::milliseconds(wave.wave.dueAtMs - wallClockMs());
    constraints.maintenanceTime = m_desc.maintenanceTime;
    constraints.maxConcurrent = wave.wave.maxConcurrent;
    auto actions = planWave(instances, constraints, now);
    for (auto n : actions.drain)
        startDrain(wave, instances[n]);
    if (m_areCordonsOutdated)
        updateCordons();
    for (auto n : actions.maintain)
        startMaintenance(wave, instances[n].name);
    for (auto n : actions.pause)
        pauseTasks(wave, instances[n].name);
    for (auto n : actions.forceDrain) {
        if (const auto* session = sessionOf(instances[n].name))
            stopShortTasks(*session);
    }
    for (const auto& it : instances) {
        if (it.isDraining && !it.isMaintenanceStarted)
            checkDrain(wave, it.name);
        // No answer to a request of this leader or of an earlier one is on record.
        if (it.isMaintenanceStarted && !wave.isMaintained(it.name))
            requestMaintenance(wave.wave.number, it.name);
    }
}

void InstanceManager::startMaintenance(const WaveState& wave, const std::string& name)
{
    auto& progress = m_progress[{ wave.wave.number, name }];
    if (progress.isRequested)
        return;
    // Recorded in the log before the call, so that a later leader counts the instance as down.
    progress.isRequested = true;
    m_log.line("wave-maintain").field("wave", wave.wave.number).field("instance", name);
    m_propose(RequestMaintenance { wave.wave.number, name });
}

void InstanceManager::requestMaintenance(uint64_t wave, const std::string& name)
{
    auto now = m_clock.now();
    auto& progress = m_progress[{ wave, name }];
    auto state = m_store.waves().find(wave);
    if (state == m_store.waves().end() || !state->second.isRequested(name) || now < progress.nextCallAt || !takeCallToken())
        return;
    progress.nextCallAt = now + callTimeout + callRetryDelay;
    progress.wasRefused = false;
    m_service.maintain(name, wave, m_term, m_authorityEndsAt(), now + callTimeout, [this, wave, name, isAlive = m_isAlive](InstanceReplyStatus status) {
        if (!*isAlive)
            return;
        auto now = m_clock.now();
        auto& progress = m_progress[{ wave, name }];
        auto known = m_instances.find(name);
        auto state = known == m_instances.end() ? std::string_view("not-listed") : stateName(known->second.instance.state);
        m_log.decisionLine("wave-order").field("wave", wave).field("instance", name).field("status", instanceReplyStatusName(status)).field("listed", state);
        if (status == InstanceReplyStatus::Accepted || status == InstanceReplyStatus::Impossible || status == InstanceReplyStatus::NotInWave) {
            progress.acceptedAt = now;
            progress.hasReturned = status != InstanceReplyStatus::Accepted;
            m_propose(MarkMaintained { wave, name });
            return;
        }
        progress.nextCallAt = now + callRetryDelay;
        progress.wasRefused = status != InstanceReplyStatus::Unknown;
        // An instance that is down is still listed and can return. One that the platform neither lists nor accepts requests
        // for has been removed. A single list proves nothing, since it can omit an instance that changes pages meanwhile.
        bool isUnlisted = status == InstanceReplyStatus::Busy && known == m_instances.end() && !m_instances.empty();
        if (!isUnlisted)
            progress.unlistedSince = {};
        else if (progress.unlistedSince == TimePoint {})
            progress.unlistedSince = now;
        else if (m_instances.begin()->second.requestedAt - progress.unlistedSince >= removedAfter)
            m_propose(MarkMaintained { wave, name });
    });
}

bool InstanceManager::isEvacuated(const ListedInstance& known, const EndpointSession* session) const
{
    if (session)
        return session->isEvacuated;
    return m_desc.features.evacuation && m_store.evacuations().contains(known.instance.availabilityZone);
}

void InstanceManager::vacateZones()
{
    auto now = m_clock.now();
    if (!m_desc.features.evacuation || m_store.evacuations().empty() || now < m_nextVacateAt)
        return;
    m_nextVacateAt = now + vacateInterval;
    struct Remaining {
        size_t runs = 0;
        size_t longTasks = 0;
        size_t stopping = 0;
        size_t withoutRoom = 0;
        size_t withoutSubstitute = 0;
    };
    std::map<std::string_view, Remaining> remaining;
    std::vector<std::pair<const EndpointSession*, RunKey>> movable;
    // Pools of which a task is being moved: the next one is moved once that one is placed.
    std::set<std::string_view> busyPools;
    for (const auto& [id, session] : m_dispatcher.sessions()) {
        if (!session->isEvacuated)
            continue;
        auto& zone = remaining[session->endpoint.availabilityZone];
        for (const auto& [key, run] : session->runs) {
            if (run.phase == RunPhase::Ended)
                continue;
            zone.runs++;
            zone.longTasks += run.isLongRunning ? 1 : 0;
            zone.stopping += run.mustStop ? 1 : 0;
            if (run.isLongRunning && run.mustStop)
                busyPools.insert(session->endpoint.service);
            else if (run.isLongRunning && run.phase == RunPhase::Running)
                movable.emplace_back(session.get(), key);
        }
    }
    for (const auto& [session, key] : movable) {
        const auto& pool = session->endpoint.service;
        if (busyPools.contains(pool) || m_dispatcher.hasPlaceableLongRunningTasks(pool))
            continue;
        auto& zone = remaining[session->endpoint.availabilityZone];
        if (!mayStop(key, ReportAge::Latest)) {
            zone.withoutSubstitute++;
            continue;
        }
        auto room = m_dispatcher.holdRoomElsewhere(*session, key);
        zone.withoutRoom += room == Dispatcher::HeldRoom::Free ? 0 : 1;
        if (room == Dispatcher::HeldRoom::Free && mayStop(key, ReportAge::Fresh))
            m_dispatcher.moveAway(session->endpoint.id, key);
        // Room is awaited for one task of a pool at a time, as what becomes free is idle meanwhile.
        if (room != Dispatcher::HeldRoom::None)
            busyPools.insert(pool);
    }
    if (now < m_nextVacateLogAt)
        return;
    m_nextVacateLogAt = now + vacateLogInterval;
    for (const auto& [zone, it] : remaining)
        m_log.stateLine("evacuation-runs").field("zone", zone).field("runs", it.runs).field("lasting", it.longTasks).field("stopping", it.stopping).field("no-room", it.withoutRoom).field("no-substitute", it.withoutSubstitute);
}

void InstanceManager::updateCordons()
{
    m_areCordonsOutdated = false;
    std::set<std::string> cordoned;
    std::set<std::string> takenDown;
    std::set<std::string> due;
    auto addInstance = [&](const WaveState& wave, const std::string& name, const WaveProgress& progress) {
        bool isRequested = progress.isRequested || wave.isRequested(name);
        bool isMaintained = wave.isMaintained(name);
        const auto* session = isRequested ? sessionOf(name) : nullptr;
        // What was accepted in an earlier term has ended the endpoint before this term's first contact with it.
        bool mayBeDown = isMaintained ? session && !progress.hasReturned && session->reconciledAt <= progress.acceptedAt : !progress.wasRefused;
        if (session && mayBeDown)
            takenDown.insert(session->endpoint.id);
        bool isDue = !isMaintained && (isRequested || progress.drainingSince != TimePoint {});
        if (const auto* endpoint = isDue ? endpointOf(name) : nullptr)
            cordoned.insert(endpoint->id);
        // The endpoint that the maintenance has ended is still on record until the next one reports.
        if (isMaintained && session && mayBeDown)
            cordoned.insert(session->endpoint.id);
    };
    for (const auto& [number, wave] : m_store.waves()) {
        for (const auto& name : wave.wave.instances) {
            const auto* endpoint = wave.isComplete() || wave.isMaintained(name) ? nullptr : endpointOf(name);
            if (endpoint)
                due.insert(endpoint->id);
        }
        // Requested by an earlier leader, and not looked at in this term.
        for (const auto& name : wave.requested) {
            if (!wave.isComplete() && !m_progress.contains({ number, name }))
                addInstance(wave, name, {});
        }
    }
    for (const auto& [key, progress] : m_progress) {
        auto wave = m_store.waves().find(key.first);
        if (wave != m_store.waves().end())
            addInstance(wave->second, key.second, progress);
    }
    for (const auto& [name, move] : m_moves) {
        const auto* endpoint = endpointOf(name);
        if (!endpoint || (move.isAccepted && endpoint->service == move.pool))
            continue;
        cordoned.insert(endpoint->id);
        if (!move.pool.empty())
            takenDown.insert(endpoint->id);
    }
    m_dispatcher.setCordoned(cordoned);
    m_dispatcher.setTakenDown(takenDown);
    m_dispatcher.setDueForMaintenance(due);
}

} // namespace vanillalift::jobs
