#include "reservation_plan_p.h"

#include <algorithm>

namespace vanillalift::jobs {

namespace {

    /// Needs of at least this multiple of the mean run are large.
    constexpr double largeTaskFactor = 1.5;
    /// A reservation is given up once its time has passed by this share of the expected wait, and by at least this time.
    constexpr double uncertaintyShare = 0.5;
    constexpr std::chrono::milliseconds minUncertainty { 250 };

    double share(int64_t amount, int64_t total) { return total > 0 ? static_cast<double>(amount) / static_cast<double>(total) : 0; }

    double shortfall(const Resources& need, const ReservableEndpoint& it)
    {
        auto lack = need - it.free;
        return share(std::max<int64_t>(lack.cpu, 0), it.capacity.cpu) + share(std::max<int64_t>(lack.memory, 0), it.capacity.memory) + share(std::max<int64_t>(lack.gpus, 0), it.capacity.gpus);
    }

    bool canHold(const WaitingStep& step, const ReservableEndpoint& it)
    {
        return step.need.fitsIn(it.capacity) && (step.maxPerEndpoint == 0 || it.runsOfStep < step.maxPerEndpoint);
    }

    TimePoint giveUpTime(TimePoint at, TimePoint now)
    {
        auto wait = std::chrono::duration_cast<Duration>((at - now) * uncertaintyShare);
        return at + std::max<Duration>(wait, minUncertainty);
    }

    Resources roomAt(const ReservableEndpoint& endpoint, TimePoint at)
    {
        auto room = endpoint.free;
        for (const auto& it : endpoint.releases) {
            if (it.at <= at)
                room += it.room;
        }
        return room;
    }

    /// @returns when a task of the step fits on the endpoint, or nothing if the runs there do not release enough.
    std::optional<TimePoint> firstFit(const WaitingStep& step, const ReservableEndpoint& endpoint, TimePoint now)
    {
        auto room = endpoint.free;
        if (step.need.fitsIn(room))
            return now;
        auto releases = endpoint.releases;
        std::sort(releases.begin(), releases.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
        for (const auto& it : releases) {
            room += it.room;
            if (step.need.fitsIn(room))
                return std::max(it.at, now);
        }
        return std::nullopt;
    }

    /// Reserves as many of the wanted tasks as have room on the endpoint at the time.
    PlannedReservation reserveOn(const WaitingStep& step, const ReservableEndpoint& endpoint, uint32_t wanted, TimePoint at, TimePoint now)
    {
        PlannedReservation planned { endpoint.index, 0, at, giveUpTime(at, now), roomAt(endpoint, at) };
        auto most = step.maxPerEndpoint == 0 ? wanted : std::min(wanted, step.maxPerEndpoint - endpoint.runsOfStep);
        while (planned.tasks < most && step.need.fitsIn(planned.spare)) {
            planned.spare -= step.need;
            planned.tasks++;
        }
        return planned;
    }

} // namespace

void Reservation::addBackfill(const Resources& taskNeed, TimePoint endsAt)
{
    if (endsAt > at)
        spare -= taskNeed;
}

size_t reservationLimit(size_t endpoints) { return endpoints < 2 ? 0 : std::clamp<size_t>(endpoints / maxReservationPart, 1, maxReservations); }

bool isLargeTask(const Resources& need, const Resources& meanNeed)
{
    auto exceeds = [](int64_t amount, int64_t mean) { return mean > 0 && static_cast<double>(amount) >= largeTaskFactor * static_cast<double>(mean); };
    return exceeds(need.cpu, meanNeed.cpu) || exceeds(need.memory, meanNeed.memory) || exceeds(need.gpus, meanNeed.gpus);
}

std::vector<size_t> shortlistEndpoints(const WaitingStep& step, std::span<const ReservableEndpoint> endpoints)
{
    std::vector<std::pair<double, size_t>> lacking;
    for (size_t n = 0; n < endpoints.size(); n++) {
        if (canHold(step, endpoints[n]))
            lacking.emplace_back(shortfall(step.need, endpoints[n]), n);
    }
    auto count = std::min(lacking.size(), maxReservationCandidates);
    std::partial_sort(lacking.begin(), lacking.begin() + static_cast<std::ptrdiff_t>(count), lacking.end());
    std::vector<size_t> chosen;
    for (size_t n = 0; n < count; n++)
        chosen.push_back(lacking[n].second);
    return chosen;
}

std::vector<PlannedReservation> planReservations(const WaitingStep& step, std::span<const ReservableEndpoint> endpoints, size_t limit, TimePoint now)
{
    struct Fit {
        TimePoint at;
        const ReservableEndpoint* endpoint;
    };
    std::vector<Fit> fits;
    for (const auto& it : endpoints) {
        auto at = canHold(step, it) ? firstFit(step, it, now) : std::nullopt;
        if (at && *at <= step.latestStartAt)
            fits.push_back({ *at, &it });
    }
    std::stable_sort(fits.begin(), fits.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
    std::vector<PlannedReservation> planned;
    uint32_t wanted = step.tasks;
    TimePoint lastAt = now;
    for (size_t n = 0; n < fits.size() && planned.size() < limit && wanted > 0; n++) {
        planned.push_back(reserveOn(step, *fits[n].endpoint, wanted, fits[n].at, now));
        wanted -= planned.back().tasks;
        lastAt = fits[n].at;
    }
    if (!step.isGang)
        return planned;
    if (wanted > 0)
        return {};
    for (size_t n = 0; n < planned.size(); n++) {
        auto& it = planned[n];
        it.spare += roomAt(*fits[n].endpoint, lastAt) - roomAt(*fits[n].endpoint, it.at);
        it.at = lastAt;
        it.givenUpAt = giveUpTime(lastAt, now);
    }
    return planned;
}

} // namespace vanillalift::jobs
