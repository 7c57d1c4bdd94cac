#include "core/stop_signals_p.h"
#include "standin/announcer_p.h"
#include "standin/endpoint_server_p.h"

#include <glog/logging.h>

#include <iostream>

using namespace vanillalift;
using namespace vanillalift::standin;

namespace {

constexpr std::chrono::milliseconds shutdownCheckInterval { 50 };
/// Late requests are refused as not started for this time after the last check, and only then are connections closed.
constexpr std::chrono::milliseconds refusalPeriod { 300 };

void shutDownGracefully(const EndpointSettings& settings, Announcer& announcer, SimulatedEndpoint& work)
{
    LOG(INFO) << "endpoint " << settings.announcement.instance << " is deregistering and shutting down";
    work.recordLeaving();
    if (!settings.faults.ignoreLeaving)
        announcer.announceLeaving();
    // Entries that have not received the deregistration yet may still send requests, so the quiet period starts now at the earliest.
    std::this_thread::sleep_for(std::chrono::milliseconds(settings.quietMs));
    while (!work.isQuiet(std::chrono::milliseconds(settings.quietMs)))
        std::this_thread::sleep_for(shutdownCheckInterval);
    work.close();
    std::this_thread::sleep_for(refusalPeriod);
}

int run(EndpointSettings settings, const StopSignals& signals)
{
    SystemClock clock;
    settings.announcement.incarnation = static_cast<uint64_t>(wallClockMs()) * 1000000;
    const auto& address = settings.announcement.address;
    auto colon = address.rfind(':');
    SimulatedEndpoint work(settings, clock);
    EndpointServer server(work, settings.announcement.connections);
    if (!server.bind_to_port(address.substr(0, colon), std::atoi(address.c_str() + colon + 1))) {
        LOG(ERROR) << "endpoint server cannot bind " << address;
        return 1;
    }
    std::thread serverThread([&] { server.listen_after_bind(); });
    {
        Announcer announcer(settings.announcement, settings.entries, [&] { return work.running(); });
        signals.wait();
        shutDownGracefully(settings, announcer, work);
    }
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
    auto settings = endpointSettingsFromCommandLine(argc, const_cast<const char**>(argv));
    if (!settings) {
        std::cerr << describe(settings.error());
        return 2;
    }
    return run(std::move(*settings), signals);
}
