#include "job_store_p.h"

#include <glog/logging.h>

#include <algorithm>
#include <numeric>

namespace vanillalift::jobs {

namespace {

    /// Nesting of containers in a command; the deepest one is a job's steps.
    constexpr uint32_t maxCommandNesting = 16;

    template <size_t n = 0>
    std::optional<Command> unpackCommand(size_t kind, const msgpack::object& object)
    {
        if constexpr (n < std::variant_size_v<Command>) {
            if (kind != n)
                return unpackCommand<n + 1>(kind, object);
            return object.as<std::variant_alternative_t<n, Command>>();
        } else {
            return std::nullopt;
        }
    }

} // namespace

void appendCommand(std::string& entry, const Command& command)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, static_cast<uint32_t>(command.index()));
    std::visit([&](const auto& it) { msgpack::pack(buf, it); }, command);
    entry.append(buf.data(), buf.size());
}

bool Job::isStepReady(uint32_t occurrence, uint32_t step) const
{
    const auto& states = occurrences[occurrence].steps;
    const auto& after = spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](uint32_t it) { return states[it].doneCount == states[it].tasks.size(); });
}

RunTimeKey Job::runTimeKey(uint32_t occurrence, uint32_t step) const
{
    RunTimeKey key { queue.name, step, static_cast<double>(spec.steps[step].estimateMs) };
    // A job that has ended has no occurrences left.
    if (occurrence >= occurrences.size())
        return key;
    const auto& state = occurrences[occurrence].steps[step];
    key.siblings = state.measuredRuns;
    if (state.measuredRuns > 0)
        key.siblingMs = static_cast<double>(state.measuredMs) / state.measuredRuns;
    return key;
}

Task* Job::findTask(const TaskKey& key)
{
    bool isKnown = key.occurrence < occurrences.size() && key.step < occurrences[key.occurrence].steps.size()
        && key.index < occurrences[key.occurrence].steps[key.step].tasks.size();
    return isKnown ? &occurrences[key.occurrence].steps[key.step].tasks[key.index] : nullptr;
}

const Task* Job::findTask(const TaskKey& key) const { return const_cast<Job*>(this)->findTask(key); }

bool WaveState::contains(std::string_view instance) const
{
    return std::find(wave.instances.begin(), wave.instances.end(), instance) != wave.instances.end();
}

void JobStore::apply(std::string_view entry)
{
    size_t offset = 0;
    msgpack::zone zone;
    // References avoid a copy while unpacking: values are copied out of the entry once, by the conversion.
    auto refersToEntry = [](msgpack::type::object_type, size_t, void*) { return true; };
    // Memory is allocated for as many elements as a container claims to have, and each takes at least a byte.
    msgpack::unpack_limit limit(entry.size(), entry.size(), entry.size(), entry.size(), entry.size(), maxCommandNesting);
    auto next = [&] { return msgpack::unpack(zone, entry.data(), entry.size(), offset, refersToEntry, nullptr, limit); };
    while (offset < entry.size()) {
        zone.clear();
        try {
            auto kind = next();
            auto body = next();
            auto command = unpackCommand(kind.as<uint32_t>(), body);
            if (!command) {
                skip("unknown command");
                continue;
            }
            std::visit([this](auto& it) { apply(it); }, *command);
        } catch (const msgpack::type_error& error) {
            skip(error.what());
        } catch (const msgpack::unpack_error& error) {
            // The beginning of the next command is not known.
            skip(error.what());
            return;
        }
    }
}

void JobStore::skip(std::string_view reason)
{
    m_skippedCommands++;
    LOG(ERROR) << "a command in the log cannot be applied and is skipped: " << reason;
}

void JobStore::apply(PutCatalog& command)
{
    if (command.catalog.version <= m_catalog.version)
        return;
    m_catalog = std::move(command.catalog);
    indexQueues();
    m_agreedRate.retain([this](const std::string& name) { return m_catalog.workspaceNamed(name) != nullptr; });
    m_runTimes.retainQueues([this](const std::string& name) { return m_queueByName.contains(name); });
    if (m_observer)
        m_observer->onCatalog();
}

void JobStore::apply(PutEndpoint& command)
{
    auto& added = command.endpoint;
    auto known = m_endpoints.find(added.id);
    if (known != m_endpoints.end() && added.startedAtMs < known->second.startedAtMs)
        return;
    // A newer incarnation at the same address or on the same instance proves that the older one has ended.
    std::vector<Endpoint> replaced;
    for (const auto& [id, it] : m_endpoints) {
        bool isSamePlace = it.address == added.address || (!it.instance.empty() && it.instance == added.instance);
        if (id == added.id || !isSamePlace)
            continue;
        if (it.startedAtMs > added.startedAtMs)
            return;
        replaced.push_back(it);
    }
    if (known != m_endpoints.end() && known->second.startedAtMs < added.startedAtMs)
        markReplaced(known->second);
    for (const auto& it : replaced) {
        markReplaced(it);
        m_endpoints.erase(it.id);
        m_isInstanceIndexStale = true;
        if (m_observer)
            m_observer->onEndpointRemoved(it);
    }
    added.hasEarlierIncarnation = known != m_endpoints.end() && (known->second.hasEarlierIncarnation || known->second.startedAtMs != added.startedAtMs);
    auto id = added.id;
    m_endpoints[id] = std::move(added);
    m_isInstanceIndexStale = true;
    if (m_observer)
        m_observer->onEndpoint(m_endpoints[id]);
}

void JobStore::apply(MarkDeregistered& command)
{
    auto it = m_endpoints.find(command.id);
    if (it == m_endpoints.end() || it->second.startedAtMs != command.startedAtMs)
        return;
    it->second.hasDeregistered = true;
    if (m_observer)
        m_observer->onEndpointDeregistered(it->second);
}

void JobStore::markReplaced(const Endpoint& endpoint)
{
    auto suspects = m_suspects.find({ endpoint.id, endpoint.startedAtMs });
    if (suspects != m_suspects.end())
        suspects->second.isReplaced = true;
}

void JobStore::apply(RemoveEndpoint& command)
{
    auto it = m_endpoints.find(command.id);
    if (it == m_endpoints.end() || it->second.startedAtMs != command.startedAtMs)
        return;
    auto last = std::move(it->second);
    if (command.isReplaced)
        markReplaced(last);
    m_endpoints.erase(it);
    m_isInstanceIndexStale = true;
    if (m_observer)
        m_observer->onEndpointRemoved(last);
}

void JobStore::apply(PutJob& command)
{
    if (m_jobsById.contains(command.spec.id))
        return;
    if (!command.spec.isWellFormed())
        return skip("malformed job");
    const auto* queue = m_catalog.queueNamed(command.queue);
    auto job = std::make_unique<Job>();
    job->serial = ++m_lastSerial;
    job->workspace = std::move(command.workspace);
    job->acceptedAtMs = command.acceptedAtMs;
    job->isBeyondRate = command.isBeyondRate;
    if (const auto* workspace = m_catalog.workspaceNamed(job->workspace))
        m_agreedRate.record(workspace->name, workspace->weight, job->acceptedAtMs, job->isBeyondRate);
    if (queue)
        job->queue = *queue;
    job->queue.name = command.queue;
    Occurrence first;
    for (const auto& it : command.spec.steps) {
        first.steps.emplace_back();
        first.steps.back().tasks.resize(it.taskCount);
    }
    job->occurrences.assign(command.spec.occurrenceCount(), first);
    job->spec = std::move(command.spec);
    auto& added = *job;
    m_jobsById[added.spec.id] = &added;
    m_jobs[added.serial] = std::move(job);
    updatePending(added);
    if (m_jobListener)
        m_jobListener(added);
    if (m_observer)
        m_observer->onJob(added);
}

void JobStore::apply(CancelJob& command)
{
    auto* job = findJob(command.id);
    if (job && job->isActive())
        finish(*job, JobPhase::Cancelled, command.cancelledAtMs);
}

void JobStore::finish(Job& job, JobPhase phase, int64_t atMs)
{
    job.phase = phase;
    job.finishedAtMs = atMs;
    updatePending(job);
    job.spec.payload.clear();
    job.spec.payload.shrink_to_fit();
    if (m_observer)
        m_observer->onJobFinished(job);
    if (job.placementCount == 0)
        job.occurrences.clear();
}

void JobStore::apply(PlaceRuns& command)
{
    for (const auto& it : command.runs) {
        auto* job = findJobBySerial(it.run.task.job);
        auto* task = job ? job->findTask(it.run.task) : nullptr;
        if (!task || !job->isActive() || task->isDone || it.run.number <= task->lastRun || !m_endpoints.contains(it.endpoint)) {
            if (m_observer && job)
                m_observer->onPlacementRefused(*job, it.run, it.endpoint);
            continue;
        }
        task->lastRun = it.run.number;
        task->placements.push_back({ it.run.number, it.endpoint });
        job->hasStarted = true;
        job->placementCount++;
        updatePending(*job);
        if (m_observer)
            m_observer->onRunPlaced(*job, it.run, it.endpoint);
    }
}

void JobStore::apply(EndRuns& command)
{
    for (const auto& it : command.runs)
        endRun(it, command.endedAtMs);
}

void JobStore::endRun(const EndedRun& run, int64_t endedAtMs)
{
    const auto& key = run.run.task;
    auto* job = findJobBySerial(key.job);
    auto* task = job ? job->findTask(key) : nullptr;
    if (!task)
        return;
    auto placement = std::find_if(task->placements.begin(), task->placements.end(), [&](const auto& it) { return it.run == run.run.number; });
    if (placement == task->placements.end())
        return;
    auto endpoint = placement->endpoint;
    task->placements.erase(placement);
    job->placementCount--;
    job->hasRun = job->hasRun || run.end != RunEnd::NotStarted;
    job->hasStarted = job->hasRun || job->placementCount > 0;
    updatePending(*job);
    if (!run.checkpoint.empty())
        recordCheckpoint(*job, run);
    if (run.end == RunEnd::Failed)
        task->lastFailedEndpoint = endpoint;
    const auto& spec = job->spec.steps[key.step];
    if (run.end == RunEnd::Done && run.runTimeMs > 0 && !spec.isLongRunning)
        learnRunTime(*job, run);
    if (job->isActive() && !task->isDone && !spec.isLongRunning) {
        if (run.end == RunEnd::Done)
            markDone(*job, key, endedAtMs);
        else if (run.end == RunEnd::Failed)
            countFailure(*job, *task, run.run, endedAtMs);
    }
    if (m_observer)
        m_observer->onRunEnded(*job, run, endpoint);
    if (!job->isActive() && job->placementCount == 0)
        job->occurrences.clear();
}

void JobStore::recordCheckpoint(Job& job, const EndedRun& run)
{
    const auto& key = run.run.task;
    auto& step = job.occurrences[key.occurrence].steps[key.step];
    if (!job.spec.steps[key.step].isGang) {
        step.tasks[key.index].checkpoint = run.checkpoint;
        return;
    }
    bool isOfEnd = run.end != RunEnd::Lost;
    if (std::pair(run.run.number, isOfEnd) < std::pair(step.checkpointRun, step.isCheckpointOfEnd))
        return;
    step.checkpointRun = run.run.number;
    step.isCheckpointOfEnd = isOfEnd;
    // That of any member is valid for all, and all have to start with the same.
    for (auto& it : step.tasks)
        it.checkpoint = run.checkpoint;
}

void JobStore::learnRunTime(Job& job, const EndedRun& run)
{
    const auto& key = run.run.task;
    m_runTimes.add(job.runTimeKey(key.occurrence, key.step), run.runTimeMs);
    auto& step = job.occurrences[key.occurrence].steps[key.step];
    step.measuredRuns++;
    step.measuredMs += run.runTimeMs;
}

void JobStore::countFailure(Job& job, Task& task, const RunKey& run, int64_t endedAtMs)
{
    const auto& key = run.task;
    bool isGang = job.spec.steps[key.step].isGang;
    const auto& members = job.occurrences[key.occurrence].steps[key.step].tasks;
    // The members of a gang run together, so a run in which several fail is one attempt.
    bool isCounted = isGang && std::any_of(members.begin(), members.end(), [&](const Task& it) { return it.lastFailedRun == run.number; });
    task.lastFailedRun = run.number;
    if (isCounted)
        return;
    task.failures++;
    uint32_t failures = task.failures;
    if (isGang)
        failures = std::accumulate(members.begin(), members.end(), uint32_t { 0 }, [](uint32_t sum, const Task& it) { return sum + it.failures; });
    if (failures >= queueOf(job).maxAttempts)
        finish(job, JobPhase::Failed, endedAtMs);
}

void JobStore::markDone(Job& job, const TaskKey& key, int64_t endedAtMs)
{
    auto& occurrence = job.occurrences[key.occurrence];
    auto& step = occurrence.steps[key.step];
    if (job.spec.steps[key.step].isGang) {
        // The tasks of a gang end together, so one report covers all of them.
        for (auto& it : step.tasks)
            it.isDone = true;
        step.doneCount = static_cast<uint32_t>(step.tasks.size());
    } else {
        step.tasks[key.index].isDone = true;
        step.doneCount++;
    }
    auto isStepDone = [](const Step& it) { return it.doneCount == it.tasks.size(); };
    occurrence.isDone = std::all_of(occurrence.steps.begin(), occurrence.steps.end(), isStepDone);
    auto isOccurrenceDone = [](const Occurrence& it) { return it.isDone; };
    if (std::all_of(job.occurrences.begin(), job.occurrences.end(), isOccurrenceDone))
        finish(job, JobPhase::Completed, endedAtMs);
}

void JobStore::apply(PutWave& command)
{
    auto [it, isNew] = m_waves.try_emplace(command.wave.number, WaveState { command.wave, {}, {} });
    if (isNew && m_observer)
        m_observer->onWave(it->second);
}

void JobStore::apply(MarkMaintained& command)
{
    auto it = m_waves.find(command.wave);
    if (it == m_waves.end() || !it->second.contains(command.instance))
        return;
    bool isNew = it->second.maintained.insert(command.instance).second;
    if (isNew && m_observer)
        m_observer->onWave(it->second);
}

void JobStore::apply(RequestMaintenance& command)
{
    auto it = m_waves.find(command.wave);
    if (it != m_waves.end() && it->second.contains(command.instance))
        it->second.requested.insert(command.instance);
}

void JobStore::apply(PurgeJobs& command)
{
    for (const auto& it : command.ids) {
        auto* job = findJob(it);
        if (!job || job->isActive() || job->placementCount != 0)
            continue;
        auto serial = job->serial;
        m_jobsById.erase(it);
        m_jobs.erase(serial);
    }
}

void JobStore::apply(PutReplica& command) { m_replicas[command.name] = { command.availabilityZone, command.isReplacement }; }

void JobStore::forEachSuspect(SuspectRuns& suspects, const std::function<void(SuspectRun&, Job&, Task&)>& handler)
{
    for (auto& it : suspects.runs) {
        auto* job = findJobBySerial(it.run.task.job);
        if (auto* task = job ? job->findTask(it.run.task) : nullptr)
            handler(it, *job, *task);
    }
}

void JobStore::apply(RecordSuspects& command)
{
    auto endpoint = m_endpoints.find(command.endpoint);
    if (endpoint == m_endpoints.end() || endpoint->second.startedAtMs != command.startedAtMs)
        return;
    auto& recorded = m_suspects[{ command.endpoint, command.startedAtMs }];
    recorded.startedAtMs = command.startedAtMs;
    recorded.address = endpoint->second.address;
    forEachSuspect(recorded, [](SuspectRun& it, Job&, Task& task) { task.openBlame -= std::min(task.openBlame, it.share); });
    for (auto& it : command.runs) {
        auto* job = findJobBySerial(it.run.task.job);
        auto* task = job ? job->findTask(it.run.task) : nullptr;
        bool isRecorded = std::any_of(recorded.runs.begin(), recorded.runs.end(), [&](const SuspectRun& known) { return known.run.task == it.run.task; });
        if (!task || !job->isActive() || task->isDone || isRecorded)
            continue;
        recorded.runs.push_back(it);
        task->openCrashes++;
    }
    std::vector<uint32_t> weights;
    for (const auto& it : recorded.runs)
        weights.push_back(it.weight);
    auto shares = blameShares(weights);
    for (size_t n = 0; n < shares.size(); n++)
        recorded.runs[n].share = shares[n];
    forEachSuspect(recorded, [this](SuspectRun& it, Job& job, Task& task) {
        task.openBlame += it.share;
        if (m_observer)
            m_observer->onSuspicion(job, it.run.task, false);
    });
}

void JobStore::apply(ResolveSuspects& command)
{
    auto known = m_suspects.find({ command.endpoint, command.startedAtMs });
    if (known == m_suspects.end())
        return;
    auto suspects = std::move(known->second);
    m_suspects.erase(known);
    forEachSuspect(suspects, [&](SuspectRun& it, Job& job, Task& task) {
        task.openCrashes -= std::min<uint32_t>(task.openCrashes, 1);
        task.openBlame -= std::min(task.openBlame, it.share);
        if (command.hasCrashed)
            task.crashes.add(it.share, it.weight, suspects.address);
        bool isCause = command.hasCrashed && job.isActive() && !task.isDone && isAtFault(task.crashes);
        if (m_observer)
            m_observer->onSuspicion(job, it.run.task, isCause);
        // A long-running task is started again however it ends.
        if (isCause && !job.spec.steps[it.run.task.step].isLongRunning)
            finish(job, JobPhase::Failed, command.resolvedAtMs);
    });
}

void JobStore::apply(ForgetCrashes& command)
{
    for (const auto& it : command.tasks) {
        auto* job = findJobBySerial(it.job);
        auto* task = job ? job->findTask(it) : nullptr;
        if (!task || task->crashes.crashes == 0)
            continue;
        task->crashes = {};
        if (m_observer)
            m_observer->onSuspicion(*job, it, false);
    }
}

void JobStore::apply(PutEvacuation& command)
{
    bool hasChanged = command.isEvacuated ? m_evacuations.try_emplace(command.zone, command.orderedAtMs).second : m_evacuations.erase(command.zone) > 0;
    if (hasChanged && m_observer)
        m_observer->onEvacuation(command.zone);
}

Job* JobStore::findJob(std::string_view id)
{
    auto it = m_jobsById.find(std::string(id));
    return it == m_jobsById.end() ? nullptr : it->second;
}

const Job* JobStore::findJob(std::string_view id) const { return const_cast<JobStore*>(this)->findJob(id); }

Job* JobStore::findJobBySerial(uint64_t serial)
{
    auto it = m_jobs.find(serial);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

const Endpoint* JobStore::findEndpoint(const std::string& id) const
{
    auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : &it->second;
}

const Endpoint* JobStore::findEndpointByInstance(const std::string& instance) const
{
    if (std::exchange(m_isInstanceIndexStale, false)) {
        m_endpointByInstance.clear();
        for (const auto& [id, it] : m_endpoints)
            m_endpointByInstance.try_emplace(it.instance, &it);
    }
    auto it = m_endpointByInstance.find(instance);
    return it == m_endpointByInstance.end() ? nullptr : it->second;
}

void JobStore::indexQueues()
{
    m_queueByName.clear();
    for (const auto& it : m_catalog.queues)
        m_queueByName.try_emplace(it.name, &it);
}

const Queue& JobStore::queueOf(const Job& job) const
{
    auto it = m_queueByName.find(job.queue.name);
    return it == m_queueByName.end() ? job.queue : *it->second;
}

size_t JobStore::pendingJobCount(std::string_view queue) const
{
    auto it = m_pendingJobs.find(queue);
    return it == m_pendingJobs.end() ? 0 : it->second.size();
}

void JobStore::updatePending(const Job& job)
{
    bool isPending = job.isActive() && !job.hasStarted && job.spec.occurrences == 0;
    if (isPending) {
        m_pendingJobs[job.queue.name].insert(job.serial);
        return;
    }
    auto it = m_pendingJobs.find(job.queue.name);
    if (it != m_pendingJobs.end() && it->second.erase(job.serial) > 0 && it->second.empty())
        m_pendingJobs.erase(it);
}

std::vector<std::string> JobStore::jobsFinishedBefore(int64_t wallMs, size_t maxCount) const
{
    std::vector<std::string> ids;
    for (const auto& [serial, job] : m_jobs) {
        if (ids.size() >= maxCount)
            break;
        if (!job->isActive() && job->placementCount == 0 && job->finishedAtMs < wallMs)
            ids.push_back(job->spec.id);
    }
    return ids;
}

std::string JobStore::snapshot() const
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, m_lastSerial);
    msgpack::pack(buf, m_catalog);
    msgpack::pack(buf, m_endpoints);
    msgpack::pack(buf, m_waves);
    msgpack::pack(buf, m_replicas);
    msgpack::pack(buf, static_cast<uint64_t>(m_jobs.size()));
    for (const auto& [serial, job] : m_jobs)
        msgpack::pack(buf, *job);
    std::vector<std::pair<std::string, SuspectRuns>> suspects;
    for (const auto& [key, it] : m_suspects)
        suspects.emplace_back(key.first, it);
    msgpack::pack(buf, suspects);
    msgpack::pack(buf, m_agreedRate);
    msgpack::pack(buf, m_evacuations);
    msgpack::pack(buf, m_runTimes.sums());
    return { buf.data(), buf.size() };
}

void JobStore::restore(std::string_view snapshot)
{
    size_t offset = 0;
    auto next = [&] { return msgpack::unpack(snapshot.data(), snapshot.size(), offset); };
    next().get().convert(m_lastSerial);
    next().get().convert(m_catalog);
    indexQueues();
    m_isInstanceIndexStale = true;
    m_endpoints.clear();
    next().get().convert(m_endpoints);
    m_waves.clear();
    next().get().convert(m_waves);
    m_replicas.clear();
    next().get().convert(m_replicas);
    uint64_t count = 0;
    next().get().convert(count);
    m_jobs.clear();
    m_jobsById.clear();
    m_pendingJobs.clear();
    for (; count > 0; count--) {
        auto job = std::make_unique<Job>();
        next().get().convert(*job);
        m_jobsById[job->spec.id] = job.get();
        updatePending(*job);
        m_jobs[job->serial] = std::move(job);
    }
    m_suspects.clear();
    m_evacuations.clear();
    // Snapshots of earlier versions end here or after one of the following parts.
    if (offset < snapshot.size())
        restoreSuspects(next().get());
    m_agreedRate = {};
    if (offset < snapshot.size())
        next().get().convert(m_agreedRate);
    if (offset < snapshot.size())
        next().get().convert(m_evacuations);
    m_runTimes.restore(offset < snapshot.size() ? next().get().as<std::map<std::string, RunTimeModel::QueueSums>>() : std::map<std::string, RunTimeModel::QueueSums> {});
}

void JobStore::restoreSuspects(const msgpack::object& object)
{
    if (object.type == msgpack::type::MAP) {
        // Earlier versions kept one incarnation of each endpoint.
        for (auto& [endpoint, it] : object.as<std::map<std::string, SuspectRuns>>())
            m_suspects[{ endpoint, it.startedAtMs }] = it;
        return;
    }
    for (auto& [endpoint, it] : object.as<std::vector<std::pair<std::string, SuspectRuns>>>())
        m_suspects[{ endpoint, it.startedAtMs }] = std::move(it);
}

} // namespace vanillalift::jobs
