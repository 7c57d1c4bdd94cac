#include "fleet_controller_p.h"

#include <vanillalift/clock.h>

#include <glog/logging.h>

namespace vanillalift {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds roundInterval { 1000 };
    /// A commit that takes longer has probably lost its leader; the next round reads its outcome from the state.
    constexpr milliseconds commitTimeout { 2000 };

    std::optional<PlatformOperation> operationOf(const InstanceStatus& status)
    {
        switch (status.action) {
        case FleetActionKind::BeginDrain:
            return PlatformOperation::Drain;
        case FleetActionKind::BeginReboot:
            return PlatformOperation::Reboot;
        case FleetActionKind::CancelDrain:
        case FleetActionKind::ChangePool:
            return PlatformOperation::Resume;
        default:
            return std::nullopt;
        }
    }

} // namespace

FleetController::FleetController(ReplicatedLog& log, const ControlMachine& machine, Platform& platform, FleetObserver& observer, std::function<int64_t()> wallMs, FleetControllerOptions options)
    : m_log(log)
    , m_machine(machine)
    , m_platform(platform)
    , m_observer(observer)
    , m_wallMs(std::move(wallMs))
    , m_options(options)
    , m_drains(options.drains)
    , m_waves(options.waves)
    , m_pools(options.pools)
{
}

FleetController::~FleetController()
{
    stop();
}

void FleetController::start()
{
    m_thread = std::thread([this] { run(); });
}

void FleetController::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void FleetController::run()
{
    auto deadline = BootClock::now();
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        runOnce();
        lock.lock();
        deadline = std::max(deadline + roundInterval, BootClock::now());
        m_stopped.wait_until(lock, deadline, [&] { return m_isStopping; });
    }
}

void FleetController::runOnce()
{
    if (!ensureLeadership())
        return;
    count(&FleetControllerStats::rounds);
    auto observations = observe();
    if (!observations)
        return;
    for (const auto& it : decide(*observations)) {
        if (!commit(it))
            break;
    }
    callPlatform(*observations);
}

bool FleetController::ensureLeadership()
{
    auto status = m_log.status();
    if (status.role != ReplicaRole::Leader) {
        m_term = 0;
        return false;
    }
    if (status.term == m_term)
        return true;
    // All commands committed by earlier leaders must be applied before the first decision of the term.
    auto read = m_log.readIndex();
    if (read.wait_for(commitTimeout) != std::future_status::ready || !read.get())
        return false;
    m_pools = PoolPlanner(m_options.pools);
    m_term = status.term;
    LOG(INFO) << "fleet controller: leader in term " << m_term;
    return true;
}

std::optional<FleetObservations> FleetController::observe()
{
    auto drains = m_machine.read([](const ControlState& state) {
        std::vector<ObservedDrain> inProgress;
        for (const auto& [name, status] : state.fleet().statuses) {
            if (status.phase == InstancePhase::Draining)
                inProgress.push_back({ name, status.drainRevision });
        }
        return inProgress;
    });
    auto observations = m_observer.observe(drains);
    auto reported = m_platform.instances();
    if (!reported) {
        count(&FleetControllerStats::failedPlatformCalls);
        return std::nullopt;
    }
    for (const auto& [name, instance] : *reported) {
        auto& it = observations.instances[name];
        it.platform = instance.state;
        it.platformActionId = instance.actionId;
    }
    return observations;
}

std::vector<FleetAction> FleetController::decide(const FleetObservations& observations)
{
    auto begin = BootClock::now();
    auto model = m_machine.read([&](const ControlState& state) { return makeFleetModel(state, observations, m_wallMs()); });
    auto actions = m_drains.plan(model);
    auto add = [&](std::vector<FleetAction> more) {
        for (auto& it : more) {
            markUnavailable(model, it);
            actions.push_back(std::move(it));
        }
    };
    add(m_waves.plan(model));
    add(m_pools.plan(model));
    std::lock_guard lock(m_mutex);
    m_stats.maxDecisionUs = std::max(m_stats.maxDecisionUs, std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now() - begin).count());
    return actions;
}

bool FleetController::commit(const FleetAction& action)
{
    auto proposed = m_log.propose(encodeCommand(FleetCommand { m_term, m_wallMs(), action }));
    if (proposed.wait_for(commitTimeout) != std::future_status::ready) {
        count(&FleetControllerStats::refusedActions);
        return false;
    }
    auto result = proposed.get();
    bool isAccepted = result && commandResultToJson(result->result).value("accepted", false);
    count(isAccepted ? &FleetControllerStats::committedActions : &FleetControllerStats::refusedActions);
    return result.has_value();
}

void FleetController::callPlatform(const FleetObservations& observations)
{
    auto isAccepted = [&](const std::string& name, const InstanceStatus& status) {
        auto seen = observations.instances.find(name);
        return seen != observations.instances.end() && seen->second.platformActionId >= status.actionId;
    };
    // Only committed state is read here, so a deposed leader can at most repeat calls for committed actions; the platform
    // detects these by action id and term.
    auto requests = m_machine.read([&](const ControlState& state) {
        std::vector<PlatformRequest> pending;
        for (const auto& [name, status] : state.fleet().statuses) {
            auto operation = operationOf(status);
            if (operation && status.phase != InstancePhase::Failed && !isAccepted(name, status))
                pending.push_back({ *operation, name, state.instances().at(name).pool, status.actionId, m_term });
        }
        return pending;
    });
    for (const auto& it : requests) {
        count(&FleetControllerStats::platformCalls);
        auto result = m_platform.request(it);
        if (result)
            continue;
        count(&FleetControllerStats::failedPlatformCalls);
        // The next round repeats the pending calls; further calls in this round would only add up time-outs.
        if (result.error().code == PlatformErrorCode::Unreachable || result.error().code == PlatformErrorCode::OldTerm)
            return;
    }
}

void FleetController::count(uint64_t FleetControllerStats::*field)
{
    std::lock_guard lock(m_mutex);
    ++(m_stats.*field);
}

FleetControllerStats FleetController::stats() const
{
    std::lock_guard lock(m_mutex);
    return m_stats;
}

} // namespace vanillalift
