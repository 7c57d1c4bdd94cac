#include "history_p.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace vanillalift::bench {

namespace {

    double quantile(const std::vector<double>& sorted, double fraction)
    {
        if (sorted.empty())
            return 0;
        return sorted[std::min(sorted.size() - 1, static_cast<size_t>(static_cast<double>(sorted.size()) * fraction))];
    }

    std::map<std::string, double> computeShareErrors(const History& history)
    {
        std::map<std::string, double> used;
        double total = 0;
        double weights = 0;
        for (const auto& it : history.attempts) {
            auto overlap = std::min(it.endNs, history.run.fullToNs) - std::max(it.startNs, history.run.fullFromNs);
            if (overlap <= 0 || !history.run.shares.contains(it.team))
                continue;
            used[it.team] += static_cast<double>(overlap);
            total += static_cast<double>(overlap);
        }
        for (const auto& [team, weight] : history.run.shares)
            weights += weight;
        std::map<std::string, double> errors;
        for (const auto& [team, weight] : history.run.shares) {
            if (total > 0 && weights > 0)
                errors[team] = used[team] / total - weight / weights;
        }
        return errors;
    }

    /// @returns the rank of an outcome, from 0 for the worst.
    int rankOf(const std::string& outcome)
    {
        constexpr std::array<std::string_view, 4> ranked { "lost", "unknown", "not-run", "answered" };
        return static_cast<int>(std::find(ranked.begin(), ranked.end(), outcome) - ranked.begin());
    }

    std::map<std::string, TeamSummary> summarizeTeams(const History& history)
    {
        struct RequestSummary {
            std::string team;
            int bestRank = 0;
            int64_t calls = 0;
        };
        std::map<std::string, RequestSummary> requests;
        for (const auto& it : history.calls) {
            auto& requestSummary = requests[it.request];
            requestSummary.team = it.team;
            requestSummary.bestRank = std::max(requestSummary.bestRank, rankOf(it.outcome));
            ++requestSummary.calls;
        }
        std::map<std::string, TeamSummary> teams;
        for (const auto& [request, requestSummary] : requests) {
            auto& team = teams[requestSummary.team.empty() ? "(no key)" : requestSummary.team];
            ++team.requests;
            team.resent += requestSummary.calls > 1 ? 1 : 0;
            const std::array<int64_t*, 4> counts { &team.lost, &team.unknown, &team.notRun, &team.answered };
            ++*counts.at(static_cast<size_t>(requestSummary.bestRank));
        }
        return teams;
    }

} // namespace

Summary summarize(const History& history)
{
    Summary summary;
    std::map<std::string, std::vector<double>> latencies;
    for (const auto& it : history.calls) {
        auto& service = summary.services[it.service];
        ++service.calls;
        if (it.outcome != "answered")
            continue;
        ++service.answered;
        // Responses of endpoints that failed or gave up at the deadline (status 500 and above) do not count as goodput.
        if (it.status < 500 && it.endNs >= history.run.fullFromNs && it.endNs < history.run.fullToNs)
            service.goodput += 1e9 / static_cast<double>(history.run.fullToNs - history.run.fullFromNs);
        latencies[it.service].push_back(static_cast<double>(it.endNs - it.intendedNs) / 1e6);
    }
    for (auto& [name, list] : latencies) {
        std::sort(list.begin(), list.end());
        auto& service = summary.services[name];
        service.p50Ms = quantile(list, 0.5);
        service.p99Ms = quantile(list, 0.99);
        service.maxMs = list.back();
    }
    summary.teams = summarizeTeams(history);
    summary.shareErrors = computeShareErrors(history);
    return summary;
}

nlohmann::json toJson(const Summary& summary)
{
    auto services = nlohmann::json::object();
    for (const auto& [name, it] : summary.services)
        services[name] = { { "calls", it.calls }, { "answered", it.answered }, { "p50_ms", it.p50Ms }, { "p99_ms", it.p99Ms }, { "max_ms", it.maxMs }, { "goodput", it.goodput } };
    auto teams = nlohmann::json::object();
    for (const auto& [name, it] : summary.teams)
        teams[name] = { { "requests", it.requests }, { "answered", it.answered }, { "not_run", it.notRun }, { "unknown", it.unknown }, { "lost", it.lost }, { "resent", it.resent } };
    return { { "services", services }, { "teams", teams }, { "share_errors", summary.shareErrors } };
}

std::string toTable(const Summary& summary)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3);
    text << std::left << std::setw(24) << "service" << std::right << std::setw(10) << "calls" << std::setw(10) << "answered" << std::setw(12)
         << "p50 ms" << std::setw(12) << "p99 ms" << std::setw(12) << "max ms"
         << "\n";
    for (const auto& [name, it] : summary.services) {
        text << std::left << std::setw(24) << name << std::right << std::setw(10) << it.calls << std::setw(10) << it.answered << std::setw(12)
             << it.p50Ms << std::setw(12) << it.p99Ms << std::setw(12) << it.maxMs << "\n";
    }
    text << std::left << std::setw(24) << "team" << std::right << std::setw(10) << "requests" << std::setw(10) << "answered" << std::setw(10) << "not run" << std::setw(10)
         << "unknown" << std::setw(10) << "no answer" << std::setw(10) << "resent" << std::setw(14) << "share error"
         << "\n";
    for (const auto& [name, it] : summary.teams) {
        text << std::left << std::setw(24) << name << std::right << std::setw(10) << it.requests << std::setw(10) << it.answered << std::setw(10) << it.notRun
             << std::setw(10) << it.unknown << std::setw(10) << it.lost << std::setw(10) << it.resent << std::setw(14);
        if (auto error = summary.shareErrors.find(name); error != summary.shareErrors.end())
            text << error->second << "\n";
        else
            text << "-"
                 << "\n";
    }
    return text.str();
}

} // namespace vanillalift::bench
