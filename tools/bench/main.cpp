#include "bench/load_p.h"
#include "core/command_line_p.h"

#include <csignal>
#include <iostream>

using namespace vanillalift;
using namespace vanillalift::bench;

namespace {

struct Options {
    std::string settingsFile;
    std::string outFolder;
    std::string shape;
    std::string factor;
    int64_t seed = 1;
    int64_t callers = 0;
    int64_t requests = -1;
};

int checkFolder(const std::string& folder)
{
    auto history = readHistory(folder);
    if (!history) {
        std::cerr << history.error().location << ": " << history.error().reason << "\n";
        return 2;
    }
    auto violations = checkHistory(*history);
    auto summary = summarize(*history);
    std::cout << toTable(summary) << toJson(summary).dump() << "\n";
    for (const auto& it : violations)
        std::cout << "violated " << guaranteeName(it.guarantee) << ": " << it.detail << "\n";
    std::cout << history->calls.size() << " calls, " << history->attempts.size() << " attempts, " << violations.size() << " violations\n";
    return violations.empty() ? 0 : 1;
}

/// Loads the settings file; options override its fields.
tl::expected<LoadSettings, SettingsErrors> readLoadSettings(const Options& options)
{
    auto value = loadSettings(options.settingsFile);
    if (!value)
        return tl::unexpected(std::move(value.error()));
    if (!options.shape.empty())
        (*value)["shape"] = options.shape;
    if (!options.factor.empty())
        (*value)["factor"] = nlohmann::json::parse(options.factor, nullptr, false);
    if (options.callers > 0)
        (*value)["callers"] = options.callers;
    if (options.requests >= 0)
        (*value)["requests"] = options.requests;
    return loadSettingsFromJson(*value, options.settingsFile);
}

int runLoadCommand(const Options& options)
{
    if (options.settingsFile.empty() || options.outFolder.empty()) {
        std::cerr << "the load command requires --settings and --out\n";
        return 2;
    }
    auto settings = readLoadSettings(options);
    if (!settings) {
        std::cerr << describe(settings.error());
        return 2;
    }
    auto history = runLoad(*settings, static_cast<uint64_t>(options.seed));
    if (!writeHistory(history, options.outFolder)) {
        std::cerr << options.outFolder << ": the history cannot be written\n";
        return 1;
    }
    auto summary = summarize(history);
    std::cout << toTable(summary) << toJson(summary).dump() << "\n";
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    CommandLine commandLine("vanillalift-bench", "check DIR | load --settings FILE --seed N --out DIR", 1, 2);
    commandLine.add("settings", 's', "FILE", "Settings file of the load", options.settingsFile);
    commandLine.add("seed", 'n', "N", "Seed of the arrivals, teams, resends and abandoned calls", options.seed);
    commandLine.add("out", 'o', "DIR", "Output folder for calls.jsonl and run.json", options.outFolder);
    commandLine.add("shape", 0, "waves|steady|closed", "Shape of the load", options.shape);
    commandLine.add("factor", 0, "X", "Rate in the steady shape, relative to each service's rate", options.factor);
    commandLine.add("callers", 0, "N", "Limit on concurrent calls; in the closed shape, the number of callers", options.callers);
    commandLine.add("requests", 0, "N", "Number of requests after which the load ends; 0 for no limit", options.requests);
    auto operands = commandLine.parse(argc, argv);
    if (!operands)
        return operands.error();
    signal(SIGPIPE, SIG_IGN);
    if (operands->size() == 2 && operands->front() == "check")
        return checkFolder(operands->back());
    if (operands->size() == 1 && operands->front() == "load")
        return runLoadCommand(options);
    std::cerr << "usage: vanillalift-bench check DIR | load --settings FILE --seed N --out DIR\n";
    return 2;
}
