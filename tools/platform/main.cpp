#include "core/command_line_p.h"
#include "core/stop_signals_p.h"
#include "standin/platform_server_p.h"

#include <vanillalift/clock.h>

#include <glog/logging.h>

#include <array>
#include <iostream>
#include <thread>

using namespace vanillalift;
using namespace vanillalift::standin;

namespace {

/// An option that overrides the probability of an injected fault in the settings file.
struct FaultOption {
    const char* option;
    const char* field;
    const char* help;
};

constexpr std::array<FaultOption, 6> faultOptions { {
    { "never-returns", "never_returns", "probability that an instance never returns from a reboot" },
    { "returns-broken", "returns_broken", "probability that an instance is broken after its reboot" },
    { "new-address", "new_address", "probability that an instance has a new address after its reboot" },
    { "slow", "slow", "probability that a reboot takes slow_ms longer" },
    { "refuses", "refuses", "probability that a drain or reboot is refused" },
    { "rack-fails", "rack_fails", "probability that a reboot fails after another reboot in the same rack has failed" },
} };

tl::expected<PlatformSettings, int> settingsFromCommandLine(int argc, char** argv)
{
    CommandLine commandLine("vanillalift-platform", "SETTINGS", 1, 1);
    std::array<std::string, faultOptions.size()> values;
    for (size_t n = 0; n < faultOptions.size(); ++n)
        commandLine.add(faultOptions[n].option, '\0', "PROBABILITY", faultOptions[n].help, values[n]);
    auto operands = commandLine.parse(argc, argv);
    if (!operands)
        return tl::unexpected(operands.error());
    auto value = loadSettings(operands->front());
    if (!value) {
        std::cerr << describe(value.error());
        return tl::unexpected(2);
    }
    for (size_t n = 0; n < faultOptions.size() && value->is_object(); ++n) {
        if (!values[n].empty())
            (*value)[faultOptions[n].field] = nlohmann::json::parse(values[n], nullptr, false);
    }
    auto settings = platformSettingsFromJson(*value, operands->front());
    if (!settings) {
        std::cerr << describe(settings.error());
        return tl::unexpected(2);
    }
    return *settings;
}

int run(const PlatformSettings& settings, const StopSignals& signals)
{
    SimulatedPlatform work(settings);
    httplib::Server server;
    addPlatformRoutes(server, work, wallClockMs);
    auto colon = settings.address.rfind(':');
    if (!server.bind_to_port(settings.address.substr(0, colon), std::atoi(settings.address.c_str() + colon + 1))) {
        LOG(ERROR) << "platform server cannot bind " << settings.address;
        return 1;
    }
    std::thread serverThread([&] { server.listen_after_bind(); });
    signals.wait();
    server.stop();
    serverThread.join();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    StopSignals signals;
    auto settings = settingsFromCommandLine(argc, argv);
    return settings ? run(*settings, signals) : settings.error();
}
