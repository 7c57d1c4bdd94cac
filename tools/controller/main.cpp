// A controller on the target platform: replicates the state with its peers, and schedules while it is the leader.
#include "core/event_log_p.h"
#include "node/controller_p.h"
#include "node/host_setup_p.h"
#include "node/metrics_page_p.h"
#include "node/process_metrics_p.h"
#include "node/process_usage_p.h"
#include "node/run_record_p.h"
#include "node/shutdown_p.h"
#include "node/storage_retry_p.h"
#include "platform/incoming_p.h"
#include "platform/outgoing_p.h"
#include "platform/program_p.h"

#include <vanillalift/config.h>

#include <glog/logging.h>

#include <csignal>
#include <unistd.h>

using namespace vanillalift;

namespace {

/// File descriptors for files, for links of some 300 gateways and for connections that are being closed.
constexpr size_t reservedDescriptors = 1100;
/// Share of the other descriptors for connections to endpoints: the rest is for those that endpoints and operators open.
constexpr double endpointConnectionShare = 0.6;
constexpr std::chrono::milliseconds shutdownTickInterval { 10 };

struct ConnectionLimits {
    size_t toEndpoints = 0;
    size_t incoming = 0;
};

ConnectionLimits connectionLimits(size_t maxDescriptors)
{
    auto available = maxDescriptors - node::reservedOf(maxDescriptors, reservedDescriptors);
    auto toEndpoints = static_cast<size_t>(static_cast<double>(available) * endpointConnectionShare);
    return { toEndpoints, available - toEndpoints };
}

/// The port of the control interface is the same on all instances.
std::string controlAddress(const std::string& controller, uint16_t port)
{
    return controller.empty() ? "" : controller.substr(0, controller.find(':')) + ':' + std::to_string(port);
}

} // namespace

int main(int argc, const char** argv)
{
    node::prepareHost();
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    auto settings = platform::loadProgramSettings(argc, argv, "");
    if (!settings)
        return settings.error();
    if (!settings->controlAddress || settings->dataFolder.empty()) {
        LOG(ERROR) << "the settings lack a control address or a data folder, which a controller requires";
        return 2;
    }
    auto maxDescriptors = node::allowDescriptors(settings->maxDescriptors);
    SystemClock clock;
    net::EventLoop loop;
    EventLog log(clock, STDOUT_FILENO, {});
    log.stateLine("start").field("node", settings->node).field("name", settings->controller.name).field("version", std::string_view(VANILLALIFT_VERSION)).field("first", settings->isFirstStart);
    node::logHost(log);

    auto pause = [&](Duration it) {
        net::Timer timer(loop, [&] { loop.stop(); });
        auto now = clock.now();
        timer.armAt(now + it, now);
        loop.run();
    };
    node::StorageRetry retry(clock, log, pause);
    auto disk = raft::openFolder(settings->dataFolder);
    while (!disk && !node::isStopPending() && retry.wait(disk.error()))
        disk = raft::openFolder(settings->dataFolder);
    if (!disk)
        return node::logExit(log, node::isStopPending() ? 0 : 1, raft::describe(disk.error()));
    node::RunRecord runRecord(settings->dataFolder);
    if (runRecord.unfinishedRuns() > 0)
        log.stateLine("unfinished-runs").field("count", runRecord.unfinishedRuns());
    auto storage = node::openStorage(**disk, settings->controller, log);
    while (!storage && !node::isStopPending() && retry.wait(storage.error()))
        storage = node::openStorage(**disk, settings->controller, log);
    if (!storage)
        return node::logExit(log, node::isStopPending() ? 0 : 1, raft::describe(storage.error()));
    auto limits = connectionLimits(maxDescriptors);
    platform::HttpEndpointLinks endpoints(loop, clock, limits.toEndpoints);
    platform::HttpAdviceService advice(loop, clock, settings->adviceAddress);
    platform::HttpInstanceService instances(loop, clock, settings->instanceServiceAddress, settings->node);
    node::Controller controller(loop, clock, log, settings->controller, { &endpoints, &advice, &instances }, std::move(*storage));
    auto forwardCall = [&](node::Request request, TimePoint deadline, node::LeaderClient::Handler handler) { controller.call(std::move(request), deadline, std::move(handler)); };
    net::HttpMemory memory(loop, clock, static_cast<size_t>(static_cast<double>(settings->maxMemoryBytes) * config::httpMemoryShare));
    platform::ControlApi control(
        loop, clock, memory, log, *settings->controlAddress, limits.incoming, forwardCall, [&](std::string_view zone, std::string_view id) { return controlAddress(controller.heartbeatReceiver(zone, id), settings->controlAddress->port); }, settings->controller.features.evacuation);
    node::MetricsPage metrics(loop, clock, memory, { settings->controlAddress->ip, settings->metricsPort }, "vanillalift_controller_", [&](const auto& visit) {
        node::visitProcessMetrics(control.server(), visit);
        visit("unfinished_runs", "Runs in a row before this one that ended without being stopped.", static_cast<double>(runRecord.unfinishedRuns()));
        controller.visitMetrics(visit);
    });
    bool isStopping = false;
    node::Shutdown shutdown(control.server(), node::controllerShutdown, { [&] { return controller.hasHandedOver(); }, [&] { controller.closeCalls(); } });
    net::Timer* nextTick = nullptr;
    net::Timer shutdownTimer(loop, [&] {
        auto now = clock.now();
        if (shutdown.tick(now))
            return loop.stop();
        nextTick->armAt(now + shutdownTickInterval, now);
    });
    nextTick = &shutdownTimer;
    auto stop = [&](std::string_view reason) {
        log.stateLine("stop").field("reason", reason);
        isStopping = true;
        auto now = clock.now();
        controller.beginStop();
        shutdown.begin(now);
        shutdownTimer.armAt(now, now);
    };
    loop.onSignal(SIGTERM, [&] { stop("SIGTERM"); });
    loop.onSignal(SIGINT, [&] { stop("SIGINT"); });
    loop.onSignal(SIGHUP, [&] {
        auto changed = platform::loadPlatformSettings(settings->path);
        log.stateLine("reload").field("valid", changed.has_value());
        if (changed)
            controller.addSeeds(changed->seeds);
    });
    node::releaseSignals();
    loop.run();
    node::holdSignals();
    if (isStopping && !controller.hasStorageFailed())
        runRecord.finish();
    log.stateLine("connections").field("open", control.server().openConnections()).field("requests", control.server().openRequests());
    if (controller.hasStorageFailed())
        return node::logExit(log, 1, "the storage has failed");
    return node::logExit(log, 0, "stopped");
}
