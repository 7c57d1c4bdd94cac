#pragma once

#include "policy/agreed_rate_p.h"
#include "policy/crash_attribution_p.h"
#include "policy/run_time_model_p.h"

#include <vanillalift/job.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>

/// The replicated state of jobs, endpoints, configuration and maintenance waves, and the leader's decisions based on it.
namespace vanillalift::jobs {

struct PutCatalog {
    Catalog catalog;
    MSGPACK_DEFINE(catalog)
};
/// Records a new endpoint, a new incarnation, or a changed report of a known endpoint.
struct PutEndpoint {
    Endpoint endpoint;
    MSGPACK_DEFINE(endpoint)
};
struct RemoveEndpoint {
    std::string id;
    int64_t startedAtMs = 0;
    /// Another incarnation answers at its address.
    bool isReplaced = false;
    MSGPACK_DEFINE(id, startedAtMs, isReplaced)
};
/// Records that the endpoint has deregistered while runs were placed there.
struct MarkDeregistered {
    std::string id;
    int64_t startedAtMs = 0;
    MSGPACK_DEFINE(id, startedAtMs)
};
struct PutJob {
    JobSpec spec;
    std::string workspace;
    std::string queue;
    int64_t acceptedAtMs = 0;
    bool isBeyondRate = false;
    MSGPACK_DEFINE(spec, workspace, queue, acceptedAtMs, isBeyondRate)
};
struct CancelJob {
    std::string id;
    int64_t cancelledAtMs = 0;
    MSGPACK_DEFINE(id, cancelledAtMs)
};
struct PlacedRun {
    RunKey run;
    std::string endpoint;
    MSGPACK_DEFINE(run, endpoint)
};
/// Committed before the start requests are sent.
struct PlaceRuns {
    std::vector<PlacedRun> runs;
    MSGPACK_DEFINE(runs)
};
struct EndedRun {
    RunKey run;
    RunEnd end = RunEnd::Done;
    /// Empty if the run produced no newer checkpoint.
    std::string checkpoint;
    /// How long the task took, in milliseconds; 0 if the run says nothing about it.
    uint32_t runTimeMs = 0;
    MSGPACK_DEFINE(run, end, checkpoint, runTimeMs)
};
/// Committed before the ends are acknowledged to the endpoint, which then discards them.
struct EndRuns {
    std::vector<EndedRun> runs;
    int64_t endedAtMs = 0;
    MSGPACK_DEFINE(runs, endedAtMs)
};
struct PutWave {
    Wave wave;
    MSGPACK_DEFINE(wave)
};
/// Committed before the platform is asked to take the instance down.
struct RequestMaintenance {
    uint64_t wave = 0;
    std::string instance;
    MSGPACK_DEFINE(wave, instance)
};
/// The instance's maintenance has started, or the instance was removed permanently.
struct MarkMaintained {
    uint64_t wave = 0;
    std::string instance;
    MSGPACK_DEFINE(wave, instance)
};
/// Deletes finished jobs from the state.
struct PurgeJobs {
    std::vector<std::string> ids;
    MSGPACK_DEFINE(ids)
};
/// Records a control instance that joined, with its availability zone.
struct PutReplica {
    std::string name;
    std::string availabilityZone;
    /// Whether it replaced another instance, as opposed to being a founding member of the group.
    bool isReplacement = false;
    MSGPACK_DEFINE(name, availabilityZone, isReplacement)
};
/// A run that may have crashed its endpoint.
struct SuspectRun {
    RunKey run;
    /// See suspicionWeight().
    uint32_t weight = 0;
    /// The part of the blame for the crash that falls to this run, in thousandths.
    uint32_t share = 0;
    MSGPACK_DEFINE(run, weight, share)
};
/// Records runs that were in progress on an endpoint when it stopped answering, in addition to those already recorded: one of
/// them may be the cause.
struct RecordSuspects {
    std::string endpoint;
    int64_t startedAtMs = 0;
    std::vector<SuspectRun> runs;
    MSGPACK_DEFINE(endpoint, startedAtMs, runs)
};
/// Ends the suspicion against the runs recorded for an endpoint's incarnation.
struct ResolveSuspects {
    std::string endpoint;
    int64_t startedAtMs = 0;
    /// The endpoint crashed while the runs were in progress, and by itself: not with its rack or availability zone.
    bool hasCrashed = false;
    int64_t resolvedAtMs = 0;
    MSGPACK_DEFINE(endpoint, startedAtMs, hasCrashed, resolvedAtMs)
};
/// The tasks have run for so long that earlier crashes say nothing about them.
struct ForgetCrashes {
    std::vector<TaskKey> tasks;
    MSGPACK_DEFINE(tasks)
};

/// Withdraws an availability zone from use, or gives it back.
struct PutEvacuation {
    std::string zone;
    bool isEvacuated = false;
    /// Unix time of the order, in milliseconds; only reported.
    int64_t orderedAtMs = 0;
    MSGPACK_DEFINE(zone, isEvacuated, orderedAtMs)
};

using Command = std::variant<PutCatalog, PutEndpoint, RemoveEndpoint, PutJob, CancelJob, PlaceRuns, EndRuns, PutWave, MarkMaintained, PurgeJobs, PutReplica, RequestMaintenance, RecordSuspects, ResolveSuspects, ForgetCrashes, MarkDeregistered, PutEvacuation>;

/// Appends one serialized command to a log entry.
void appendCommand(std::string& entry, const Command& command);

/// A run for which a start request may have been sent and whose end is not recorded.
struct Placement {
    uint32_t run = 0;
    std::string endpoint;
    MSGPACK_DEFINE(run, endpoint)
};

struct Task {
    bool isDone = false;
    uint32_t failures = 0;
    /// Number of its newest run that failed.
    uint32_t lastFailedRun = 0;
    uint32_t lastRun = 0;
    std::string checkpoint;
    std::vector<Placement> placements;
    /// Endpoint of the most recent failed run; the next run avoids it.
    std::string lastFailedEndpoint;
    /// Crashes of endpoints that ran the task.
    CrashRecord crashes;
    /// Endpoints that stopped answering while they ran the task, and of which it is not known whether they have crashed; and the
    /// task's part of the blame, in thousandths of a crash.
    uint32_t openCrashes = 0;
    uint32_t openBlame = 0;
    MSGPACK_DEFINE(isDone, failures, lastRun, checkpoint, placements, lastFailedEndpoint, crashes, openCrashes, openBlame, lastFailedRun)

    [[nodiscard]] bool isIdle() const { return !isDone && placements.empty(); }
    [[nodiscard]] CrashRecord possibleCrashes() const
    {
        return { crashes.crashes + openCrashes, crashes.blame + openBlame, crashes.lowestWeight, crashes.lastAddress, crashes.hasSeveralAddresses || openCrashes > 0 };
    }
};

struct Step {
    std::vector<Task> tasks;
    uint32_t doneCount = 0;
    /// Runs whose time was measured, and the sum of their times in milliseconds.
    uint32_t measuredRuns = 0;
    uint64_t measuredMs = 0;
    /// Of a gang, whose tasks share one checkpoint: the run that it is of, and whether an endpoint has listed it with the run's end. A lost
    /// run leaves the checkpoint of its last report, which is older.
    uint32_t checkpointRun = 0;
    bool isCheckpointOfEnd = false;
    MSGPACK_DEFINE(tasks, doneCount, measuredRuns, measuredMs, checkpointRun, isCheckpointOfEnd)
};

struct Occurrence {
    std::vector<Step> steps;
    bool isDone = false;
    MSGPACK_DEFINE(steps, isDone)
};

struct Job {
    uint64_t serial = 0;
    JobSpec spec;
    std::string workspace;
    /// Queue settings at the time the job was accepted; used if the queue is removed.
    Queue queue;
    int64_t acceptedAtMs = 0;
    JobPhase phase = JobPhase::Active;
    int64_t finishedAtMs = 0;
    /// A task runs or has run. A placement counts until its start is known to have been refused.
    bool hasStarted = false;
    /// A run has ended that was not refused.
    bool hasRun = false;
    /// Number of placements over all tasks.
    uint32_t placementCount = 0;
    std::vector<Occurrence> occurrences;
    /// Its workspace had submitted as much as agreed when it was accepted.
    bool isBeyondRate = false;
    MSGPACK_DEFINE(serial, spec, workspace, queue, acceptedAtMs, phase, finishedAtMs, hasStarted, placementCount, occurrences, hasRun, isBeyondRate)

    [[nodiscard]] bool isActive() const { return phase == JobPhase::Active; }
    [[nodiscard]] bool isLongRunning() const { return !spec.steps.empty() && spec.steps.front().isLongRunning; }
    /// Whether all tasks of the steps it depends on are done.
    [[nodiscard]] bool isStepReady(uint32_t occurrence, uint32_t step) const;
    /// @returns what tells how long a task of the step takes.
    [[nodiscard]] RunTimeKey runTimeKey(uint32_t occurrence, uint32_t step) const;
    Task* findTask(const TaskKey& key);
    [[nodiscard]] const Task* findTask(const TaskKey& key) const;
};

struct WaveState {
    Wave wave;
    /// Instances whose maintenance was requested, including those whose maintenance has started.
    std::set<std::string, std::less<>> requested;
    std::set<std::string, std::less<>> maintained;
    MSGPACK_DEFINE(wave, requested, maintained)

    [[nodiscard]] bool contains(std::string_view instance) const;
    [[nodiscard]] bool isRequested(std::string_view instance) const { return requested.contains(instance); }
    [[nodiscard]] bool isMaintained(std::string_view instance) const { return maintained.contains(instance); }
    [[nodiscard]] bool isComplete() const { return maintained.size() >= wave.instances.size(); }
};

/// An incarnation of an endpoint that stopped answering, and the runs that were in progress there.
struct SuspectRuns {
    int64_t startedAtMs = 0;
    std::vector<SuspectRun> runs;
    /// Another incarnation has taken the endpoint's place.
    bool isReplaced = false;
    std::string address;
    MSGPACK_DEFINE(startedAtMs, runs, isReplaced, address)
};

/// An endpoint id and the start time of an incarnation: the next one may stop answering before it is known whether this one crashed.
using IncarnationKey = std::pair<std::string, int64_t>;

struct ReplicaInfo {
    std::string availabilityZone;
    bool isReplacement = false;
    MSGPACK_DEFINE(availabilityZone, isReplacement)
};

/// Receives state changes as they are applied; the leader bases its decisions on them.
class StoreObserver {
public:
    virtual ~StoreObserver() = default;
    virtual void onCatalog() = 0;
    virtual void onEndpoint(const Endpoint& endpoint) = 0;
    /// The endpoint has deregistered and is still recorded, as runs are placed there.
    virtual void onEndpointDeregistered(const Endpoint& endpoint) = 0;
    /// @param last the endpoint's last recorded state.
    virtual void onEndpointRemoved(const Endpoint& last) = 0;
    virtual void onJob(Job& job) = 0;
    /// The job has completed, failed or been cancelled. Some of its runs may still have to be stopped.
    virtual void onJobFinished(Job& job) = 0;
    virtual void onRunPlaced(Job& job, const RunKey& run, const std::string& endpoint) = 0;
    /// The placement was not recorded: the job or task has ended, the number is not new, or the endpoint is gone.
    virtual void onPlacementRefused(Job& job, const RunKey& run, const std::string& endpoint) = 0;
    /// @param endpoint where the run was placed.
    virtual void onRunEnded(Job& job, const EndedRun& run, const std::string& endpoint) = 0;
    virtual void onWave(const WaveState& wave) = 0;
    /// The task's crashes, or losses of endpoints that may be crashes, have changed.
    /// @param isCause the task is taken to be the cause of them; unless it is long-running, its job fails.
    virtual void onSuspicion(Job& job, const TaskKey& task, bool isCause) = 0;
    /// The availability zone was evacuated or given back.
    virtual void onEvacuation(const std::string& zone) = 0;
};

/// Deterministic state machine that every control instance builds from the same log. Must be used from one thread only.
class JobStore {
public:
    JobStore() = default;
    JobStore(const JobStore&) = delete;
    JobStore& operator=(const JobStore&) = delete;

    /// @param observer may be nullptr.
    void setObserver(StoreObserver* observer) { m_observer = observer; }

    /// @param listener called with each job that is added, whether or not there is an observer.
    void setJobListener(std::function<void(const Job&)> listener) { m_jobListener = std::move(listener); }

    /// Applies all commands of one entry. Commands that the current state has made obsolete are ignored; those that cannot be read are
    /// skipped, by every controller of the same version alike.
    void apply(std::string_view entry);
    /// @returns how many commands were skipped.
    [[nodiscard]] uint64_t skippedCommands() const { return m_skippedCommands; }
    [[nodiscard]] std::string snapshot() const;
    void restore(std::string_view snapshot);

    [[nodiscard]] const Catalog& catalog() const { return m_catalog; }
    [[nodiscard]] const std::map<std::string, Endpoint>& endpoints() const { return m_endpoints; }
    [[nodiscard]] const std::map<uint64_t, std::unique_ptr<Job>>& jobs() const { return m_jobs; }
    [[nodiscard]] const std::map<uint64_t, WaveState>& waves() const { return m_waves; }
    [[nodiscard]] const std::map<std::string, ReplicaInfo>& replicas() const { return m_replicas; }
    /// @returns when each evacuated availability zone was evacuated, in Unix milliseconds, by zone.
    [[nodiscard]] const std::map<std::string, int64_t>& evacuations() const { return m_evacuations; }
    /// @returns runs that are suspected of having crashed their endpoint.
    [[nodiscard]] const std::map<IncarnationKey, SuspectRuns>& suspects() const { return m_suspects; }
    /// @returns how much of their agreed rates the workspaces have used.
    [[nodiscard]] const AgreedRate& agreedRate() const { return m_agreedRate; }
    /// @returns how long the runs of earlier tasks took.
    [[nodiscard]] const RunTimeModel& runTimes() const { return m_runTimes; }
    [[nodiscard]] Job* findJob(std::string_view id);
    [[nodiscard]] const Job* findJob(std::string_view id) const;
    [[nodiscard]] Job* findJobBySerial(uint64_t serial);
    [[nodiscard]] const Endpoint* findEndpoint(const std::string& id) const;
    /// @returns the endpoint that runs on the instance, or nullptr.
    [[nodiscard]] const Endpoint* findEndpointByInstance(const std::string& instance) const;
    /// @returns the job's queue in the current catalog, or as it was when the job was accepted if it has been removed.
    [[nodiscard]] const Queue& queueOf(const Job& job) const;
    /// @returns the number of accepted jobs of the queue with no task placed yet, not counting jobs scheduled by wall-clock time.
    [[nodiscard]] size_t pendingJobCount(std::string_view queue) const;
    /// @returns ids of at most `maxCount` jobs that finished before `wallMs` (Unix milliseconds) and have no placements.
    [[nodiscard]] std::vector<std::string> jobsFinishedBefore(int64_t wallMs, size_t maxCount) const;

private:
    void apply(PutCatalog& command);
    void apply(PutEndpoint& command);
    void apply(RemoveEndpoint& command);
    void apply(PutJob& command);
    void apply(CancelJob& command);
    void apply(PlaceRuns& command);
    void apply(EndRuns& command);
    void apply(PutWave& command);
    void apply(MarkMaintained& command);
    void apply(RequestMaintenance& command);
    void apply(PurgeJobs& command);
    void apply(PutReplica& command);
    void apply(RecordSuspects& command);
    void apply(ResolveSuspects& command);
    void apply(ForgetCrashes& command);
    void apply(MarkDeregistered& command);
    void apply(PutEvacuation& command);
    /// Calls the function with each recorded run whose job and task are still in the state.
    void forEachSuspect(SuspectRuns& suspects, const std::function<void(SuspectRun&, Job&, Task&)>& handler);

    void learnRunTime(Job& job, const EndedRun& run);
    void restoreSuspects(const msgpack::object& object);
    void indexQueues();
    void skip(std::string_view reason);
    void markReplaced(const Endpoint& endpoint);
    void recordCheckpoint(Job& job, const EndedRun& run);
    void endRun(const EndedRun& run, int64_t endedAtMs);
    void markDone(Job& job, const TaskKey& key, int64_t endedAtMs);
    void countFailure(Job& job, Task& task, const RunKey& run, int64_t endedAtMs);
    void finish(Job& job, JobPhase phase, int64_t atMs);
    /// Called when something has changed that decides whether the job is pending.
    void updatePending(const Job& job);

    StoreObserver* m_observer = nullptr;
    std::function<void(const Job&)> m_jobListener;
    Catalog m_catalog;
    /// Points into m_catalog.
    std::unordered_map<std::string_view, const Queue*> m_queueByName;
    std::map<std::string, Endpoint> m_endpoints;
    /// Points into m_endpoints; rebuilt lazily after a change.
    mutable std::unordered_map<std::string_view, const Endpoint*> m_endpointByInstance;
    mutable bool m_isInstanceIndexStale = true;
    std::map<uint64_t, std::unique_ptr<Job>> m_jobs;
    std::unordered_map<std::string, Job*> m_jobsById;
    /// Serial numbers of the jobs that pendingJobCount() counts, by queue.
    std::map<std::string, std::set<uint64_t>, std::less<>> m_pendingJobs;
    std::map<uint64_t, WaveState> m_waves;
    std::map<std::string, ReplicaInfo> m_replicas;
    std::map<IncarnationKey, SuspectRuns> m_suspects;
    AgreedRate m_agreedRate;
    std::map<std::string, int64_t> m_evacuations;
    RunTimeModel m_runTimes;
    uint64_t m_lastSerial = 0;
    uint64_t m_skippedCommands = 0;
};

} // namespace vanillalift::jobs
