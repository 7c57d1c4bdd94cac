#pragma once

#include <msgpack.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/// Jobs, the queues they are handed in to, and the endpoints that run their tasks.
namespace vanillalift::jobs {

/// Capacity of an endpoint, need of a task, or limit of a workspace.
struct Resources {
    /// Thousandths of a core.
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
    [[nodiscard]] bool fitsIn(const Resources& room) const { return cpu <= room.cpu && memory <= room.memory && gpus <= room.gpus; }
};

/// A group of equal tasks of a job.
struct StepSpec {
    uint32_t taskCount = 1;
    Resources need;
    /// Rough estimate of one task's run time, in milliseconds.
    uint32_t estimateMs = 0;
    /// Steps, counted from 0, whose tasks all have to be done before.
    std::vector<uint32_t> after;
    bool savesProgress = false;
    /// The tasks work only while all of them run, and end together.
    bool isGang = false;
    bool prefersOneRack = false;
    /// A second copy of a task may run at the same time; the first to finish counts.
    bool allowsSpeculativeCopy = false;
    /// The tasks run until the job is cancelled and are started again however they end.
    bool isLongRunning = false;
    /// The tasks use what others leave of an endpoint's processors; their cpu need is not counted against its capacity.
    bool isBestEffort = false;
    std::string requiredLabel;
    std::string dataRack;
    std::string image;
    /// Most tasks of the step on one endpoint, 0 for no bound.
    uint32_t maxPerEndpoint = 0;
    /// Bound on the tail latency that lasting tasks give their own callers, in milliseconds; 0 for none.
    uint32_t latencyTargetMs = 0;
    /// Tasks that may be away at the same time because of the system's own stops.
    uint32_t maxUnavailable = 0;
    bool hasMaxUnavailable = false;

    MSGPACK_DEFINE(taskCount, need, estimateMs, after, savesProgress, isGang, prefersOneRack, allowsSpeculativeCopy, isLongRunning, isBestEffort, requiredLabel, dataRack, image, maxPerEndpoint, latencyTargetMs, maxUnavailable, hasMaxUnavailable)
    bool operator==(const StepSpec&) const = default;
};

struct JobSpec {
    /// Chosen by the client; a repeated request carries the same id.
    std::string id;
    /// Handed to the endpoints unchanged.
    std::string payload;
    std::vector<StepSpec> steps;
    /// Times that the steps run by the wall clock, 0 for once and at once.
    uint32_t occurrences = 0;
    /// Unix time of the first occurrence, and the time between two, in milliseconds.
    int64_t firstAtMs = 0;
    int64_t periodMs = 0;

    MSGPACK_DEFINE(id, payload, steps, occurrences, firstAtMs, periodMs)
    [[nodiscard]] uint32_t occurrenceCount() const { return occurrences == 0 ? 1 : occurrences; }
};

/// How a queue wants its placements advised by an outside service, all in milliseconds.
struct AdviceSettings {
    uint32_t decideMs = 0;
    uint32_t perEndpointMs = 0;
    uint32_t validMs = 0;

    MSGPACK_DEFINE(decideMs, perEndpointMs, validMs)
    bool operator==(const AdviceSettings&) const = default;
};

/// A queue: the place, by host and path, to which clients hand in jobs of one kind.
struct Queue {
    std::string name;
    std::string host;
    std::string pathPrefix;
    /// Pool whose endpoints run the tasks.
    std::string service;
    /// 0 comes first.
    int priority = 0;
    uint32_t maxAttempts = 1;
    double stretch = 1;
    uint32_t targetLatencyMs = 0;
    uint32_t timeoutMs = 0;
    /// Open to callers without a key.
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
    /// The endpoints refuse what does not fit; else their capacity is ours to keep.
    bool refusesOverload = false;
    /// The pool's instances are off and not paid for.
    bool isSpare = false;

    MSGPACK_DEFINE(name, healthPath, maxConnections, refusesOverload, isSpare)
};

struct Workspace {
    std::string name;
    std::vector<std::string> keys;
    /// Share when all is full.
    double weight = 1;
    /// What it may have running at the same time; a component of 0 is no limit.
    Resources limit;

    MSGPACK_DEFINE(name, keys, weight, limit)
};

/// One version of the operators' configuration.
struct Catalog {
    uint64_t version = 0;
    std::vector<Queue> queues;
    std::vector<Service> services;
    std::vector<Workspace> workspaces;
    /// As the operator sent it, for reading it back.
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

/// One life of an instance that runs tasks.
struct Endpoint {
    std::string id;
    /// Unix time of its start in milliseconds: tells two lives under one id apart.
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
    /// An earlier life had the same id: orders meant for it, with leases by its clock, may have reached this one.
    bool hasEarlierIncarnation = false;

    MSGPACK_DEFINE(id, startedAtMs, service, address, availabilityZone, instance, rack, labels, capacity, isDraining, hasEarlierIncarnation)
    bool operator==(const Endpoint&) const = default;
};

/// A task: one of the tasks of one step of one occurrence of a job.
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

/// One run of a task.
struct RunKey {
    TaskKey task;
    /// Numbers the starts of a task, from 1.
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

enum class RunEnd : uint8_t {
    Done,
    /// Through the task's own fault or the endpoint's.
    Failed,
    Stopped,
    /// The endpoint's lease ended.
    LeaseExpired,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// The other members of the gang did not come in time.
    GangStartTimeout,
    /// The endpoint's life ended, or its lease must have ended, without a report.
    Lost,
    /// The order was refused, or can no longer be carried out.
    NotStarted,
    RunEndCount,
};

/// @returns the end as shown in logs, e.g. "not-started".
std::string_view runEndName(RunEnd end);

enum class JobPhase : uint8_t {
    Active,
    Completed,
    Failed,
    Cancelled,
    JobPhaseCount,
};

/// A maintenance wave: instances that each have to be taken down once.
struct Wave {
    uint64_t number = 0;
    std::vector<std::string> instances;
    /// Unix time by which all are due, in milliseconds.
    int64_t dueAtMs = 0;
    uint32_t maxConcurrent = 1;

    MSGPACK_DEFINE(number, instances, dueAtMs, maxConcurrent)
};

} // namespace vanillalift::jobs

MSGPACK_ADD_ENUM(vanillalift::jobs::RunEnd)
MSGPACK_ADD_ENUM(vanillalift::jobs::JobPhase)
