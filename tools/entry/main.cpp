#include "core/command_line_p.h"
#include "core/stop_signals_p.h"
#include "entry/entry_process_p.h"

#include <glog/logging.h>

#include <iostream>

using namespace vanillalift;

namespace {

tl::expected<std::optional<Catalog>, SettingsErrors> loadCatalog(const EntrySettings& settings)
{
    if (settings.catalogFile.empty())
        return std::optional<Catalog>();
    auto value = loadSettings(settings.catalogFile);
    if (!value)
        return tl::unexpected(std::move(value.error()));
    auto catalog = catalogFromJson(*value, settings.catalogFile);
    if (!catalog)
        return tl::unexpected(std::move(catalog.error()));
    return std::optional(std::move(*catalog));
}

} // namespace

int main(int argc, char** argv)
{
    bool isCheckOnly = false;
    bool isFirstStart = false;
    CommandLine commandLine("vanillalift-entry", "SETTINGS", 1, 1);
    commandLine.add("check", 'c', "Check the settings and the catalog, print the errors found and exit", isCheckOnly);
    commandLine.add("first-start", 'f', "Grant claims immediately after the start; only safe if no entry of the site has run within the claim retention period", isFirstStart);
    auto operands = commandLine.parse(argc, argv);
    if (!operands)
        return operands.error();
    auto settings = loadEntrySettings(operands->front());
    if (!settings) {
        std::cerr << describe(settings.error());
        return 2;
    }
    auto catalog = loadCatalog(*settings);
    if (!catalog) {
        std::cerr << describe(catalog.error());
        return 2;
    }
    if (isCheckOnly)
        return 0;
    if (isFirstStart)
        settings->claimRecoveryMs = 0;
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    StopSignals signals;
    timespec startedAt {};
    clock_gettime(CLOCK_REALTIME, &startedAt);
    auto incarnation = static_cast<uint64_t>(startedAt.tv_sec) * 1000000000U + static_cast<uint64_t>(startedAt.tv_nsec);
    EntryProcess entry(*settings, std::move(*catalog), incarnation);
    if (!entry.start())
        return 1;
    signals.wait();
    entry.shutDown();
    return 0;
}
