#include "control_follower_p.h"

#include <vanillalift/config.h>

#include <glog/logging.h>

namespace vanillalift {

namespace {

    using std::chrono::milliseconds;

    /// Longest wait that a poll asks for. A connected entry then always has over 2 s of its lease left, enough for an election.
    constexpr milliseconds pollWait { 500 };
    /// A replica that does not respond within this time is treated as unreachable.
    constexpr milliseconds pollTimeout { 1000 };
    /// Delay after a failed poll; prevents a busy loop while no replica is reachable.
    constexpr milliseconds retryDelay { 50 };
    constexpr milliseconds usageReportInterval { 1000 };

} // namespace

ControlFollower::ControlFollower(ControlFollowerDesc desc, const Clock& clock)
    : m_desc(std::move(desc))
    , m_clock(clock)
{
    for (const auto& it : m_desc.replicas)
        m_clients.push_back(std::make_unique<RpcClient>(it, m_desc.token));
}

ControlFollower::~ControlFollower() { stop(); }

void ControlFollower::start(const TeamUsageSource& use, AuthorityListener& listener)
{
    m_thread = std::thread([this, &use, &listener] { run(use, listener); });
}

void ControlFollower::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

CatalogPtr ControlFollower::catalog() const
{
    std::lock_guard lock(m_mutex);
    return m_catalog;
}

TimePoint ControlFollower::leaseEnd() const { return m_leaseEnd.load(); }

int64_t ControlFollower::limitPart(std::string_view team, TimePoint now) const
{
    if (now >= leaseEnd())
        return 0;
    std::lock_guard lock(m_mutex);
    auto it = m_parts.find(team);
    return it == m_parts.end() ? 0 : std::min(it->second.amount, it->second.target);
}

ControlFollowerStats ControlFollower::stats() const
{
    std::lock_guard lock(m_mutex);
    return { m_polls, m_failedPolls, m_catalog ? m_catalog->revision : 0, m_clock.now() < leaseEnd() };
}

FollowRequest ControlFollower::nextRequest(const TeamUsageSource& use, TimePoint now)
{
    FollowRequest request { m_desc.entry, m_desc.zone, 0, 0, std::nullopt, pollWait.count() };
    bool isUsageDue = false;
    {
        std::lock_guard lock(m_mutex);
        request.revision = m_catalog ? m_catalog->revision : 0;
        request.partsVersion = m_partsVersion;
        // The leader shrinks a part only on usage that was read after the entry applied the lower target, so report at once.
        isUsageDue = now >= m_nextUsageReport || m_reportedPartsVersion != m_partsVersion;
        if (isUsageDue) {
            m_nextUsageReport = now + usageReportInterval;
            m_reportedPartsVersion = m_partsVersion;
        }
    }
    if (isUsageDue)
        request.use = use.teamUsage();
    return request;
}

bool ControlFollower::applyResponse(const FollowResponse& response, TimePoint sentAt)
{
    std::lock_guard lock(m_mutex);
    bool isChanged = m_clock.now() >= leaseEnd();
    auto next = response.catalog ? std::make_shared<Catalog>(*response.catalog) : nullptr;
    if (!next && !response.changes.empty() && m_catalog) {
        next = std::make_shared<Catalog>(*m_catalog);
        for (const auto& it : response.changes)
            applyToCatalog(*next, it);
    }
    if (next && (!m_catalog || next->revision > m_catalog->revision)) {
        m_catalog = std::move(next);
        isChanged = true;
    }
    if (response.parts && response.partsVersion >= m_partsVersion) {
        m_parts.clear();
        for (const auto& it : *response.parts)
            m_parts[it.team] = it;
        m_partsVersion = response.partsVersion;
        isChanged = true;
    }
    // Only a response for the applied revision extends the lease. A newer revision is not applied yet; an older one comes from
    // a different control group, since committed revisions never revert.
    if (m_catalog && m_catalog->revision == response.revision)
        m_leaseEnd = std::max(m_leaseEnd.load(), sentAt + config::entryLease);
    return isChanged;
}

bool ControlFollower::pollOnce(const TeamUsageSource& use)
{
    auto sentAt = m_clock.now();
    auto request = nextRequest(use, sentAt);
    auto result = m_clients[m_currentClient]->call("follow", toJson(request), sentAt + pollTimeout);
    auto response = result ? followResponseFromJson(*result) : tl::unexpected(SettingsErrors {});
    std::unique_lock lock(m_mutex);
    ++m_polls;
    if (response) {
        lock.unlock();
        return applyResponse(*response, sentAt);
    }
    ++m_failedPolls;
    m_currentClient = (m_currentClient + 1) % m_clients.size();
    m_stopped.wait_for(lock, retryDelay, [&] { return m_isStopping; });
    return false;
}

void ControlFollower::logLeaseChange(TimePoint now)
{
    bool isValid = now < leaseEnd();
    if (isValid != m_wasLeaseValid)
        LOG(INFO) << "configuration lease " << (isValid ? "obtained" : "lost");
    m_wasLeaseValid = isValid;
}

void ControlFollower::run(const TeamUsageSource& use, AuthorityListener& listener)
{
    while (true) {
        {
            std::lock_guard lock(m_mutex);
            if (m_isStopping)
                return;
        }
        if (pollOnce(use))
            listener.authorityChanged();
        logLeaseChange(m_clock.now());
    }
}

} // namespace vanillalift
