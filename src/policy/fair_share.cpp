#include "fair_share_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift::jobs {

namespace {

    /// Time constant of the average: a few runs long, so that one short run does not count as much as a steady load.
    constexpr std::chrono::seconds averagingTime { 5 };

    std::array<double, 3> toAmounts(const Resources& it) { return { static_cast<double>(it.cpu), static_cast<double>(it.memory), static_cast<double>(it.gpus) }; }

} // namespace

FairShare::Amounts FairShare::averageAt(const Use& use, TimePoint now)
{
    auto elapsed = std::chrono::duration<double>(now - use.updatedAt) / averagingTime;
    auto kept = std::exp(-std::max(0.0, elapsed));
    Amounts average;
    for (size_t n = 0; n < average.size(); n++)
        average[n] = use.held[n] + (use.average[n] - use.held[n]) * kept;
    return average;
}

void FairShare::change(const std::string& workspace, const Resources& difference, TimePoint now)
{
    auto [it, isNew] = m_uses.try_emplace(workspace, Use { {}, {}, now });
    auto& use = it->second;
    use.average = averageAt(use, now);
    use.updatedAt = now;
    auto amounts = toAmounts(difference);
    for (size_t n = 0; n < amounts.size(); n++)
        use.held[n] += amounts[n];
}

std::map<std::string, double> FairShare::ratios(std::span<const Competitor> competitors, const Resources& capacity, TimePoint now) const
{
    Amounts total {};
    for (const auto& [name, use] : m_uses) {
        auto average = averageAt(use, now);
        for (size_t n = 0; n < total.size(); n++)
            total[n] += average[n];
    }
    auto whole = toAmounts(capacity);
    size_t dominant = 0;
    auto fill = [&](size_t n) { return whole[n] > 0 ? total[n] / whole[n] : 0; };
    for (size_t n = 1; n < total.size(); n++) {
        if (fill(n) > fill(dominant))
            dominant = n;
    }
    double weightSum = 0;
    for (const auto& it : competitors)
        weightSum += it.weight;
    std::map<std::string, double> ratios;
    for (const auto& it : competitors) {
        auto use = m_uses.find(it.workspace);
        bool isKnown = use != m_uses.end() && total[dominant] > 0 && it.weight > 0;
        auto share = isKnown ? averageAt(use->second, now)[dominant] / total[dominant] : 0;
        ratios[it.workspace] = isKnown ? share * weightSum / it.weight : 0;
    }
    return ratios;
}

} // namespace vanillalift::jobs
