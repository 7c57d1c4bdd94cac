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

/// Runs random steps and checks the scheduler's state against one that is kept apart from it.
class Model {
public:
    void apply(Step step, uint32_t a, uint32_t b)
    {
        perform(step, a, b);
        check();
        // Everything that could be dispatched has been: another look finds nothing.
        auto grants = m_grants;
        m_bed.scheduler.authorityChanged(at(m_now));
        check();
        RC_ASSERT(m_grants == grants);
    }

    void drain()
    {
        for (auto& it : m_tickets)
            m_bed.scheduler.cancel(*it.ticket, at(m_now));
        for (auto& it : m_tickets) {
            if (it.ticket->state == TicketState::Granted)
                m_bed.end(*it.ticket, m_now, AttemptVerdict::Broken);
        }
        m_bed.scheduler.releaseExpired(at(m_now + 10000));
        for (const auto& use : m_bed.scheduler.teamUsage())
            RC_ASSERT(use.running == 0 && use.queued == 0);
        for (const auto& stats : m_bed.scheduler.serviceStats())
            RC_ASSERT(stats.running == 0 && stats.queued == 0);
        RC_ASSERT(m_bed.pool.taken() == 0);
    }

private:
    struct Entry {
        std::shared_ptr<Ticket> ticket;
        TicketState last = TicketState::Idle;
        /// The unit is in use until this moment although the attempt has ended.
        TimePoint heldUntil {};
        bool hasEnded = false;
    };

    Entry* pick(TicketState state, uint32_t n)
    {
        std::vector<Entry*> found;
        for (auto& it : m_tickets) {
            if (it.ticket->state == state)
                found.push_back(&it);
        }
        return found.empty() ? nullptr : found[n % found.size()];
    }

    void perform(Step step, uint32_t a, uint32_t b)
    {
        auto& scheduler = m_bed.scheduler;
        if (step == Step::Enqueue) {
            const auto* service = services.at(b % services.size());
            const auto* team = teams.at(service == services.back() ? a % teams.size() : a % (teams.size() - 1));
            m_tickets.push_back({ m_bed.enqueue(service, team, m_now, m_now + 1 + b % 300) });
        } else if (step == Step::Advance) {
            m_now += a % 60;
            scheduler.authorityChanged(at(m_now));
        } else if (step == Step::ResizePart) {
            m_bed.authority.parts[teams.at(a % 3)] = b % 4;
            scheduler.authorityChanged(at(m_now));
        } else if (step == Step::ResizePool) {
            m_bed.pool.rooms[services.at(a % services.size())] = resized(services.at(a % services.size()), b);
            scheduler.authorityChanged(at(m_now));
        } else if (step == Step::LoseLease) {
            m_bed.authority.lease = a % 2 == 0 ? TimePoint::max() : at(m_now);
            scheduler.authorityChanged(at(m_now));
        } else if (step == Step::Cancel) {
            if (auto* it = pick(TicketState::Queued, a))
                scheduler.cancel(*it->ticket, at(m_now));
        } else if (auto* it = pick(TicketState::Granted, a)) {
            finish(*it, step);
        }
    }

    FakePool::Room resized(const char* service, uint32_t n)
    {
        auto room = m_bed.pool.rooms[service];
        room.own = n % 5;
        room.other = n % 3;
        return room;
    }

    void finish(Entry& entry, Step step)
    {
        if (step == Step::NotStarted) {
            --m_granted;
            entry.last = TicketState::Queued;
            m_bed.scheduler.endAttempt(*entry.ticket, AttemptVerdict::NotStarted, AfterAttempt::Requeue, at(m_now));
            return;
        }
        --m_granted;
        entry.hasEnded = true;
        if (step == Step::Break)
            entry.heldUntil = entry.ticket->deadline + config::endpointStopMargin;
        m_bed.end(*entry.ticket, m_now, step == Step::Break ? AttemptVerdict::Broken : AttemptVerdict::Succeeded);
    }

    void check()
    {
        std::map<std::string, int64_t> running;
        std::map<std::string, int64_t> newGrants;
        int64_t queued = 0;
        for (auto& it : m_tickets) {
            auto state = it.ticket->state;
            // A ticket that was refused or has ended never comes back.
            RC_ASSERT(it.last != TicketState::Refused || state == TicketState::Refused);
            RC_ASSERT(!it.hasEnded || state == TicketState::Idle);
            if (state == TicketState::Granted && it.last != TicketState::Granted) {
                ++newGrants[it.ticket->team];
                ++m_granted;
                ++m_grants;
            }
            it.last = state;
            queued += state == TicketState::Queued ? 1 : 0;
            running[it.ticket->team] += state == TicketState::Granted || it.heldUntil > at(m_now) ? 1 : 0;
        }
        RC_ASSERT(m_granted == m_bed.pool.taken());
        for (const auto& [team, n] : newGrants)
            RC_ASSERT(team.empty() || running[team] <= m_bed.authority.parts[team]);
        for (const auto& use : m_bed.scheduler.teamUsage())
            RC_ASSERT(use.running == running[use.team]);
        for (const auto& stats : m_bed.scheduler.serviceStats())
            queued -= stats.queued;
        RC_ASSERT(queued == 0);
    }

    SchedulerBed m_bed { 6 };
    std::vector<Entry> m_tickets;
    int64_t m_now = 0;
    int64_t m_granted = 0;
    int64_t m_grants = 0;
};

} // namespace

TEST_CASE("limits hold at every step, and no ticket, place or unit is lost or given twice", "[scheduler]")
{
    CHECK(rc::check("random steps", [] {
        Model model;
        auto n = *rc::gen::inRange(0, 200);
        for (int i = 0; i < n; ++i) {
            // Enqueueing is as frequent as all other steps together, so that queues fill.
            auto step = static_cast<Step>(std::max(0, *rc::gen::inRange(-7, static_cast<int>(Step::StepCount))));
            model.apply(step, *rc::gen::inRange<uint32_t>(0, 1000), *rc::gen::inRange<uint32_t>(0, 1000));
        }
        model.drain();
    }));
}

TEST_CASE("grants of a full pool follow the share weights whatever the order of arrival", "[scheduler]")
{
    CHECK(rc::check("proportional", [] {
        SchedulerBed bed(100000);
        bed.pool.rooms["a"].own = 1;
        auto weights = *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(1, 11));
        auto sum = weights[0] + weights[1] + weights[2];
        auto& scheduler = bed.scheduler;
        auto profile = bed.authority.catalog()->profileOf(bed.authority.catalog()->findService("a"));
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
            bed.end(**it);
            ++counts[(*it)->team];
        }
        for (size_t team = 0; team < 3; ++team)
            RC_ASSERT(std::abs(counts[teams.at(team)] - 20 * weights.at(team)) <= 2);
    }));
}
