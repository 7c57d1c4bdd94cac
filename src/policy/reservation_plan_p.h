#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/job.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace vanillalift::jobs {

/// Reservations of one pool at the same time: at least one if it has several endpoints, and at most this part of them and this number.
constexpr size_t maxReservationPart = 8;
constexpr size_t maxReservations = 16;
/// Endpoints whose runs are looked at for one step.
constexpr size_t maxReservationCandidates = 24;
/// Share of the runs that end by the time at which a reservation expects their room.
constexpr double reservationQuantile = 0.9;

/// Room that a run is expected to release.
struct RoomRelease {
    TimePoint at;
    Resources room;
};

/// An endpoint on which room may be reserved.
struct ReservableEndpoint {
    /// Index in the caller's table.
    size_t index = 0;
    Resources free;
    Resources capacity;
    /// Runs of the step there.
    uint32_t runsOfStep = 0;
    /// Runs that end by themselves. Only needed for planReservations().
    std::vector<RoomRelease> releases;
};

/// Tasks of one step that found no room.
struct WaitingStep {
    Resources need;
    uint32_t tasks = 1;
    /// All tasks are placed together or none is.
    bool isGang = false;
    /// See StepSpec::maxPerEndpoint.
    uint32_t maxPerEndpoint = 0;
    /// A start after this time is of no use to the caller.
    TimePoint latestStartAt;
};

/// Room for tasks of one step on an endpoint, from a time on.
struct Reservation {
    /// First task of the step.
    TaskKey step;
    std::string endpoint;
    int64_t endpointStartedAtMs = 0;
    Resources need;
    uint32_t tasks = 1;
    TimePoint at;
    /// The estimate was wrong if the room is not there by then.
    TimePoint givenUpAt;
    /// Room that the reserved tasks leave at that time.
    Resources spare;

    /// @returns whether another task that ends at `endsAt` may be placed on the endpoint.
    [[nodiscard]] bool admits(const Resources& taskNeed, TimePoint endsAt) const { return endsAt <= at || taskNeed.fitsIn(spare); }
    /// Accounts for another task that was placed on the endpoint.
    void addBackfill(const Resources& taskNeed, TimePoint endsAt);
};

/// A reservation without the names of its step and endpoint.
struct PlannedReservation {
    size_t endpoint = 0;
    uint32_t tasks = 1;
    TimePoint at;
    TimePoint givenUpAt;
    Resources spare;
};

/// @returns the number of reservations that a pool of that many endpoints may hold.
size_t reservationLimit(size_t endpoints);

/// @returns whether a task needs so much more than the mean run that the end of a run rarely makes room for it.
bool isLargeTask(const Resources& need, const Resources& meanNeed);

/// Chooses the endpoints of which the runs are worth looking at: those that lack least for a task of the step.
/// @returns at most maxReservationCandidates positions in `endpoints`, least shortfall first.
std::vector<size_t> shortlistEndpoints(const WaitingStep& step, std::span<const ReservableEndpoint> endpoints);

/// Reserves room for a step's tasks where it is expected first, one reservation for each endpoint. A gang gets room for all of its tasks,
/// from the time at which the last of them has room, or none.
std::vector<PlannedReservation> planReservations(const WaitingStep& step, std::span<const ReservableEndpoint> endpoints, size_t limit, TimePoint now);

} // namespace vanillalift::jobs
