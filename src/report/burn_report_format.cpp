#include "burn_report_p.h"

#include <algorithm>
#include <array>
#include <iomanip>

namespace vanillalift {

using nlohmann::json;

namespace {

    constexpr int nameWidth = 24;
    constexpr int numberWidth = 12;

    std::string windowName(int64_t lengthS)
    {
        return lengthS % 3600 == 0 ? std::to_string(lengthS / 3600) + " h" : std::to_string(lengthS / 60) + " min";
    }

    json toJson(const ServiceReport& service)
    {
        json value { { "service", service.service }, { "availability_budget", service.availabilityBudget }, { "alert", alertName(service.alert) }, { "windows", json::array() } };
        for (const auto& it : service.windows)
            value["windows"].push_back({ { "length_s", it.lengthS }, { "good", it.good }, { "bad", it.bad }, { "burn_rate", it.burnRate } });
        return value;
    }

    json toJson(const TeamReport& it)
    {
        return { { "team", it.team }, { "share", it.share }, { "upper_limit", it.upperLimit }, { "running", it.running }, { "queued", it.queued },
            { "dispatched", it.dispatched }, { "refused", it.refused }, { "dispatched_fraction", it.dispatchedFraction }, { "owed_fraction", it.owedFraction } };
    }

    std::string escapeHtml(const std::string& text)
    {
        std::string result;
        for (char c : text) {
            if (c == '<')
                result += "&lt;";
            else if (c == '&')
                result += "&amp;";
            else
                result += c;
        }
        return result;
    }

    /// Prints the burn rate with a bar whose full width is the fast-burn threshold.
    void printBar(std::ostream& out, double burnRate)
    {
        constexpr double fullBarRate = 14.4;
        auto width = std::min(burnRate / fullBarRate, 1.0) * 120;
        const char* colour = burnRate > fullBarRate ? "#b3261e" : (burnRate > 1 ? "#b26a00" : "#2e7d32");
        out << "<td class=n>" << burnRate << "<svg width=120 height=10 role=img aria-label='burn rate'><rect width=120 height=10 fill='#e0e0e0'/><rect width=" << width
            << " height=10 fill='" << colour << "'/></svg></td>";
    }

} // namespace

json toJson(const BurnReport& report)
{
    json value { { "entries", report.entries }, { "missing", report.missing }, { "services", json::array() }, { "teams", json::array() } };
    for (const auto& it : report.services)
        value["services"].push_back(toJson(it));
    for (const auto& it : report.teams)
        value["teams"].push_back(toJson(it));
    return value;
}

void printText(std::ostream& out, const BurnReport& report)
{
    out << std::fixed << std::setprecision(2) << std::left << std::setw(nameWidth) << "service" << std::right << std::setw(numberWidth) << "budget";
    for (const auto& it : report.services.empty() ? std::vector<WindowReport>() : report.services.front().windows)
        out << std::setw(numberWidth) << "burn " + windowName(it.lengthS);
    out << std::setw(numberWidth) << "alert"
        << "\n";
    for (const auto& it : report.services) {
        out << std::left << std::setw(nameWidth) << it.service << std::right << std::setw(numberWidth) << std::setprecision(4) << it.availabilityBudget << std::setprecision(2);
        for (const auto& window : it.windows)
            out << std::setw(numberWidth) << window.burnRate;
        out << std::setw(numberWidth) << alertName(it.alert) << "\n";
    }
    out << "\n"
        << std::left << std::setw(nameWidth) << "team" << std::right;
    for (const auto* it : { "limit", "running", "queued", "dispatched", "refused", "part", "owed" })
        out << std::setw(numberWidth) << it;
    out << "\n";
    for (const auto& it : report.teams) {
        out << std::left << std::setw(nameWidth) << it.team << std::right << std::setw(numberWidth) << it.upperLimit << std::setw(numberWidth) << it.running
            << std::setw(numberWidth) << it.queued << std::setw(numberWidth) << it.dispatched << std::setw(numberWidth) << it.refused
            << std::setw(numberWidth) << it.dispatchedFraction << std::setw(numberWidth) << it.owedFraction << "\n";
    }
    for (const auto& it : report.missing)
        out << "no response from entry " << it << "\n";
}

void printHtml(std::ostream& out, const BurnReport& report)
{
    out << std::fixed << std::setprecision(2)
        << "<!doctype html><html lang=en><meta charset=utf-8><title>Service-level burn</title><style>body{font:14px sans-serif;margin:2em;max-width:70em}"
           "table{border-collapse:collapse;margin:1em 0}td,th{padding:.3em .8em;border-bottom:1px solid #ddd;text-align:left}.n{text-align:right;font-variant-numeric:tabular-nums}"
           "svg{margin-left:.6em;vertical-align:middle}.fast{color:#b3261e;font-weight:bold}.slow{color:#b26a00;font-weight:bold}</style><h1>Service-level burn</h1>"
           "<p>A burn rate of 1 uses up the availability budget exactly over its period. Bars are full at the fast-burn threshold of 14.4.</p><table><tr><th>service<th>budget";
    for (const auto& it : report.services.empty() ? std::vector<WindowReport>() : report.services.front().windows)
        out << "<th>" << windowName(it.lengthS);
    out << "<th>alert</tr>";
    for (const auto& it : report.services) {
        out << "<tr><td>" << escapeHtml(it.service) << "<td class=n>" << std::setprecision(4) << it.availabilityBudget << std::setprecision(2);
        for (const auto& window : it.windows)
            printBar(out, window.burnRate);
        out << "<td class=" << alertName(it.alert) << ">" << alertName(it.alert) << "</tr>";
    }
    out << "</table><h2>Teams</h2><table><tr><th>team<th>limit<th>running<th>queued<th>dispatched<th>refused<th>fraction of all<th>fraction by share</tr>";
    for (const auto& it : report.teams) {
        out << "<tr><td>" << escapeHtml(it.team) << "<td class=n>" << it.upperLimit << "<td class=n>" << it.running << "<td class=n>" << it.queued << "<td class=n>" << it.dispatched
            << "<td class=n>" << it.refused << "<td class=n>" << it.dispatchedFraction << "<td class=n>" << it.owedFraction << "</tr>";
    }
    out << "</table><p>" << report.entries.size() << " entries responded, " << report.missing.size() << " did not.</p></html>\n";
}

} // namespace vanillalift
