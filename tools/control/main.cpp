#include "control/control_process_p.h"
#include "core/command_line_p.h"
#include "core/stop_signals_p.h"

#include <glog/logging.h>

#include <iostream>

using namespace vanillalift;

namespace {

int run(const ControlSettings& settings, bool bootstrap)
{
    StopSignals signals;
    auto process = ControlProcess::open(settings, bootstrap);
    if (!process) {
        LOG(ERROR) << "replica " << settings.name << " cannot start: " << process.error().reason;
        return 1;
    }
    if (!(*process)->start()) {
        LOG(ERROR) << "replica " << settings.name << " cannot bind its ports on " << settings.address;
        return 1;
    }
    LOG(INFO) << "replica " << settings.name << " has started";
    signals.wait();
    LOG(INFO) << "replica " << settings.name << " is shutting down";
    (*process)->stop();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    bool isCheckOnly = false;
    bool bootstrap = false;
    CommandLine commandLine("vanillalift-control", "SETTINGS", 1, 1);
    commandLine.add("check", 'c', "Check the settings, print the errors found and exit", isCheckOnly);
    commandLine.add("bootstrap", 'b', "Create a new replica group with this replica as its first member", bootstrap);
    auto operands = commandLine.parse(argc, argv);
    if (!operands)
        return operands.error();
    const auto& path = operands->front();
    auto value = loadSettings(path);
    auto settings = value ? controlSettingsFromJson(*value, path) : tl::unexpected(value.error());
    if (!settings) {
        std::cerr << describe(settings.error());
        return 2;
    }
    if (isCheckOnly)
        return 0;
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    return run(*settings, bootstrap);
}
