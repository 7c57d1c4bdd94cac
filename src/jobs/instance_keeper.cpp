#include "instance_keeper_p.h"

#include "core/event_log_p.h"

#include <vanillalift/config.h>

#include <algorithm>
#include <array>

namespace vanillalift::jobs {

namespace {

    /// A plan for waves takes longer than a tick of the controller, and nothing in it is more urgent.
    constexpr std::chrono::milliseconds tickInterval { 50 };
    /// Readings while a wave is open: they tell when an instance is back, and each one is paid for.
    constexpr std::chrono::milliseconds readInterval { 800 };
    /// Readings while no wave is open: they only tell which instances are spare.
    constexpr std::chrono::milliseconds calmReadInterval { 2500 };
    /// The platform may be slow without being unavailable.
    constexpr std::chrono::milliseconds readTimeout { 3000 };
    /// Part of the platform's rate that this leader uses: an earlier leader's last calls may still count.
    constexpr double rateShare = 0.9;

    /// Time without an instance in the platform's lists, read about once a second in a wave, after which it has left.
    constexpr std::chrono::milliseconds goneAfter { 4000 };

    std::string_view stateName(InstanceState state)
    {
        constexpr std::array<std::string_view, static_cast<size_t>(InstanceState::InstanceStateCount)> names { "up", "moving", "maintenance", "down" };
        return names.at(static_cast<size_t>(state));
    }

} // namespace

InstanceKeeper::InstanceKeeper(InstanceKeeperDesc desc, uint64_t term, JobStore& store, Dispatcher& dispatcher, InstanceService& service, std::function<void(Command)> propose, const Clock& clock, EventLog& log)
    : m_desc(desc)
    , m_term(term)
    , m_store(store)
    , m_dispatcher(dispatcher)
    , m_service(service)
    , m_propose(std::move(propose))
    , m_clock(clock)
    , m_log(log)
    , m_filledAt(clock.now())
{
}

InstanceKeeper::~InstanceKeeper() { *m_isAlive = false; }

bool InstanceKeeper::takeCall()
{
    auto now = m_clock.now();
    auto rate = m_desc.callsPerSecond * rateShare;
    m_callTokens = std::min(rate + 1, m_callTokens + std::chrono::duration<double>(now - m_filledAt).count() * rate);
    m_filledAt = now;
    if (m_callTokens < 1)
        return false;
    m_callTokens--;
    return true;
}

void InstanceKeeper::tick()
{
    auto now = m_clock.now();
    if (!m_desc.isEnabled || now < m_nextTickAt)
        return;
    m_nextTickAt = now + tickInterval;
    bool hasOpenWave = std::any_of(m_store.waves().begin(), m_store.waves().end(), [](const auto& it) { return !it.second.isComplete(); });
    bool isReadingDue = now >= m_nextReadAt + (hasOpenWave ? Duration::zero() : Duration(calmReadInterval));
    if (!m_isReading && (isReadingDue || !m_hasRead))
        readInstances();
    if (!m_hasRead)
        return;
    for (const auto& [number, wave] : m_store.waves()) {
        if (!wave.isComplete())
            serveWave(wave);
    }
    settleMoves();
    if (now >= m_nextPoolPlanAt)
        servePools();
    updateLeaving();
}

void InstanceKeeper::readInstances()
{
    if (!takeCall())
        return;
    m_isReading = true;
    m_reading.clear();
    readPage("", m_clock.now());
}

void InstanceKeeper::readPage(const std::string& token, TimePoint sentAt)
{
    m_service.list(token, m_clock.now() + readTimeout, [this, sentAt, isAlive = m_isAlive](std::optional<std::vector<Instance>> instances, const std::string& next) {
        if (!*isAlive)
            return;
        auto now = m_clock.now();
        if (!instances) {
            m_isReading = false;
            m_nextReadAt = now + readInterval;
            m_log.line("instances-unread");
            return;
        }
        for (auto& it : *instances)
            m_reading[it.name] = std::move(it);
        if (!next.empty())
            return readPage(next, sentAt);
        m_isReading = false;
        m_hasRead = true;
        m_nextReadAt = now + readInterval;
        m_instances.clear();
        for (auto& [name, it] : std::exchange(m_reading, {}))
            m_instances[name] = { std::move(it), sentAt };
    });
}

const Endpoint* InstanceKeeper::endpointOf(const std::string& instance) const
{
    if (const auto* endpoint = m_store.endpointOn(instance))
        return endpoint;
    auto known = m_instances.find(instance);
    return known == m_instances.end() ? nullptr : m_store.findEndpoint(known->second.instance.endpoint);
}

const EndpointSession* InstanceKeeper::sessionOf(const std::string& instance) const
{
    const auto* endpoint = endpointOf(instance);
    if (!endpoint)
        return nullptr;
    auto it = m_dispatcher.sessions().find(endpoint->id);
    return it == m_dispatcher.sessions().end() ? nullptr : it->second.get();
}

WaveInstance InstanceKeeper::describe(const WaveState& wave, const std::string& name)
{
    WaveInstance described;
    described.name = name;
    auto& progress = m_progress[{ wave.wave.number, name }];
    auto known = m_instances.find(name);
    bool isMaintained = wave.isMaintained(name);
    bool isOrdered = progress.isCallOut || wave.isIntended(name);
    described.isBegun = isMaintained || isOrdered;
    if (isMaintained && !progress.isBack && known != m_instances.end()) {
        bool isNewer = known->second.readAt > progress.acceptedAt;
        progress.isBack = isNewer && known->second.instance.state == InstanceState::Up;
    }
    // An instance that is no longer listed has left for good.
    if (known == m_instances.end() && isMaintained)
        progress.isBack = true;
    described.isDown = (isMaintained && !progress.isBack) || (isOrdered && !isMaintained);
    described.isBlocked = known != m_instances.end() && known->second.instance.state != InstanceState::Up && known->second.instance.state != InstanceState::Down;
    described.isDraining = progress.drainingSince != TimePoint {};
    described.drainingSince = progress.drainingSince;
    if (const auto* session = sessionOf(name)) {
        for (const auto& [key, run] : session->runs) {
            if (run.phase == RunPhase::Ended)
                continue;
            described.runs++;
            described.lastingRuns += run.isLasting ? 1 : 0;
        }
        auto capacity = session->endpoint.capacity.cpu;
        described.load = capacity > 0 ? static_cast<double>(session->used.cpu) / static_cast<double>(capacity) : 0;
    }
    return described;
}

void InstanceKeeper::serveWave(const WaveState& wave)
{
    auto now = m_clock.now();
    std::vector<WaveInstance> instances;
    for (const auto& name : wave.wave.instances)
        instances.push_back(describe(wave, name));
    WaveTimes times;
    times.dueAt = now + std::chrono::milliseconds(wave.wave.dueAtMs - wallClockMs());
    times.maintenance = m_desc.maintenance;
    times.maxAtOnce = wave.wave.maxAtOnce;
    auto steps = planWave(instances, times, now);
    for (auto n : steps.drain) {
        m_progress[{ wave.wave.number, instances[n].name }].drainingSince = now;
        m_log.line("wave-drain").field("wave", wave.wave.number).field("instance", instances[n].name).field("runs", instances[n].runs);
    }
    for (auto n : steps.maintain)
        beginMaintenance(wave, instances[n].name);
    for (const auto& it : instances) {
        if (it.isDraining && !it.isBegun)
            emptyInstance(it.name, false);
        // The answer to an earlier order is missing, or an earlier leader's is.
        if (it.isBegun && !wave.isMaintained(it.name))
            callMaintenance(wave.wave.number, it.name);
    }
    for (auto n : steps.force)
        emptyInstance(instances[n].name, true);
}

void InstanceKeeper::beginMaintenance(const WaveState& wave, const std::string& name)
{
    auto& progress = m_progress[{ wave.wave.number, name }];
    if (progress.isCallOut)
        return;
    // On record before the call: a later leader has to count the instance as down.
    progress.isCallOut = true;
    m_log.line("wave-maintain").field("wave", wave.wave.number).field("instance", name);
    m_propose(IntendMaintenance { wave.wave.number, name });
}

void InstanceKeeper::callMaintenance(uint64_t wave, const std::string& name)
{
    auto now = m_clock.now();
    auto& progress = m_progress[{ wave, name }];
    auto state = m_store.waves().find(wave);
    if (state == m_store.waves().end() || !state->second.isIntended(name) || now < progress.nextCallAt || !takeCall())
        return;
    progress.nextCallAt = now + callTimeout + callRetry;
    m_service.maintain(name, wave, m_term, now + callTimeout, [this, wave, name, isAlive = m_isAlive](InstanceReplyStatus status) {
        if (!*isAlive)
            return;
        auto now = m_clock.now();
        auto& progress = m_progress[{ wave, name }];
        auto known = m_instances.find(name);
        auto state = known == m_instances.end() ? std::string_view("not-listed") : stateName(known->second.instance.state);
        m_log.line("wave-order").field("wave", wave).field("instance", name).field("status", instanceReplyStatusName(status)).field("listed", state);
        if (status == InstanceReplyStatus::Accepted || status == InstanceReplyStatus::Impossible || status == InstanceReplyStatus::NotInWave) {
            progress.acceptedAt = now;
            progress.isBack = status != InstanceReplyStatus::Accepted;
            m_propose(MarkMaintained { wave, name });
            return;
        }
        progress.nextCallAt = now + callRetry;
        // An instance that is down is listed and may come back. One that the platform neither lists nor takes orders for has
        // left for good; a list may miss one that changes its page, so a single one proves nothing.
        bool isUnlisted = status == InstanceReplyStatus::Busy && known == m_instances.end() && !m_instances.empty();
        if (!isUnlisted)
            progress.unlistedSince = {};
        else if (progress.unlistedSince == TimePoint {})
            progress.unlistedSince = now;
        else if (m_instances.begin()->second.readAt - progress.unlistedSince >= goneAfter)
            m_propose(MarkMaintained { wave, name });
    });
}

bool InstanceKeeper::isAtWork(const TaskKey& key, const Task& task, Evidence evidence) const
{
    auto now = m_clock.now();
    return std::any_of(task.placements.begin(), task.placements.end(), [&](const Placement& it) {
        auto session = m_dispatcher.sessions().find(it.endpoint);
        if (session == m_dispatcher.sessions().end())
            return false;
        RunKey run { key, it.run };
        if (evidence == Evidence::NewestList)
            return session->second->isReportedAvailable(run);
        m_dispatcher.requestFreshStatus(it.endpoint);
        return session->second->isConfirmedAvailable(run, now);
    });
}

bool InstanceKeeper::mayStop(const Run& run) const
{
    const auto* job = m_store.findJob(run.jobId);
    if (!job || !job->isActive() || !run.isLasting)
        return true;
    const auto& step = job->spec.steps[run.key.task.step];
    if (!step.hasMaxUnavailable)
        return true;
    const auto& tasks = job->occurrences[run.key.task.occurrence].steps[run.key.task.step].tasks;
    auto away = [&](Evidence evidence) {
        uint32_t count = 0;
        for (uint32_t index = 0; index < tasks.size(); index++) {
            TaskKey key { run.key.task.job, run.key.task.occurrence, run.key.task.step, index };
            count += index == run.key.task.index || isAtWork(key, tasks[index], evidence) ? 0 : 1;
        }
        return count;
    };
    // Fresh lists are asked for only where the others count as at work by those there are.
    return away(Evidence::NewestList) < step.maxUnavailable && away(Evidence::FreshList) < step.maxUnavailable;
}

void InstanceKeeper::emptyInstance(const std::string& name, bool isForced)
{
    const auto* session = sessionOf(name);
    if (!session)
        return;
    std::vector<RunKey> toStop;
    for (const auto& [key, run] : session->runs) {
        if (run.phase == RunPhase::Ended || run.mustStop)
            continue;
        if ((run.isLasting || isForced) && mayStop(run))
            toStop.push_back(key);
    }
    // A lasting task is not stopped while others of the pool wait for a place: it would wait as well.
    bool mayStopLasting = toStop.empty() || !m_dispatcher.hasWaitingLongRunningTasks(session->endpoint.service);
    // One at a time, since each one that is away counts for the next.
    for (const auto& it : toStop) {
        auto run = session->runs.find(it);
        if (run == session->runs.end() || (run->second.isLasting && !mayStopLasting) || !mayStop(run->second))
            continue;
        m_dispatcher.evict(session->endpoint.id, it);
    }
}

void InstanceKeeper::updateLeaving()
{
    std::set<std::string> leaving;
    for (const auto& [key, progress] : m_progress) {
        auto wave = m_store.waves().find(key.first);
        bool isDue = wave != m_store.waves().end() && !wave->second.isMaintained(key.second);
        if (!isDue || progress.drainingSince == TimePoint {})
            continue;
        if (const auto* endpoint = endpointOf(key.second))
            leaving.insert(endpoint->id);
    }
    for (const auto& [name, move] : m_moves) {
        const auto* endpoint = endpointOf(name);
        if (endpoint && !(move.isAccepted && endpoint->service == move.pool))
            leaving.insert(endpoint->id);
    }
    m_dispatcher.setCordoned(leaving);
}

} // namespace vanillalift::jobs
