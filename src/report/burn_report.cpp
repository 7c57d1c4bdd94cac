#include "burn_report_p.h"

#include <algorithm>
#include <array>
#include <map>

namespace vanillalift {

using nlohmann::json;

namespace {

    /// Burn-rate thresholds of the alerts.
    constexpr double fastBurnRate = 14.4;
    constexpr double slowBurnRate = 6;

    using Services = std::map<std::string, ServiceReport>;
    using Teams = std::map<std::string, TeamReport>;

    void addService(Services& services, const json& value)
    {
        auto& report = services[value.at("service").get<std::string>()];
        report.service = value.at("service").get<std::string>();
        report.availabilityBudget = value.at("availability_budget").get<double>();
        const auto& windows = value.at("windows");
        report.windows.resize(std::max(report.windows.size(), windows.size()));
        for (size_t n = 0; n < windows.size(); ++n) {
            report.windows[n].lengthS = windows[n].at("length_s").get<int64_t>();
            report.windows[n].good += windows[n].at("good").get<uint64_t>();
            report.windows[n].bad += windows[n].at("bad").get<uint64_t>();
        }
    }

    void addTeam(Teams& teams, const json& value)
    {
        auto& report = teams[value.at("team").get<std::string>()];
        report.team = value.at("team").get<std::string>();
        report.share = value.at("share").get<double>();
        report.upperLimit = value.at("upper_limit").get<int64_t>();
        report.running += value.at("running").get<int64_t>();
        report.queued += value.at("queued").get<int64_t>();
        report.dispatched += value.at("dispatched").get<uint64_t>();
        report.refused += value.at("refused").get<uint64_t>();
    }

    double computeBurnRate(const WindowReport& window, double availabilityBudget)
    {
        auto total = static_cast<double>(window.good + window.bad);
        if (total == 0 || availabilityBudget >= 1)
            return 0;
        return static_cast<double>(window.bad) / total / (1 - availabilityBudget);
    }

    double burnRateOver(const ServiceReport& service, int64_t lengthS)
    {
        for (const auto& it : service.windows) {
            if (it.lengthS == lengthS)
                return it.burnRate;
        }
        return 0;
    }

    /// A long and a short window both have to exceed the threshold, so that an alert ends soon after its cause.
    BurnAlert alertOf(const ServiceReport& service)
    {
        if (burnRateOver(service, 3600) > fastBurnRate && burnRateOver(service, 300) > fastBurnRate)
            return BurnAlert::Fast;
        if (burnRateOver(service, 21600) > slowBurnRate && burnRateOver(service, 1800) > slowBurnRate)
            return BurnAlert::Slow;
        return BurnAlert::None;
    }

    void setTeamFractions(std::vector<TeamReport>& teams)
    {
        double shares = 0;
        uint64_t dispatched = 0;
        for (const auto& it : teams) {
            shares += it.share;
            dispatched += it.dispatched;
        }
        for (auto& it : teams) {
            it.owedFraction = shares > 0 ? it.share / shares : 0;
            it.dispatchedFraction = dispatched > 0 ? static_cast<double>(it.dispatched) / static_cast<double>(dispatched) : 0;
        }
    }

} // namespace

std::string_view alertName(BurnAlert alert)
{
    constexpr std::array<std::string_view, static_cast<size_t>(BurnAlert::BurnAlertCount)> names { "none", "slow", "fast" };
    return names.at(static_cast<size_t>(alert));
}

BurnReport makeBurnReport(std::span<const std::string> entries, std::span<const json> responses)
{
    BurnReport report;
    Services services;
    Teams teams;
    for (size_t n = 0; n < entries.size(); ++n) {
        if (responses[n].is_null()) {
            report.missing.push_back(entries[n]);
            continue;
        }
        report.entries.push_back(entries[n]);
        for (const auto& it : responses[n].at("services"))
            addService(services, it);
        for (const auto& it : responses[n].at("teams"))
            addTeam(teams, it);
    }
    for (auto& [name, service] : services) {
        for (auto& it : service.windows)
            it.burnRate = computeBurnRate(it, service.availabilityBudget);
        service.alert = alertOf(service);
        report.services.push_back(std::move(service));
    }
    for (auto& [name, team] : teams)
        report.teams.push_back(std::move(team));
    setTeamFractions(report.teams);
    return report;
}

} // namespace vanillalift
