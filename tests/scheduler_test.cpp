#include <catch2/catch.hpp>

#include "request_fakes.h"

#include <vanillalift/config.h>

using namespace vanillalift;
using namespace vanillalift::test;

TEST_CASE("teams that share a full pool are granted slots in proportion to their weights", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.pool.capacities["a"].ownZone = 1;
    auto current = fixture.enqueue("a", "z");
    std::vector<std::shared_ptr<Ticket>> tickets;
    for (int i = 0; i < 40; ++i) {
        tickets.push_back(fixture.enqueue("a", "x"));
        tickets.push_back(fixture.enqueue("a", "y"));
    }
    std::map<std::string, int> grants;
    for (int i = 0; i < 40; ++i) {
        fixture.end(*current);
        current = *std::find_if(tickets.begin(), tickets.end(), [](const auto& it) { return it->state == TicketState::Granted; });
        ++grants[current->team];
    }
    CHECK(grants["x"] == 30);
    CHECK(grants["y"] == 10);
}

TEST_CASE("a team gains no scheduling credit while idle or while at its limit", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.pool.capacities["a"].ownZone = 1;
    bool isLimited = GENERATE(false, true);
    fixture.authority.limitParts["z"] = isLimited ? 0 : 1000;
    std::vector<std::shared_ptr<Ticket>> tickets { fixture.enqueue("a", "y") };
    auto serve = [&] {
        auto it = std::find_if(tickets.begin(), tickets.end(), [](const auto& ticket) { return ticket->state == TicketState::Granted; });
        fixture.end(**it);
        it = std::find_if(tickets.begin(), tickets.end(), [](const auto& ticket) { return ticket->state == TicketState::Granted; });
        return (*it)->team;
    };
    for (int i = 0; i < 50; ++i)
        tickets.push_back(fixture.enqueue("a", "y"));
    for (int i = 0; isLimited && i < 20; ++i)
        tickets.push_back(fixture.enqueue("a", "z"));
    for (int i = 0; i < 20; ++i)
        CHECK(serve() == "y");
    fixture.authority.limitParts["z"] = 1000;
    for (int i = 0; !isLimited && i < 20; ++i)
        tickets.push_back(fixture.enqueue("a", "z"));
    int grantsOfZ = 0;
    for (int i = 0; i < 20; ++i)
        grantsOfZ += serve() == "z" ? 1 : 0;
    CHECK(grantsOfZ >= 9);
    CHECK(grantsOfZ <= 11);
}

TEST_CASE("a team's limit part holds across services, and a released permit is granted to another service's queue", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.pool.capacities["a"].ownZone = fixture.pool.capacities["b"].ownZone = 5;
    fixture.authority.limitParts["x"] = 1;
    auto first = fixture.enqueue("a", "x");
    auto second = fixture.enqueue("b", "x");
    auto other = fixture.enqueue("b", "y");
    CHECK(first->state == TicketState::Granted);
    CHECK(second->state == TicketState::Queued);
    CHECK(other->state == TicketState::Granted);
    fixture.end(*first);
    CHECK(second->state == TicketState::Granted);
}

TEST_CASE("a team's last permit goes to urgent services first, and alternates between services of equal urgency", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.pool.capacities["a"].ownZone = fixture.pool.capacities["b"].ownZone = fixture.pool.capacities["c"].ownZone = 5;
    fixture.authority.limitParts["x"] = 1;
    auto running = fixture.enqueue("a", "x");
    auto a1 = fixture.enqueue("a", "x");
    auto a2 = fixture.enqueue("a", "x");
    auto b1 = fixture.enqueue("b", "x");
    auto urgent = fixture.enqueue("c", "x");
    for (const auto& next : { urgent, b1, a1, a2 }) {
        fixture.end(*running);
        REQUIRE(next->state == TicketState::Granted);
        running = next;
    }
}

TEST_CASE("after a limit part shrinks, nothing is dispatched until the running count falls below it", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.pool.capacities["a"].ownZone = 10;
    std::vector<std::shared_ptr<Ticket>> running { fixture.enqueue("a", "x"), fixture.enqueue("a", "x"), fixture.enqueue("a", "x") };
    fixture.authority.limitParts["x"] = 1;
    auto queued = fixture.enqueue("a", "x");
    fixture.end(*running[0]);
    fixture.end(*running[1]);
    CHECK(queued->state == TicketState::Queued);
    fixture.end(*running[2]);
    CHECK(queued->state == TicketState::Granted);
}

TEST_CASE("after a lost connection the team's permit is held until the endpoint must have stopped the attempt", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.pool.capacities["a"].ownZone = 5;
    fixture.authority.limitParts["x"] = 1;
    auto lost = fixture.enqueue("a", "x", 0, 500);
    auto queued = fixture.enqueue("a", "x");
    fixture.end(*lost, 10, AttemptVerdict::Broken);
    CHECK(fixture.pool.slotsInUse() == 0);
    CHECK(fixture.running("x") == 1);
    auto stoppedBy = at(500) + config::endpointStopMargin;
    fixture.scheduler.releaseExpired(stoppedBy - milliseconds(1));
    CHECK(queued->state == TicketState::Queued);
    fixture.scheduler.releaseExpired(stoppedBy);
    CHECK(queued->state == TicketState::Granted);
    CHECK(fixture.running("x") == 1);
}

TEST_CASE("a full queue immediately refuses the newest request of the team that exceeds its share most", "[scheduler]")
{
    SchedulerFixture fixture(4);
    fixture.pool.capacities["a"].ownZone = 1;
    auto running = fixture.enqueue("a", "z");
    std::vector<std::shared_ptr<Ticket>> overShare;
    overShare.reserve(4);
    for (int i = 0; i < 4; ++i)
        overShare.push_back(fixture.enqueue("a", "y"));
    CHECK(fixture.enqueue("a", "y")->refusal.reason == Reason::QueueFull);
    auto arriving = fixture.enqueue("a", "x");
    CHECK(arriving->state == TicketState::Queued);
    CHECK(overShare[2]->state == TicketState::Queued);
    REQUIRE(overShare[3]->state == TicketState::Refused);
    CHECK(overShare[3]->refusal.reason == Reason::OverShare);
    CHECK(overShare[3]->refusal.retryAt > at(0));
    CHECK(fixture.scheduler.serviceStats().front().queued == 4);
}

TEST_CASE("a request that cannot be served before its deadline is refused on arrival, but not while the service's rate is unknown", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.pool.capacities["a"].ownZone = 1;
    std::vector<std::shared_ptr<Ticket>> tickets;
    tickets.reserve(40);
    for (int i = 0; i < 40; ++i)
        tickets.push_back(fixture.enqueue("a", "x", 0, 60000));
    REQUIRE(std::none_of(tickets.begin(), tickets.end(), [](const auto& it) { return it->state == TicketState::Refused; }));
    for (int i = 0; i < 20; ++i)
        fixture.end(*tickets[i], 100 * i);
    // 19 requests are queued, and one completes every 100 ms.
    auto refused = fixture.enqueue("a", "x", 2000, 3800);
    CHECK(refused->refusal.reason == Reason::DeadlineUnreachable);
    CHECK(fixture.enqueue("a", "x", 2000, 4000)->state == TicketState::Queued);
    CHECK(fixture.enqueue("a", "y", 2000, 2100)->state == TicketState::Queued);
}

TEST_CASE("without a lease no request with a key is dispatched, and open services continue only for the isolation period", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.pool.capacities["a"].ownZone = fixture.pool.capacities["c"].ownZone = 1;
    fixture.authority.leaseEndTime = at(100);
    auto running = fixture.enqueue("a", "x", 0);
    auto queued = fixture.enqueue("a", "x", 99);
    fixture.end(*running, 100);
    CHECK(queued->state == TicketState::Refused);
    CHECK(queued->refusal.reason == Reason::ConfigurationStale);
    CHECK(fixture.enqueue("c", "x", 100)->refusal.reason == Reason::ConfigurationStale);
    auto open = fixture.enqueue("c", "", 1099);
    CHECK(open->state == TicketState::Granted);
    fixture.end(*open, 1100);
    CHECK(fixture.enqueue("c", "", 1100)->refusal.reason == Reason::ConfigurationStale);
}

TEST_CASE("if the lease expires between grant and attempt, the attempt is not started and its slot and permit are released", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.pool.capacities["a"].ownZone = 1;
    fixture.authority.leaseEndTime = at(100);
    auto granted = fixture.enqueue("a", "x", 99);
    REQUIRE(granted->state == TicketState::Granted);
    CHECK_FALSE(fixture.scheduler.confirmGrant(*granted, at(100)));
    CHECK(granted->refusal.reason == Reason::ConfigurationStale);
    CHECK(fixture.pool.slotsInUse() == 0);
    CHECK(fixture.running("x") == 0);
    CHECK(fixture.pool.verdicts.back() == AttemptVerdict::Unused);
}

TEST_CASE("other zones are used only after the head of the queue has waited for the spill time", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.pool.capacities["a"] = { 1, 1 };
    auto inOwnZone = fixture.enqueue("a", "x", 0);
    auto spilled = fixture.enqueue("a", "x", 0);
    fixture.scheduler.endpointsChanged("a", at(4));
    CHECK(spilled->state == TicketState::Queued);
    fixture.scheduler.endpointsChanged("a", at(5));
    REQUIRE(spilled->state == TicketState::Granted);
    CHECK(spilled->slot.zone == "other");
}

TEST_CASE("a newer request that is next by share does not keep an older one from other zones", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.pool.capacities["a"] = { 1, 2 };
    auto running = fixture.enqueue("a", "y", 0);
    auto older = fixture.enqueue("a", "y", 0);
    auto newer = fixture.enqueue("a", "x", 4);
    fixture.scheduler.endpointsChanged("a", at(5));
    CHECK(newer->state == TicketState::Granted);
    CHECK(older->state == TicketState::Granted);
}

TEST_CASE("a request whose attempt did not start returns to the head of its queue and is not charged to its team's share", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.pool.capacities["a"].ownZone = 1;
    auto first = fixture.enqueue("a", "y");
    auto second = fixture.enqueue("a", "y");
    auto otherTeam = fixture.enqueue("a", "z");
    fixture.scheduler.endAttempt(*first, AttemptVerdict::NotStarted, AfterAttempt::Requeue, at(1));
    CHECK(first->state == TicketState::Granted);
    CHECK(second->state == TicketState::Queued);
    CHECK(otherTeam->state == TicketState::Queued);
    CHECK(fixture.running("y") == 1);
}

TEST_CASE("requests leave the queue when their caller disconnects or their deadline passes", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.pool.capacities["a"].ownZone = 1;
    auto running = fixture.enqueue("a", "x");
    auto cancelled = fixture.enqueue("a", "x");
    auto expired = fixture.enqueue("a", "x", 0, 50);
    auto last = fixture.enqueue("a", "x");
    fixture.scheduler.cancel(*cancelled, at(1));
    CHECK(cancelled->refusal.reason == Reason::CallerGone);
    fixture.end(*running, 50);
    CHECK(expired->refusal.reason == Reason::DeadlinePassed);
    CHECK(last->state == TicketState::Granted);
    CHECK(fixture.scheduler.serviceStats().front().queued == 0);
    fixture.scheduler.cancel(*last, at(60));
    CHECK(fixture.running("x") == 1);
}

TEST_CASE("a service without endpoints refuses requests immediately instead of queueing them", "[scheduler]")
{
    SchedulerFixture fixture;
    auto ticket = fixture.enqueue("a", "x");
    CHECK(ticket->refusal.reason == Reason::NoEndpoint);
    CHECK(ticket->refusal.retryAt > at(0));
}

TEST_CASE("no attempt is started for a request whose deadline is nearer than the median service time", "[scheduler]")
{
    SchedulerFixture fixture;
    fixture.pool.capacities["a"].ownZone = 1;
    for (int n = 0; n < 10; ++n) {
        auto ticket = fixture.enqueue("a", "x", n * 100);
        REQUIRE(fixture.scheduler.confirmGrant(*ticket, at(n * 100)));
        fixture.end(*ticket, n * 100 + 80);
    }
    auto running = fixture.enqueue("a", "x", 1000);
    auto tooLate = fixture.enqueue("a", "x", 1000, 1100);
    auto inTime = fixture.enqueue("a", "x", 1000, 1500);
    fixture.end(*running, 1060);
    REQUIRE(tooLate->state == TicketState::Granted);
    CHECK_FALSE(fixture.scheduler.confirmGrant(*tooLate, at(1060)));
    CHECK(tooLate->refusal.reason == Reason::DeadlineUnreachable);
    REQUIRE(inTime->state == TicketState::Granted);
    CHECK(fixture.scheduler.confirmGrant(*inTime, at(1060)));
    fixture.end(*inTime, 1140);
    // The estimate is not used after a second without responses, so that the service is tried again.
    auto probe = fixture.enqueue("a", "x", 3000, 3010);
    REQUIRE(probe->state == TicketState::Granted);
    CHECK(fixture.scheduler.confirmGrant(*probe, at(3000)));
}
