#pragma once

#include "request/request_runner_p.h"

#include <condition_variable>
#include <map>
#include <set>

/// Fakes of the interfaces that src/request uses.
namespace vanillalift::test {

using std::chrono::milliseconds;

inline TimePoint at(int64_t ms) { return TimePoint(std::chrono::seconds(1000) + milliseconds(ms)); }

class FakeAuthority final : public Authority {
public:
    explicit FakeAuthority(Catalog catalog)
        : m_catalog(std::make_shared<const Catalog>(std::move(catalog)))
    {
    }

    [[nodiscard]] CatalogPtr catalog() const override
    {
        std::lock_guard lock(m_mutex);
        return m_catalog;
    }
    void setCatalog(Catalog catalog)
    {
        std::lock_guard lock(m_mutex);
        m_catalog = std::make_shared<const Catalog>(std::move(catalog));
    }
    [[nodiscard]] TimePoint leaseEnd() const override { return leaseEndTime.load(); }
    [[nodiscard]] int64_t limitPart(std::string_view team, TimePoint now) const override
    {
        auto it = limitParts.find(team);
        return now >= leaseEndTime.load() || it == limitParts.end() ? 0 : it->second;
    }

    std::atomic<TimePoint> leaseEndTime { TimePoint::max() };
    std::map<std::string, int64_t, std::less<>> limitParts;

private:
    mutable std::mutex m_mutex;
    CatalogPtr m_catalog;
};

/// Endpoint slots by service. Each service has endpoint 0 in the entry's own zone and endpoint 1 in another zone.
class FakePool final : public EndpointPool {
public:
    /// Slots of a service by zone.
    struct Capacity {
        int64_t ownZone = 0;
        int64_t otherZone = 0;
        int64_t ownZoneInUse = 0;
        int64_t otherZoneInUse = 0;
    };

    std::optional<EndpointSlot> acquire(const SlotDesc& desc, TimePoint /*now*/) override
    {
        std::lock_guard lock(m_mutex);
        auto& capacity = capacities[std::string(desc.service)];
        if (onAcquire)
            onAcquire();
        bool isOwnAvoided = !desc.avoid.empty() && desc.avoid.back().index == 0 && capacity.otherZoneInUse < capacity.otherZone;
        if (capacity.ownZoneInUse < capacity.ownZone && !isOwnAvoided) {
            ++capacity.ownZoneInUse;
            return EndpointSlot { { 0 }, std::string(desc.service), 1, "own" };
        }
        if (!(desc.allowOtherZones || isOwnAvoided) || capacity.otherZoneInUse >= capacity.otherZone)
            return std::nullopt;
        ++capacity.otherZoneInUse;
        return EndpointSlot { { 1 }, std::string(desc.service), 1, "other" };
    }
    void release(const EndpointSlot& slot, AttemptVerdict verdict, bool /*hasQueuedRequests*/, TimePoint /*now*/) override
    {
        std::lock_guard lock(m_mutex);
        auto& capacity = capacities[slot.address];
        --(slot.endpoint.index == 0 ? capacity.ownZoneInUse : capacity.otherZoneInUse);
        verdicts.push_back(verdict);
    }
    [[nodiscard]] EndpointPoolStats stats(std::string_view service, TimePoint /*now*/) const override
    {
        std::lock_guard lock(m_mutex);
        auto it = capacities.find(std::string(service));
        return { it != capacities.end() && it->second.ownZone + it->second.otherZone + it->second.ownZoneInUse > 0 ? 1 : 0, 0, 0, 0 };
    }
    int64_t slotsInUse() const
    {
        std::lock_guard lock(m_mutex);
        int64_t n = 0;
        for (const auto& [name, capacity] : capacities)
            n += capacity.ownZoneInUse + capacity.otherZoneInUse;
        return n;
    }

    std::map<std::string, Capacity> capacities;
    std::vector<AttemptVerdict> verdicts;
    std::function<void()> onAcquire;

private:
    mutable std::mutex m_mutex;
};

/// In-memory claims of a single entry.
class FakeClaims final : public ClaimService {
public:
    ClaimResult claim(const ClaimKey& key, TimePoint /*deadline*/, TimePoint /*retainUntil*/) override
    {
        std::lock_guard lock(m_mutex);
        ++calls;
        if (isUnavailable)
            return ClaimUnavailable { "no majority" };
        if (auto it = settled.find(nameOf(key)); it != settled.end())
            return ClaimSettled { it->second };
        if (!m_running.insert(nameOf(key)).second)
            return ClaimInProgress {};
        return ClaimWon {};
    }
    void settle(const ClaimKey& key, const Outcome& outcome) override
    {
        std::lock_guard lock(m_mutex);
        settled[nameOf(key)] = outcome;
    }
    bool release(const ClaimKey& key) override
    {
        std::lock_guard lock(m_mutex);
        if (!isReleaseConfirmed)
            return false;
        if (onRelease)
            onRelease(key);
        m_running.erase(nameOf(key));
        return true;
    }

    std::atomic<int> calls { 0 };
    std::atomic<bool> isUnavailable { false };
    std::atomic<bool> isReleaseConfirmed { true };
    std::map<std::string, Outcome> settled;
    /// Called before another delivery can win the claim.
    std::function<void(const ClaimKey&)> onRelease;

private:
    static std::string nameOf(const ClaimKey& key) { return key.team + " " + key.service + " " + key.requestId; }

    std::mutex m_mutex;
    std::set<std::string> m_running;
};

class FakeClient final : public AttemptClient {
public:
    AttemptResult send(const AttemptDesc& desc) override { return onSend(desc); }

    std::function<AttemptResult(const AttemptDesc&)> onSend = [](const AttemptDesc&) -> AttemptResult { return AttemptAnswered { { 200, {}, "ok" } }; };
};

class FakeCaller final : public CallerConnection {
public:
    [[nodiscard]] bool isClosed() const override { return false; }
    void onClose(std::function<void()> callback) const override
    {
        std::lock_guard lock(m_mutex);
        m_callback = std::move(callback);
    }
    void close() const
    {
        std::lock_guard lock(m_mutex);
        if (m_callback)
            std::exchange(m_callback, nullptr)();
    }

private:
    mutable std::mutex m_mutex;
    mutable std::function<void()> m_callback;
};

/// Services a and b (normal), c (urgent, open to all), o (non-idempotent). Teams x (share weight 3), y and z (share weight 1).
inline Catalog makeCatalog(int64_t queueBound = 100)
{
    Catalog catalog;
    Profile normal { .name = "normal", .idempotent = true, .queueBound = queueBound, .timeoutMs = 60000, .isolationPeriodMs = 1000 };
    Profile once = normal;
    once.name = "once";
    once.idempotent = false;
    Profile urgent = normal;
    urgent.name = "urgent";
    urgent.urgency = Urgency::Urgent;
    urgent.openToAll = true;
    catalog.profiles = { normal, once, urgent };
    catalog.services = { { "a", "normal", {} }, { "b", "normal", {} }, { "c", "urgent", {} }, { "o", "once", {} } };
    catalog.teams = { { "x", 3, 1000 }, { "y", 1, 1000 }, { "z", 1, 1000 } };
    return catalog;
}

/// A scheduler with fake dependencies, driven without threads.
struct SchedulerFixture {
    explicit SchedulerFixture(int64_t queueBound = 100)
        : authority(makeCatalog(queueBound))
    {
        authority.limitParts = { { "x", 1000 }, { "y", 1000 }, { "z", 1000 } };
    }

    std::shared_ptr<Ticket> enqueue(std::string_view service, std::string_view team, int64_t nowMs = 0, int64_t deadlineMs = 60000)
    {
        auto ticket = std::make_shared<Ticket>(service, team, at(deadlineMs));
        auto catalog = authority.catalog();
        auto handle = catalog->findService(service);
        auto teamHandle = catalog->findTeam(team);
        scheduler.enqueue(*ticket, catalog->profileOf(handle), teamHandle.isValid() ? catalog->shareWeight(handle, teamHandle) : 1, at(nowMs));
        return ticket;
    }
    void end(Ticket& ticket, int64_t nowMs = 0, AttemptVerdict verdict = AttemptVerdict::Succeeded)
    {
        scheduler.endAttempt(ticket, verdict, AfterAttempt::Finish, at(nowMs));
    }
    int64_t running(std::string_view team) const
    {
        for (const auto& it : scheduler.teamUsage()) {
            if (it.team == team)
                return it.running;
        }
        return 0;
    }

    FakeAuthority authority;
    FakePool pool;
    Scheduler scheduler { authority, pool, std::mt19937_64(1) };
};

} // namespace vanillalift::test
