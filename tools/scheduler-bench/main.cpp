#include "request/scheduler_p.h"

#include <iostream>

using namespace vanillalift;

/// Measures the scheduling decisions per second at several queue lengths.
namespace {

/// An authority whose lease never ends and whose limits are never reached.
class UnlimitedAuthority final : public Authority {
public:
    [[nodiscard]] CatalogPtr catalog() const override { return nullptr; }
    [[nodiscard]] TimePoint leaseEnd() const override { return TimePoint::max(); }
    [[nodiscard]] int64_t limitPart(std::string_view /*team*/, TimePoint /*now*/) const override { return 1000000; }
};

/// A pool with one endpoint slot.
class SingleSlotPool final : public EndpointPool {
public:
    std::optional<EndpointSlot> acquire(const SlotDesc& /*desc*/, TimePoint /*now*/) override
    {
        if (std::exchange(m_isAcquired, true))
            return std::nullopt;
        return EndpointSlot { { 0 }, "10.0.0.1:80", 1, "zone" };
    }
    void release(const EndpointSlot& /*place*/, AttemptVerdict /*verdict*/, bool /*hasQueuedRequests*/, TimePoint /*now*/) override { m_isAcquired = false; }
    [[nodiscard]] EndpointPoolStats stats(std::string_view /*service*/, TimePoint /*now*/) const override { return { 1, 0, 1, 1 }; }

private:
    bool m_isAcquired = false;
};

/// Keeps the queue length constant: each step ends the running request, which dispatches the next one, and enqueues another.
/// @returns 0 if the scheduler did not grant the requests in the expected order.
double decisionsPerSecond(size_t queueLength, size_t teamCount)
{
    UnlimitedAuthority authority;
    SingleSlotPool pool;
    Scheduler scheduler(authority, pool, std::mt19937_64(1));
    Profile profile { .name = "bench", .queueBound = static_cast<int64_t>(queueLength) + 10 };
    std::list<Ticket> tickets;
    size_t enqueued = 0;
    auto now = TimePoint(std::chrono::hours(1));
    auto enqueue = [&] {
        auto& it = tickets.emplace_back("service", "team-" + std::to_string(enqueued++ % teamCount), now + std::chrono::hours(10000));
        scheduler.enqueue(it, profile, 1, now);
    };
    for (size_t i = 0; i <= queueLength; ++i)
        enqueue();
    constexpr int steps = 200000;
    auto start = BootClock::now();
    for (int i = 0; i < steps; ++i) {
        // With equal weights the teams are served round robin, so the oldest ticket is the running one.
        if (tickets.front().state != TicketState::Granted)
            return 0;
        now += std::chrono::microseconds(10);
        scheduler.endAttempt(tickets.front(), AttemptVerdict::Succeeded, AfterAttempt::Finish, now);
        tickets.pop_front();
        enqueue();
    }
    return steps / std::chrono::duration<double>(BootClock::now() - start).count();
}

} // namespace

int main()
{
    for (size_t teams : { 6, 50 }) {
        for (size_t length : { 100, 1000, 10000, 100000 })
            std::cout << "teams " << teams << " queued " << length << " decisions/s " << static_cast<int64_t>(decisionsPerSecond(length, teams)) << std::endl;
    }
    return 0;
}
