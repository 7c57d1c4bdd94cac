#include <catch2/catch.hpp>

#include "request_fakes.h"

#include <vanillalift/config.h>

#include <rapidcheck.h>

using namespace vanillalift;
using namespace vanillalift::test;

namespace {

constexpr std::array<const char*, 4> teams { "x", "y", "z", "" };
constexpr std::array<const char*, 3> services { "a", "b", "c" };

enum class Step {
    Enqueue,
    Succeed,
    Break,
    NotStarted,
    Cancel,
    Advance,
    ResizePart,
    ResizePool,
    LoseLease,
    StepCount,
};

/// Applies random steps to a scheduler and checks its state against an independent model.
class Model {
public:
    void apply(Step step, uint32_t a, uint32_t b)
    {
        perform(step, a, b);
        check();
        // Every request that can be dispatched has been, so a further dispatch grants nothing.
        auto grants = m_grantCount;
        m_fixture.scheduler.authorityChanged(at(m_now));
        check();
        RC_ASSERT(m_grantCount == grants);
    }

    void endAll()
    {
        for (auto& it : m_tickets)
            m_fixture.scheduler.cancel(*it.ticket, at(m_now));
        for (auto& it : m_tickets) {
            if (it.ticket->state == TicketState::Granted)
                m_fixture.end(*it.ticket, m_now, AttemptVerdict::Broken);
        }
        m_fixture.scheduler.releaseExpired(at(m_now + 10000));
        for (const auto& use : m_fixture.scheduler.teamUsage())
            RC_ASSERT(use.running == 0 && use.queued == 0);
        for (const auto& stats : m_fixture.scheduler.serviceStats())
            RC_ASSERT(stats.running == 0 && stats.queued == 0);
        RC_ASSERT(m_fixture.pool.slotsInUse() == 0);
    }

private:
    struct TrackedTicket {
        std::shared_ptr<Ticket> ticket;
        TicketState lastState = TicketState::Idle;
        /// Time until which the team's permit is held although the attempt has ended.
        TimePoint heldUntil {};
        bool hasEnded = false;
    };

    TrackedTicket* pick(TicketState state, uint32_t n)
    {
        std::vector<TrackedTicket*> found;
        for (auto& it : m_tickets) {
            if (it.ticket->state == state)
                found.push_back(&it);
        }
        return found.empty() ? nullptr : found[n % found.size()];
    }

    void perform(Step step, uint32_t a, uint32_t b)
    {
        auto& scheduler = m_fixture.scheduler;
        if (step == Step::Enqueue) {
            const auto* service = services.at(b % services.size());
            const auto* team = teams.at(service == services.back() ? a % teams.size() : a % (teams.size() - 1));
            m_tickets.push_back({ m_fixture.enqueue(service, team, m_now, m_now + 1 + b % 300) });
        } else if (step == Step::Advance) {
            m_now += a % 60;
            scheduler.authorityChanged(at(m_now));
        } else if (step == Step::ResizePart) {
            m_fixture.authority.limitParts[teams.at(a % 3)] = b % 4;
            scheduler.authorityChanged(at(m_now));
        } else if (step == Step::ResizePool) {
            m_fixture.pool.capacities[services.at(a % services.size())] = resized(services.at(a % services.size()), b);
            scheduler.authorityChanged(at(m_now));
        } else if (step == Step::LoseLease) {
            m_fixture.authority.leaseEndTime = a % 2 == 0 ? TimePoint::max() : at(m_now);
            scheduler.authorityChanged(at(m_now));
        } else if (step == Step::Cancel) {
            if (auto* it = pick(TicketState::Queued, a))
                scheduler.cancel(*it->ticket, at(m_now));
        } else if (auto* it = pick(TicketState::Granted, a)) {
            finish(*it, step);
        }
    }

    FakePool::Capacity resized(const char* service, uint32_t n)
    {
        auto capacity = m_fixture.pool.capacities[service];
        capacity.ownZone = n % 5;
        capacity.otherZone = n % 3;
        return capacity;
    }

    void finish(TrackedTicket& tracked, Step step)
    {
        if (step == Step::NotStarted) {
            --m_grantedNow;
            tracked.lastState = TicketState::Queued;
            m_fixture.scheduler.endAttempt(*tracked.ticket, AttemptVerdict::NotStarted, AfterAttempt::Requeue, at(m_now));
            return;
        }
        --m_grantedNow;
        tracked.hasEnded = true;
        if (step == Step::Break)
            tracked.heldUntil = tracked.ticket->deadline + config::endpointStopMargin;
        m_fixture.end(*tracked.ticket, m_now, step == Step::Break ? AttemptVerdict::Broken : AttemptVerdict::Succeeded);
    }

    void check()
    {
        std::map<std::string, int64_t> running;
        std::map<std::string, int64_t> newGrants;
        int64_t queued = 0;
        for (auto& it : m_tickets) {
            auto state = it.ticket->state;
            // A ticket that was refused or has ended stays in that state.
            RC_ASSERT(it.lastState != TicketState::Refused || state == TicketState::Refused);
            RC_ASSERT(!it.hasEnded || state == TicketState::Idle);
            if (state == TicketState::Granted && it.lastState != TicketState::Granted) {
                ++newGrants[it.ticket->team];
                ++m_grantedNow;
                ++m_grantCount;
            }
            it.lastState = state;
            queued += state == TicketState::Queued ? 1 : 0;
            running[it.ticket->team] += state == TicketState::Granted || it.heldUntil > at(m_now) ? 1 : 0;
        }
        RC_ASSERT(m_grantedNow == m_fixture.pool.slotsInUse());
        for (const auto& [team, n] : newGrants)
            RC_ASSERT(team.empty() || running[team] <= m_fixture.authority.limitParts[team]);
        for (const auto& use : m_fixture.scheduler.teamUsage())
            RC_ASSERT(use.running == running[use.team]);
        for (const auto& stats : m_fixture.scheduler.serviceStats())
            queued -= stats.queued;
        RC_ASSERT(queued == 0);
    }

    SchedulerFixture m_fixture { 6 };
    std::vector<TrackedTicket> m_tickets;
    int64_t m_now = 0;
    int64_t m_grantedNow = 0;
    int64_t m_grantCount = 0;
};

} // namespace

TEST_CASE("limits hold after every step, and no ticket, slot or permit is lost or granted twice", "[scheduler]")
{
    CHECK(rc::check("random steps", [] {
        Model model;
        auto n = *rc::gen::inRange(0, 200);
        for (int i = 0; i < n; ++i) {
            // Step::Enqueue is as frequent as all other steps together, so that queues fill up.
            auto step = static_cast<Step>(std::max(0, *rc::gen::inRange(-7, static_cast<int>(Step::StepCount))));
            model.apply(step, *rc::gen::inRange<uint32_t>(0, 1000), *rc::gen::inRange<uint32_t>(0, 1000));
        }
        model.endAll();
    }));
}

TEST_CASE("grants of a full pool follow the share weights for any order of arrival", "[scheduler]")
{
    CHECK(rc::check("proportional", [] {
        SchedulerFixture fixture(100000);
        fixture.pool.capacities["a"].ownZone = 1;
        auto weights = *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(1, 11));
        auto sum = weights[0] + weights[1] + weights[2];
        auto& scheduler = fixture.scheduler;
        auto profile = fixture.authority.catalog()->profileOf(fixture.authority.catalog()->findService("a"));
        profile.queueBound = 100000;
        std::vector<std::unique_ptr<Ticket>> tickets;
        auto enqueue = [&](size_t team) {
            auto& it = tickets.emplace_back(std::make_unique<Ticket>("a", teams.at(team), at(1000000)));
            scheduler.enqueue(*it, profile, weights.at(team), at(0));
        };
        auto grants = 20 * sum;
        std::vector<size_t> order;
        for (size_t team = 0; team < 3; ++team)
            order.insert(order.end(), grants, team);
        std::mt19937 generator(*rc::gen::inRange<uint32_t>(0, 1000));
        std::shuffle(order.begin(), order.end(), generator);
        enqueue(0);
        for (auto team : order)
            enqueue(team);
        std::map<std::string, int> counts;
        for (int i = 0; i < grants; ++i) {
            auto it = std::find_if(tickets.begin(), tickets.end(), [](const auto& ticket) { return ticket->state == TicketState::Granted; });
            fixture.end(**it);
            ++counts[(*it)->team];
        }
        for (size_t team = 0; team < 3; ++team)
            RC_ASSERT(std::abs(counts[teams.at(team)] - 20 * weights.at(team)) <= 2);
    }));
}
