// A controller on the target platform: replicates the state with its peers, and schedules while it is the leader.
#include "core/event_log_p.h"
#include "node/controller_p.h"
#include "node/host_setup_p.h"
#include "node/metrics_page_p.h"
#include "node/process_metrics_p.h"
#include "node/process_usage_p.h"
#include "node/run_record_p.h"
#include "platform/incoming_p.h"
#include "platform/outgoing_p.h"
#include "platform/program_p.h"

#include <glog/logging.h>

#include <csignal>
#include <unistd.h>

using namespace vanillalift;

namespace {

/// File descriptors for files, for links of some 300 gateways and for connections that are being closed.
constexpr size_t reservedDescriptors = 1100;
/// Share of the other descriptors for connections to endpoints: the rest is for those that endpoints and operators open.
constexpr double endpointConnectionShare = 0.6;

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

    auto disk = raft::openFolder(settings->dataFolder);
    if (!disk)
        return node::logExit(log, 1, raft::describe(disk.error()));
    node::RunRecord runRecord(settings->dataFolder);
    if (runRecord.unfinishedRuns() > 0)
        log.stateLine("unfinished-runs").field("count", runRecord.unfinishedRuns());
    auto storage = node::openStorage(**disk, settings->controller);
    if (!storage)
        return node::logExit(log, 1, raft::describe(storage.error()));
    auto limits = connectionLimits(maxDescriptors);
    platform::HttpEndpointLinks endpoints(loop, clock, limits.toEndpoints);
    platform::HttpAdviceService advice(loop, clock, settings->adviceAddress);
    platform::HttpInstanceService instances(loop, clock, settings->instanceServiceAddress, settings->node);
    node::Controller controller(loop, clock, log, settings->controller, { &endpoints, &advice, &instances }, std::move(*storage));
    auto forwardCall = [&](node::Request request, TimePoint deadline, node::LeaderClient::Handler handler) { controller.call(std::move(request), deadline, std::move(handler)); };
    platform::ControlApi control(loop, clock, log, *settings->controlAddress, limits.incoming, forwardCall, [&](std::string_view zone, std::string_view id) { return controlAddress(controller.heartbeatReceiver(zone, id), settings->controlAddress->port); });
    node::MetricsPage metrics(loop, { settings->controlAddress->ip, settings->metricsPort }, "vanillalift_controller_", [&](const auto& visit) {
        node::visitProcessMetrics(control.server(), visit);
        visit("unfinished_runs", "Runs in a row before this one that ended without being stopped.", static_cast<double>(runRecord.unfinishedRuns()));
        controller.visitMetrics(visit);
    });
    bool isStopping = false;
    loop.onSignal(SIGTERM, [&] {
        log.stateLine("stop").field("reason", std::string_view("SIGTERM"));
        isStopping = true;
        controller.stop([&] { loop.stop(); });
    });
    loop.onSignal(SIGHUP, [&] {
        auto changed = platform::loadPlatformSettings(settings->path);
        log.stateLine("reload").field("valid", changed.has_value());
        if (changed)
            controller.addSeeds(changed->seeds);
    });
    node::releaseSignals();
    loop.run();
    node::holdSignals();
    if (isStopping)
        runRecord.finish();
    log.stateLine("connections").field("open", control.server().openConnections()).field("requests", control.server().openRequests());
    return node::logExit(log, 0, isStopping ? "stopped" : "the storage has failed");
}
