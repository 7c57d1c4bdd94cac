#pragma once

#include <vanillalift/job.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>

/// The replicated state of jobs, endpoints, configuration and waves, and the leader's decisions about them.
namespace vanillalift::jobs {

struct PutCatalog {
    Catalog catalog;
    MSGPACK_DEFINE(catalog)
};
/// Records a new endpoint, a new life, or a changed report of a known one.
struct PutEndpoint {
    Endpoint endpoint;
    MSGPACK_DEFINE(endpoint)
};
struct RemoveEndpoint {
    std::string id;
    int64_t startedAtMs = 0;
    MSGPACK_DEFINE(id, startedAtMs)
};
struct PutJob {
    JobSpec spec;
    std::string workspace;
    std::string queue;
    int64_t acceptedAtMs = 0;
    MSGPACK_DEFINE(spec, workspace, queue, acceptedAtMs)
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
/// Written before the order to start is sent.
struct PlaceRuns {
    std::vector<PlacedRun> runs;
    MSGPACK_DEFINE(runs)
};
struct EndedRun {
    RunKey run;
    RunEnd end = RunEnd::Done;
    /// Empty if there is none, or no newer one.
    std::string checkpoint;
    MSGPACK_DEFINE(run, end, checkpoint)
};
/// Written before the endpoint is told to forget the ends.
struct EndRuns {
    std::vector<EndedRun> runs;
    int64_t endedAtMs = 0;
    MSGPACK_DEFINE(runs, endedAtMs)
};
struct PutWave {
    Wave wave;
    MSGPACK_DEFINE(wave)
};
/// Written before the platform is asked to take the instance down.
struct RequestMaintenance {
    uint64_t wave = 0;
    std::string instance;
    MSGPACK_DEFINE(wave, instance)
};
/// The instance's maintenance has begun, or the instance has left for good.
struct MarkMaintained {
    uint64_t wave = 0;
    std::string instance;
    MSGPACK_DEFINE(wave, instance)
};
/// Forgets finished jobs.
struct PurgeJobs {
    std::vector<std::string> ids;
    MSGPACK_DEFINE(ids)
};
/// A control instance has joined, with its availability zone.
struct PutReplica {
    std::string name;
    std::string availabilityZone;
    /// Whether it took the place of another one rather than formed the group.
    bool isReplacement = false;
    MSGPACK_DEFINE(name, availabilityZone, isReplacement)
};

using Command = std::variant<PutCatalog, PutEndpoint, RemoveEndpoint, PutJob, CancelJob, PlaceRuns, EndRuns, PutWave, MarkMaintained, PurgeJobs, PutReplica, RequestMaintenance>;

/// Appends one command to an entry of the log.
void appendCommand(std::string& entry, const Command& command);

/// A run that an order may have been sent for and whose end is not recorded.
struct Placement {
    uint32_t run = 0;
    std::string endpoint;
    MSGPACK_DEFINE(run, endpoint)
};

struct Task {
    bool isDone = false;
    uint32_t failures = 0;
    uint32_t lastRun = 0;
    std::string checkpoint;
    std::vector<Placement> placements;
    /// Endpoint of the newest failed run: the next one goes elsewhere.
    std::string lastFailedEndpoint;
    MSGPACK_DEFINE(isDone, failures, lastRun, checkpoint, placements, lastFailedEndpoint)

    [[nodiscard]] bool isIdle() const { return !isDone && placements.empty(); }
};

struct Step {
    std::vector<Task> tasks;
    uint32_t doneCount = 0;
    MSGPACK_DEFINE(tasks, doneCount)
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
    /// As it was when the job was accepted; used if the queue is removed.
    Queue queue;
    int64_t acceptedAtMs = 0;
    JobPhase phase = JobPhase::Active;
    int64_t finishedAtMs = 0;
    bool hasStarted = false;
    /// Placements in all tasks.
    uint32_t placementCount = 0;
    std::vector<Occurrence> occurrences;
    MSGPACK_DEFINE(serial, spec, workspace, queue, acceptedAtMs, phase, finishedAtMs, hasStarted, placementCount, occurrences)

    [[nodiscard]] bool isActive() const { return phase == JobPhase::Active; }
    [[nodiscard]] bool isLongRunning() const { return !spec.steps.empty() && spec.steps.front().isLongRunning; }
    /// Whether all tasks of the steps before it are done.
    [[nodiscard]] bool isStepReady(uint32_t occurrence, uint32_t step) const;
    Task* findTask(const TaskKey& key);
    [[nodiscard]] const Task* findTask(const TaskKey& key) const;
};

struct WaveState {
    Wave wave;
    /// Instances whose maintenance was ordered, with those whose maintenance has begun.
    std::vector<std::string> requested;
    std::vector<std::string> maintained;
    MSGPACK_DEFINE(wave, requested, maintained)

    [[nodiscard]] bool isRequested(std::string_view instance) const;
    [[nodiscard]] bool isMaintained(std::string_view instance) const;
    [[nodiscard]] bool isComplete() const { return maintained.size() >= wave.instances.size(); }
};

struct ReplicaInfo {
    std::string availabilityZone;
    bool isReplacement = false;
    MSGPACK_DEFINE(availabilityZone, isReplacement)
};

/// Told of changes as they are applied; the leader's decisions follow them.
class StoreObserver {
public:
    virtual ~StoreObserver() = default;
    virtual void onCatalog() = 0;
    virtual void onEndpoint(const Endpoint& endpoint) = 0;
    /// @param last the endpoint as it was.
    virtual void onEndpointRemoved(const Endpoint& last) = 0;
    virtual void onJob(Job& job) = 0;
    /// The job has completed, failed or been cancelled. Its placements may still have to be stopped.
    virtual void onJobFinished(Job& job) = 0;
    virtual void onRunPlaced(Job& job, const RunKey& run, const std::string& endpoint) = 0;
    /// @param endpoint where the run was placed.
    virtual void onRunEnded(Job& job, const EndedRun& run, const std::string& endpoint) = 0;
    virtual void onWave(const WaveState& wave) = 0;
};

/// Deterministic state that every control instance builds from the same log. Belongs to one thread.
class JobStore {
public:
    JobStore() = default;
    JobStore(const JobStore&) = delete;
    JobStore& operator=(const JobStore&) = delete;

    /// @param observer may be nullptr.
    void setObserver(StoreObserver* observer) { m_observer = observer; }

    /// Applies all commands of one entry. Commands that no longer fit the state change nothing.
    void apply(std::string_view entry);
    [[nodiscard]] std::string snapshot() const;
    void restore(std::string_view snapshot);

    [[nodiscard]] const Catalog& catalog() const { return m_catalog; }
    [[nodiscard]] const std::map<std::string, Endpoint>& endpoints() const { return m_endpoints; }
    [[nodiscard]] const std::map<uint64_t, std::unique_ptr<Job>>& jobs() const { return m_jobs; }
    [[nodiscard]] const std::map<uint64_t, WaveState>& waves() const { return m_waves; }
    [[nodiscard]] const std::map<std::string, ReplicaInfo>& replicas() const { return m_replicas; }
    [[nodiscard]] Job* findJob(std::string_view id);
    [[nodiscard]] const Job* findJob(std::string_view id) const;
    [[nodiscard]] Job* findJobBySerial(uint64_t serial);
    [[nodiscard]] const Endpoint* findEndpoint(const std::string& id) const;
    /// @returns the endpoint that the instance runs, or nullptr.
    [[nodiscard]] const Endpoint* findEndpointByInstance(const std::string& instance) const;
    /// @returns the queue's present terms, or those under which the job was accepted.
    [[nodiscard]] const Queue& queueOf(const Job& job) const;
    /// @returns accepted jobs of the queue, without those run by the wall clock, of which no task has been placed.
    [[nodiscard]] size_t pendingJobCount(std::string_view queue) const;
    /// @returns jobs that finished before the moment and hold no placement.
    [[nodiscard]] std::vector<std::string> jobsFinishedBefore(int64_t wallMs, size_t most) const;

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

    void indexQueues();
    void end(const EndedRun& run, int64_t endedAtMs);
    void markDone(Job& job, const TaskKey& key, int64_t endedAtMs);
    void countFailure(Job& job, Task& task, const TaskKey& key, int64_t endedAtMs);
    void finish(Job& job, JobPhase phase, int64_t atMs);

    StoreObserver* m_observer = nullptr;
    Catalog m_catalog;
    /// Into m_catalog.
    std::unordered_map<std::string_view, const Queue*> m_queueByName;
    std::map<std::string, Endpoint> m_endpoints;
    /// Into m_endpoints; made anew when it is next needed after a change.
    mutable std::unordered_map<std::string_view, const Endpoint*> m_endpointByInstance;
    mutable bool m_isInstanceIndexStale = true;
    std::map<uint64_t, std::unique_ptr<Job>> m_jobs;
    std::unordered_map<std::string, Job*> m_jobsById;
    std::map<uint64_t, WaveState> m_waves;
    std::map<std::string, ReplicaInfo> m_replicas;
    uint64_t m_lastSerial = 0;
};

} // namespace vanillalift::jobs
