#include "load_p.h"

#include <algorithm>
#include <random>

namespace vanillalift::bench {

namespace {

    /// Request rates during and between the bursts, relative to the rate of the service.
    constexpr double burstFactor = 5;
    constexpr double idleFactor = 0.05;

    double factorAt(const LoadSettings& settings, size_t service, double second)
    {
        if (settings.shape != LoadShape::Waves)
            return settings.factor;
        auto burst = static_cast<size_t>(second / settings.burstSeconds);
        return burst % settings.services.size() == service ? burstFactor : idleFactor;
    }

    double peakFactor(const LoadSettings& settings) { return settings.shape == LoadShape::Waves ? burstFactor : settings.factor; }

} // namespace

std::vector<PlannedRequest> planRequests(const LoadSettings& settings, uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<double> demands;
    for (const auto& it : settings.teams)
        demands.push_back(it.demand);
    std::discrete_distribution<size_t> team(demands.begin(), demands.end());
    std::vector<PlannedRequest> plan;
    for (size_t service = 0; service < settings.services.size(); ++service) {
        auto peakRate = settings.services[service].rate * peakFactor(settings);
        if (peakRate <= 0)
            continue;
        // Thinning: arrivals at the peak rate, each kept with the probability of current rate / peak rate, are a Poisson process
        // of the current rate.
        std::exponential_distribution<double> gap(peakRate);
        for (double second = gap(random); second < settings.seconds; second += gap(random)) {
            if (std::bernoulli_distribution(factorAt(settings, service, second) / peakFactor(settings))(random))
                plan.push_back({ std::chrono::nanoseconds(static_cast<int64_t>(second * 1e9)), service, team(random) });
        }
    }
    std::sort(plan.begin(), plan.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    if (settings.requests > 0 && plan.size() > static_cast<size_t>(settings.requests))
        plan.resize(static_cast<size_t>(settings.requests));
    return plan;
}

} // namespace vanillalift::bench
