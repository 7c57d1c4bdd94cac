#include "follow_service_p.h"

#include "limit_planner_p.h"

#include <vanillalift/config.h>

#include <glog/logging.h>

namespace vanillalift {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds planInterval { 1000 };
    constexpr milliseconds maxWait { 1000 };
    /// Waits that end without a change are aligned to multiples of this time, so that one leadership confirmation covers all
    /// of them. Unaligned, the polls of 9 entries cost 18 message rounds between the replicas per second.
    constexpr milliseconds waitAlignment { 250 };
    /// Applies to leadership confirmations and to registrations of entries.
    constexpr milliseconds logTimeout { 1000 };
    /// Retention of entry records after the lease ended; longer than any request may run, so that limit parts are not
    /// reclaimed while requests of the entry still run.
    constexpr std::chrono::hours entryRetention { 2 };

    RpcError notLeader(const std::string& leader)
    {
        return { RpcErrorCode::Refused, "not-leader " + leader };
    }

    /// @returns the end of a poll's wait; alignment moves it less than `waitAlignment` earlier.
    TimePoint waitDeadline(TimePoint now, milliseconds wait)
    {
        auto end = now + std::min(maxWait, wait);
        auto aligned = end - end.time_since_epoch() % waitAlignment;
        return aligned > now ? aligned : end;
    }

    /// @returns whether the change at the revision affects how services are served; true if it is not in the history.
    bool isServiceChangeAt(const ControlState& state, uint64_t revision)
    {
        const auto& history = state.history();
        if (history.empty() || revision < history.front().revision || revision > history.back().revision)
            return true;
        auto change = changeFromJson(history[revision - history.front().revision].change, "history");
        return !change || isServiceChange(*change);
    }

    /// @returns the longest time for which an entry serves an open service without a lease.
    Duration maxIsolationPeriod(const ControlState& state)
    {
        auto catalog = state.catalog();
        int64_t longest = 0;
        for (const auto& it : catalog.services) {
            const auto& profile = catalog.profileOf(catalog.findService(it.name));
            if (profile.openToAll)
                longest = std::max(longest, profile.isolationPeriodMs);
        }
        return milliseconds(longest);
    }

} // namespace

FollowService::FollowService(ReplicatedLog& log, const ControlMachine& machine, const Clock& clock)
    : m_log(log)
    , m_machine(machine)
    , m_clock(clock)
{
}

FollowService::~FollowService() { stop(); }

void FollowService::addMethods(RpcServer& server)
{
    server.add("follow", [this](const nlohmann::json& params) { return follow(params); });
}

void FollowService::start()
{
    m_thread = std::thread([this] { run(); });
}

void FollowService::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

bool FollowService::refreshLeadership()
{
    auto status = m_log.status();
    if (status.role != ReplicaRole::Leader) {
        m_entries.reset();
        return false;
    }
    if (!m_entries || status.term != m_term) {
        m_term = status.term;
        m_entries.emplace(m_clock.now());
    }
    return true;
}

RpcResult FollowService::follow(const nlohmann::json& params)
{
    auto request = followRequestFromJson(params);
    if (!request)
        return tl::unexpected(RpcError { RpcErrorCode::InvalidParams, describe(request.error()) });
    if (!registerEntry(*request))
        return tl::unexpected(notLeader(m_log.status().leader));
    uint64_t term = 0;
    {
        std::lock_guard lock(m_mutex);
        ++m_stats.polls;
        if (!refreshLeadership()) {
            ++m_stats.refusedPolls;
            return tl::unexpected(notLeader(m_log.status().leader));
        }
        m_entries->recordPoll(*request, m_clock.now());
        term = m_term;
    }
    m_machine.waitForChange(request->revision, request->partsVersion, waitDeadline(m_clock.now(), milliseconds(request->waitMs)), m_clock);

    auto read = m_log.readIndex();
    if (read.wait_for(logTimeout) != std::future_status::ready || !read.get()) {
        std::lock_guard lock(m_mutex);
        ++m_stats.refusedPolls;
        return tl::unexpected(notLeader(m_log.status().leader));
    }
    std::lock_guard lock(m_mutex);
    if (!refreshLeadership() || m_term != term) {
        ++m_stats.refusedPolls;
        return tl::unexpected(notLeader(m_log.status().leader));
    }
    auto response = makeResponse(*request);
    m_entries->recordResponse(request->entry, response.revision, m_clock.now());
    return toJson(response);
}

bool FollowService::registerEntry(const FollowRequest& request)
{
    bool isKnown = m_machine.read([&](const ControlState& state) { return state.entries().contains(request.entry.name); });
    if (isKnown)
        return true;
    // The registration is committed before the entry's first lease, so that every later leader knows the entry.
    auto registered = m_log.propose(encodeCommand(RegisterEntryCommand { request.entry.name, request.zone }));
    return registered.wait_for(logTimeout) == std::future_status::ready && registered.get();
}

FollowResponse FollowService::makeResponse(const FollowRequest& request) const
{
    return m_machine.read([&](const ControlState& state) {
        FollowResponse response;
        response.revision = state.revision();
        response.partsVersion = state.partsVersion();
        const auto& history = state.history();
        bool isInHistory = request.revision > 0 && !history.empty() && history.front().revision <= request.revision + 1;
        if (request.revision < state.revision() && !isInHistory)
            response.catalog = state.catalog();
        for (auto it = history.begin(); !response.catalog && it != history.end(); ++it) {
            if (it->revision > request.revision)
                response.changes.push_back(*changeFromJson(it->change, "history"));
        }
        if (request.partsVersion != state.partsVersion()) {
            response.parts.emplace();
            for (const auto& it : state.parts()) {
                if (EntryId { it.entry, it.incarnation } == request.entry)
                    response.parts->push_back({ it.team, it.amount, it.target });
            }
        }
        return response;
    });
}

std::optional<InForceReport> FollowService::inForce(uint64_t revision)
{
    std::lock_guard lock(m_mutex);
    if (!refreshLeadership())
        return std::nullopt;
    auto now = m_clock.now();
    InForceReport report { false, 0, m_entries->pending(revision, now), {} };
    m_machine.read([&](const ControlState& state) {
        report.revision = state.revision();
        if (isServiceChangeAt(state, revision))
            report.isolated = m_entries->isolated(revision, state.entries(), maxIsolationPeriod(state), now);
    });
    report.isInForce = report.pending.empty() && report.isolated.empty() && report.revision >= revision;
    return report;
}

FollowServiceStats FollowService::stats() const
{
    std::lock_guard lock(m_mutex);
    auto stats = m_stats;
    if (m_entries) {
        for (const auto& [entry, record] : m_entries->entries())
            stats.liveEntries += m_entries->isLive(entry, m_clock.now()) ? 1 : 0;
    }
    return stats;
}

void FollowService::planOnce()
{
    std::optional<LimitPartsCommand> command;
    {
        std::lock_guard lock(m_mutex);
        if (!refreshLeadership())
            return;
        auto now = m_clock.now();
        command = m_machine.read([&](const ControlState& state) {
            return planParts({ state, *m_entries, milliseconds(state.maxRunTimeMs(wallClockMs())) + config::endpointStopMargin, now });
        });
        m_entries->removeExpired(now - entryRetention);
        m_stats.partsCommands += command ? 1 : 0;
    }
    // Waits for the outcome so that the planner never plans twice from the same state.
    if (command)
        m_log.propose(encodeCommand(*command)).wait();
}

void FollowService::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopped.wait_for(lock, planInterval, [&] { return m_isStopping; })) {
        lock.unlock();
        planOnce();
        lock.lock();
    }
}

} // namespace vanillalift
