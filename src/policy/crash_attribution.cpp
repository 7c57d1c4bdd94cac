#include "crash_attribution_p.h"

#include <algorithm>
#include <numeric>

namespace vanillalift::jobs {

namespace {

    /// Crashes and blame from which a task is given up.
    constexpr uint32_t minCrashes = 3;
    /// Crashes from which it is given up if all of them were at one address.
    constexpr uint32_t minCrashesAtOneAddress = 4;
    constexpr uint32_t minBlame = fullBlame * 7 / 5;
    /// Crashes and blame from which a task is started apart from others: below, others on its endpoints are more probable causes.
    constexpr uint32_t isolationCrashes = 2;
    constexpr uint32_t isolationBlame = fullBlame * 3 / 20;
    /// Possible crashes from which a task waits until they are certain, whatever its blame.
    constexpr uint32_t manyCrashes = 5;
    /// Times of starts and losses are known with about this accuracy.
    constexpr std::chrono::milliseconds ageResolution { 20 };
    constexpr uint32_t maxWeight = 1000000;
    /// Weight of a cause outside of the tasks: that of a run in progress for half a second.
    constexpr uint64_t otherCauseWeight = 2000;
    /// Endpoints that are lost together are lost within this time.
    constexpr std::chrono::milliseconds groupWindow { 200 };
    /// Fewer endpoints can be lost at the same time by separate causes.
    constexpr size_t minGroupSize = 4;

} // namespace

uint32_t suspicionWeight(Duration age)
{
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(std::max(age, Duration::zero()) + ageResolution).count();
    return std::max<uint32_t>(1, static_cast<uint32_t>(maxWeight / ms));
}

std::vector<uint32_t> blameShares(std::span<const uint32_t> weights)
{
    auto sum = std::accumulate(weights.begin(), weights.end(), otherCauseWeight);
    std::vector<uint32_t> shares;
    shares.reserve(weights.size());
    for (auto it : weights)
        shares.push_back(static_cast<uint32_t>(uint64_t { fullBlame } * it / sum));
    return shares;
}

void CrashRecord::add(uint32_t share, uint32_t weight, std::string_view address)
{
    hasSeveralAddresses = hasSeveralAddresses || (crashes > 0 && address != lastAddress);
    lastAddress = address;
    crashes++;
    lowestWeight = std::min(lowestWeight, weight);
    // The share of a run that is alone on its endpoint.
    auto highestShare = blameShares({ &lowestWeight, 1 }).front();
    blame = std::min(blame + share, crashes * highestShare);
}

bool isAtFault(const CrashRecord& record)
{
    auto limit = record.hasSeveralAddresses ? minCrashes : minCrashesAtOneAddress;
    return record.crashes >= limit && record.blame >= minBlame;
}

bool needsIsolation(const CrashRecord& possible) { return possible.crashes >= isolationCrashes && possible.blame >= isolationBlame; }

bool isHeldBack(const CrashRecord& known, const CrashRecord& possible)
{
    return possible.crashes > known.crashes && (isAtFault(possible) || possible.crashes >= manyCrashes);
}

bool isGroupLoss(const EndpointLoss& loss, std::span<const EndpointLoss> losses, const Survivors& survivors)
{
    size_t inRack = 1;
    size_t inZone = 1;
    for (const auto& it : losses) {
        if (it.notAfter + groupWindow < loss.notBefore || loss.notAfter + groupWindow < it.notBefore)
            continue;
        inRack += it.rack == loss.rack ? 1 : 0;
        inZone += it.availabilityZone == loss.availabilityZone ? 1 : 0;
    }
    auto isMost = [](size_t lost, size_t alive) { return lost >= minGroupSize && lost > alive; };
    return isMost(inRack, survivors.inRack) || isMost(inZone, survivors.inZone);
}

} // namespace vanillalift::jobs
