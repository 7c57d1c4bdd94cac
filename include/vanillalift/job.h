#pragma once

#include <msgpack.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/// Jobs, the queues they are submitted to, and the endpoints that run their tasks.
namespace vanillalift::jobs {

/// Resource amounts: the capacity of an endpoint, the need of a task, or the limit of a workspace.
struct Resources {
    /// Millicores.
    int64_t cpu = 0;
    /// Megabytes.
    int64_t memory = 0;
    int64_t gpus = 0;

    MSGPACK_DEFINE(cpu, memory, gpus)
    bool operator==(const Resources&) const = default;
    Resources& operator+=(const Resources& it)
    {
        cpu += it.cpu;
        memory += it.memory;
        gpus += it.gpus;
        return *this;
    }
    Resources& operator-=(const Resources& it)
    {
        cpu -= it.cpu;
        memory -= it.memory;
        gpus -= it.gpus;
        return *this;
    }
    friend Resources operator+(Resources left, const Resources& right) { return left += right; }
    friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
    [[nodiscard]] bool fitsIn(const Resources& available) const { return cpu <= available.cpu && memory <= available.memory && gpus <= available.gpus; }
};

/// A group of identical tasks of a job.
struct StepSpec {
    uint32_t taskCount = 1;
    Resources need;
    /// Declared estimate of one task's run time, in milliseconds.
    uint32_t estimateMs = 0;
    /// Zero-based indices of the steps that must be done before this one starts.
    std::vector<uint32_t> after;
    /// The tasks write checkpoints, from which a later run resumes.
    bool savesProgress = false;
    /// Gang scheduling: the tasks make progress only while all of them run, and they end together.
    bool isGang = false;
    bool prefersOneRack = false;
    /// A second copy of a task may run concurrently; the first one to finish counts.
    bool allowsSpeculativeCopy = false;
    /// The tasks run until the job is cancelled and are restarted whatever their exit result.
    bool isLongRunning = false;
    /// The tasks use CPU time that other tasks leave idle; their CPU need is not counted against the endpoint's capacity.
    bool isBestEffort = false;
    std::string requiredLabel;
    std::string dataRack;
    std::string image;
    /// Maximum number of the step's tasks on one endpoint, 0 for no limit.
    uint32_t maxPerEndpoint = 0;
    /// Upper bound on the tail latency that long-running tasks offer to their own callers, in milliseconds; 0 for none.
    uint32_t latencyTargetMs = 0;
    /// Number of tasks that may be down at the same time because of stops initiated by the system.
    uint32_t maxUnavailable = 0;
    bool hasMaxUnavailable = false;

    MSGPACK_DEFINE(taskCount, need, estimateMs, after, savesProgress, isGang, prefersOneRack, allowsSpeculativeCopy, isLongRunning, isBestEffort, requiredLabel, dataRack, image, maxPerEndpoint, latencyTargetMs, maxUnavailable, hasMaxUnavailable)
    bool operator==(const StepSpec&) const = default;
};

struct JobSpec {
    /// Chosen by the client; a retried submission carries the same id.
    std::string id;
    /// Passed to the endpoints unchanged.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Number of scheduled runs of the steps by wall-clock time; 0 runs them once, immediately.
    uint32_t occurrences = 0;
    /// Unix time of the first occurrence and the interval between occurrences, in milliseconds.
    int64_t firstAtMs = 0;
    int64_t periodMs = 0;

    MSGPACK_DEFINE(id, payload, steps, occurrences, firstAtMs, periodMs)
    [[nodiscard]] uint32_t occurrenceCount() const { return occurrences == 0 ? 1 : occurrences; }
    /// @returns whether it has steps, each of which depends only on earlier ones, and no more steps and tasks than the limits in config.h.
    [[nodiscard]] bool isWellFormed() const;
};

/// Settings for consulting an external placement advice service, all in milliseconds.
struct AdviceSettings {
    /// Time allowed for an answer, to which `perEndpointMs` is added for each endpoint asked about.
    uint32_t decideMs = 0;
    uint32_t perEndpointMs = 0;
    uint32_t validMs = 0;

    MSGPACK_DEFINE(decideMs, perEndpointMs, validMs)
    bool operator==(const AdviceSettings&) const = default;
};

/// A queue for jobs of one kind, addressed by host and path prefix.
struct Queue {
    std::string name;
    std::string host;
    std::string pathPrefix;
    /// Pool whose endpoints run the tasks.
    std::string service;
    /// 0 is the highest priority.
    int priority = 0;
    uint32_t maxAttempts = 1;
    /// The latency objective of a job is `stretch` times its critical path plus `targetLatencyMs`.
    double stretch = 1;
    uint32_t targetLatencyMs = 0;
    uint32_t timeoutMs = 0;
    /// Accepts jobs from callers without a key.
    bool isPublic = false;
    bool isAdvised = false;
    AdviceSettings advice;

    MSGPACK_DEFINE(name, host, pathPrefix, service, priority, maxAttempts, stretch, targetLatencyMs, timeoutMs, isPublic, isAdvised, advice)
};

/// A pool of endpoints.
struct Service {
    std::string name;
    std::string healthPath;
    uint32_t maxConnections = 0;
    /// The endpoints reject work that exceeds their capacity; otherwise the dispatcher has to enforce it.
    bool refusesOverload = false;
    /// The pool's instances are powered off and not billed.
    bool isSpare = false;

    MSGPACK_DEFINE(name, healthPath, maxConnections, refusesOverload, isSpare)
};

struct Workspace {
    std::string name;
    std::vector<std::string> keys;
    /// Relative fair share when demand exceeds capacity.
    double weight = 1;
    /// Maximum resources in use at the same time; 0 means no limit for that resource.
    Resources limit;

    MSGPACK_DEFINE(name, keys, weight, limit)
};

/// One version of the operator's configuration.
struct Catalog {
    uint64_t version = 0;
    std::vector<Queue> queues;
    std::vector<Service> services;
    std::vector<Workspace> workspaces;
    /// The configuration text as submitted, returned on reads.
    std::string source;

    MSGPACK_DEFINE(version, queues, services, workspaces, source)

    /// @returns the queue with the longest matching prefix, or nullptr.
    [[nodiscard]] const Queue* findQueue(std::string_view host, std::string_view path) const;
    [[nodiscard]] const Queue* queueNamed(std::string_view name) const;
    [[nodiscard]] const Service* serviceNamed(std::string_view name) const;
    [[nodiscard]] const Workspace* workspaceNamed(std::string_view name) const;
    /// @returns the workspace that holds the key, or nullptr.
    [[nodiscard]] const Workspace* workspaceOfKey(std::string_view key) const;
};

/// One incarnation of an endpoint, the process on an instance that runs tasks.
struct Endpoint {
    std::string id;
    /// Unix start time in milliseconds; distinguishes incarnations that share an id.
    int64_t startedAtMs = 0;
    std::string service;
    /// "ip:port".
    std::string address;
    std::string availabilityZone;
    std::string instance;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool isDraining = false;
    /// An earlier incarnation had the same id: requests meant for it, with leases by its clock, may have reached this one.
    bool hasEarlierIncarnation = false;
    /// Sequence number of the endpoint's report that is recorded here: older reports that arrive later are ignored.
    uint64_t reportSequence = 0;
    /// It keeps running until it has the acknowledgement of its deregistration, and for some seconds without one.
    bool hasDeregistered = false;
    /// This incarnation has not described itself yet: labels, capacity and service are those of the one before. It gets no tasks.
    bool isUndescribed = false;

    MSGPACK_DEFINE(id, startedAtMs, service, address, availabilityZone, instance, rack, labels, capacity, isDraining, hasEarlierIncarnation, reportSequence, hasDeregistered, isUndescribed)
    bool operator==(const Endpoint&) const = default;
};

/// Identifies one task of one step of one occurrence of a job.
struct TaskKey {
    /// Serial number of the job in the replicated log.
    uint64_t job = 0;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    MSGPACK_DEFINE(job, occurrence, step, index)
    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the 0 of a defaulted comparison for a pointer
    auto operator<=>(const TaskKey&) const = default;
};

/// Identifies one run of a task.
struct RunKey {
    TaskKey task;
    /// Sequence number of the run within its task, from 1.
    uint32_t number = 0;

    MSGPACK_DEFINE(task, number)
    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the 0 of a defaulted comparison for a pointer
    auto operator<=>(const RunKey&) const = default;
};

struct RunKeyHash {
    size_t operator()(const RunKey& it) const
    {
        auto mixed = it.task.job * 0x9E3779B97F4A7C15ULL + it.task.occurrence;
        mixed = (mixed ^ it.task.step) * 0xC2B2AE3D27D4EB4FULL + it.task.index;
        return static_cast<size_t>((mixed ^ it.number) * 0x9E3779B97F4A7C15ULL);
    }
};

/// How a run ended.
enum class RunEnd : uint8_t {
    Done,
    /// The task or its endpoint failed.
    Failed,
    Stopped,
    /// The lease under which the endpoint ran the task expired.
    LeaseExpired,
    /// Another task of the gang ended.
    GangMemberEnded,
    /// The other tasks of the gang did not start in time.
    GangStartTimeout,
    /// The endpoint's incarnation ended, or its lease must have expired, without a report.
    Lost,
    /// The start request was rejected or can no longer be carried out.
    NotStarted,
    RunEndCount,
};

/// @returns the name used in logs, e.g. "not-started".
std::string_view runEndName(RunEnd end);

enum class JobPhase : uint8_t {
    Active,
    Completed,
    Failed,
    Cancelled,
    JobPhaseCount,
};

/// @returns the name used in logs, e.g. "completed".
std::string_view jobPhaseName(JobPhase phase);

/// A maintenance wave: a set of instances, each of which has to be taken down once.
struct Wave {
    uint64_t number = 0;
    std::vector<std::string> instances;
    /// Unix time by which all instances must have been taken down, in milliseconds.
    int64_t dueAtMs = 0;
    uint32_t maxConcurrent = 1;

    MSGPACK_DEFINE(number, instances, dueAtMs, maxConcurrent)
};

} // namespace vanillalift::jobs

MSGPACK_ADD_ENUM(vanillalift::jobs::RunEnd)
MSGPACK_ADD_ENUM(vanillalift::jobs::JobPhase)
