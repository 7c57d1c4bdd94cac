#include <catch2/catch.hpp>

#include "policy/placement_p.h"
#include "policy/reservation_plan_p.h"

using namespace vanillalift;
using namespace vanillalift::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint now { std::chrono::hours(1) };

ReservableEndpoint makeEndpoint(size_t index, int64_t freeCpu, const std::vector<std::pair<int, int64_t>>& releases)
{
    ReservableEndpoint it { index, { freeCpu, 32000, 0 }, { 32000, 64000, 0 }, 0, {} };
    for (auto [ms, cpu] : releases)
        it.releases.push_back({ now + milliseconds(ms), { cpu, 1000, 0 } });
    return it;
}

WaitingStep makeWaiting(int64_t cpu, uint32_t tasks = 1)
{
    return { { cpu, 1000, 0 }, tasks, false, 0, now + seconds(10) };
}

} // namespace

TEST_CASE("gaps that add up but fit nowhere: room is reserved where it is expected first", "[reservation]")
{
    std::vector<ReservableEndpoint> endpoints {
        makeEndpoint(7, 8000, { { 900, 4000 }, { 300, 2000 } }),
        makeEndpoint(8, 6000, { { 400, 6000 }, { 2000, 20000 } }),
        makeEndpoint(9, 10000, { { 5000, 2000 } }),
    };
    auto planned = planReservations(makeWaiting(12000), endpoints, 4, now);
    REQUIRE(planned.size() == 1);
    CHECK(planned[0].endpoint == 8);
    CHECK(planned[0].at == now + milliseconds(400));
    CHECK(planned[0].givenUpAt > planned[0].at);
    // 8 first has 12000 at 400 ms, and nothing is left.
    CHECK(planned[0].spare.cpu == 0);
}

TEST_CASE("a wide step gets room on several endpoints, a gang on enough of them or on none", "[reservation]")
{
    std::vector<ReservableEndpoint> endpoints { makeEndpoint(0, 1000, { { 200, 30000 } }), makeEndpoint(1, 0, { { 600, 14000 } }), makeEndpoint(2, 0, { { 900, 14000 } }) };
    auto wide = planReservations(makeWaiting(12000, 9), endpoints, 2, now);
    REQUIRE(wide.size() == 2);
    CHECK(wide[0].tasks == 2);
    CHECK(wide[1].endpoint == 1);

    auto gang = makeWaiting(12000, 4);
    gang.isGang = true;
    CHECK(planReservations(gang, endpoints, 2, now).empty());
    auto planned = planReservations(gang, endpoints, 3, now);
    REQUIRE(planned.size() == 3);
    for (const auto& it : planned)
        CHECK(it.at == now + milliseconds(900));
    gang.tasks = 5;
    CHECK(planReservations(gang, endpoints, 3, now).empty());

    auto spread = makeWaiting(12000, 9);
    spread.maxPerEndpoint = 1;
    endpoints[1].runsOfStep = 1;
    planned = planReservations(spread, endpoints, 3, now);
    REQUIRE(planned.size() == 2);
    CHECK(planned[0].tasks == 1);
    CHECK(planned[1].endpoint == 2);
}

TEST_CASE("nothing is reserved for a start that comes too late for the caller, or that no endpoint ever has room for", "[reservation]")
{
    std::vector<ReservableEndpoint> endpoints { makeEndpoint(0, 1000, { { 12000, 30000 } }) };
    CHECK(planReservations(makeWaiting(12000), endpoints, 4, now).empty());
    endpoints[0].releases.clear();
    CHECK(planReservations(makeWaiting(12000), endpoints, 4, now).empty());
    CHECK(planReservations(makeWaiting(40000), endpoints, 4, now).empty());
    CHECK(shortlistEndpoints(makeWaiting(40000), endpoints).empty());
}

TEST_CASE("small tasks run on a reserved endpoint if they end before or leave the reserved room", "[reservation]")
{
    Reservation reservation;
    reservation.at = now + milliseconds(500);
    reservation.spare = { 3000, 8000, 0 };
    CHECK(reservation.admits({ 8000, 1000, 0 }, now + milliseconds(400)));
    CHECK_FALSE(reservation.admits({ 8000, 1000, 0 }, now + milliseconds(600)));
    CHECK(reservation.admits({ 2000, 1000, 0 }, now + seconds(9)));
    reservation.addBackfill({ 2000, 1000, 0 }, now + seconds(9));
    CHECK_FALSE(reservation.admits({ 2000, 1000, 0 }, now + seconds(9)));
    reservation.addBackfill({ 1000, 1000, 0 }, now + milliseconds(100));
    CHECK(reservation.admits({ 1000, 1000, 0 }, now + seconds(9)));
}

TEST_CASE("the endpoints looked at are bounded and those that lack least", "[reservation]")
{
    std::vector<ReservableEndpoint> endpoints;
    for (size_t n = 0; n < 542; n++)
        endpoints.push_back(makeEndpoint(n, static_cast<int64_t>(n % 100) * 100, {}));
    auto chosen = shortlistEndpoints(makeWaiting(20000), endpoints);
    REQUIRE(chosen.size() == maxReservationCandidates);
    CHECK(endpoints[chosen.front()].free.cpu == 9900);
    CHECK(endpoints[chosen.back()].free.cpu >= 9500);
    CHECK(reservationLimit(3) == 1);
    CHECK(reservationLimit(542) == maxReservations);
}

TEST_CASE("an endpoint that fits the largest waiting task is kept whole, and memory is used up with processors", "[reservation]")
{
    std::vector<Endpoint> endpoints(3);
    std::vector<PlacementCandidate> candidates(3);
    for (size_t n = 0; n < 3; n++) {
        endpoints[n].id = "e" + std::to_string(n);
        endpoints[n].capacity = { 32000, 64000, 0 };
        candidates[n].endpoint = &endpoints[n];
    }
    StepSpec step;
    step.need = { 4000, 2000, 0 };
    candidates[0].free = { 25000, 8000, 0 };
    // The task needs processors rather than memory, as the second of these offers with the same room in all.
    candidates[1].free = { 12800, 38400, 0 };
    candidates[2].free = { 19200, 25600, 0 };
    // By best fit alone, the endpoint with least room left over.
    CHECK(choosePlacement(step, {}, candidates) == 0U);
    Resources largest { 24000, 8000, 0 };
    PlacementHints hints;
    hints.largestWaiting = &largest;
    CHECK(choosePlacement(step, hints, candidates) == 2U);
    // It is used if no other one has room.
    CHECK(choosePlacement(step, hints, std::span(candidates).first(1)) == 0U);
    candidates[0].isHeldForOther = true;
    CHECK_FALSE(choosePlacement(step, hints, std::span(candidates).first(1)));
}
