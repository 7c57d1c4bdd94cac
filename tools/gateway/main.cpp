// A gateway on the target platform: accepts clients' requests and forwards them to the leading controller.
#include "core/event_log_p.h"
#include "node/host_setup_p.h"
#include "node/leader_client_p.h"
#include "node/metrics_page_p.h"
#include "node/process_metrics_p.h"
#include "node/process_usage_p.h"
#include "node/shutdown_p.h"
#include "platform/incoming_p.h"
#include "platform/program_p.h"

#include <vanillalift/config.h>

#include <glog/logging.h>

#include <csignal>
#include <unistd.h>

using namespace vanillalift;

namespace {

constexpr size_t reservedDescriptors = 400;
constexpr std::chrono::milliseconds tickInterval { 50 };

} // namespace

int main(int argc, const char** argv)
{
    node::prepareHost();
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    auto settings = platform::loadProgramSettings(argc, argv, "");
    if (!settings)
        return settings.error();
    if (!settings->clientAddress || !settings->readinessAddress) {
        LOG(ERROR) << "the settings lack a client or a readiness address, which a gateway requires";
        return 2;
    }
    if (settings->controller.listen) {
        LOG(ERROR) << "--listen is valid for controllers only: a gateway does not accept links";
        return 2;
    }
    auto maxDescriptors = node::allowDescriptors(settings->maxDescriptors);
    SystemClock clock;
    net::EventLoop loop;
    EventLog log(clock, STDOUT_FILENO, {});
    log.stateLine("start").field("node", settings->node).field("version", std::string_view(VANILLALIFT_VERSION));
    node::logHost(log);
    node::LeaderClient leaderClient(loop, clock, log, { { "", settings->availabilityZone, "" }, settings->seeds, nullptr });
    platform::ClientApi::Desc desc { *settings->clientAddress, *settings->readinessAddress, maxDescriptors - node::reservedOf(maxDescriptors, reservedDescriptors) };
    auto forwardCall = [&](node::Request request, TimePoint sendDeadline, TimePoint deadline, node::LeaderClient::Handler handler) { leaderClient.call(std::move(request), sendDeadline, deadline, std::move(handler)); };
    net::HttpMemory memory(loop, clock, static_cast<size_t>(static_cast<double>(settings->maxMemoryBytes) * config::httpMemoryShare));
    bool isStopping = false;
    platform::ClientApi clients(loop, clock, memory, log, desc, forwardCall, [&] { return leaderClient.hasLeader() && clients.isOpen() && !isStopping; });
    node::Shutdown stop(clients.clientServer(), node::gatewayShutdown, { nullptr, [&] { leaderClient.close(); } });
    node::MetricsPage metrics(loop, clock, memory, { settings->clientAddress->ip, settings->metricsPort }, "vanillalift_gateway_", [&](const auto& visit) {
        node::visitProcessMetrics(clients.clientServer(), visit);
        visit("requests_accepted_total", "Requests that succeeded.", static_cast<double>(clients.counters().accepted));
        visit("requests_refused_total", "Requests refused without being executed.", static_cast<double>(clients.counters().refused));
        visit("requests_unanswered_total", "Requests whose outcome is unknown.", static_cast<double>(clients.counters().unanswered));
        visit("requests_other_total", "Requests with any other response.", static_cast<double>(clients.counters().clientErrors));
        visit("has_leader", "1 while the leading controller is known.", leaderClient.hasLeader() ? 1 : 0);
        visit("pending_calls", "Requests that wait for the leader.", static_cast<double>(leaderClient.pendingCalls()));
        visit("log_lines_dropped_total", "Log lines dropped by the rate limit or because of a slow reader.", static_cast<double>(log.dropped()));
    });
    net::Timer* tickTimer = nullptr;
    net::Timer timer(loop, [&] {
        auto now = clock.now();
        log.flush();
        if (stop.tick(now))
            return loop.stop();
        tickTimer->armAt(now + tickInterval, now);
    });
    tickTimer = &timer;
    timer.armAt(clock.now(), clock.now());
    auto beginStop = [&](std::string_view reason) {
        log.stateLine("stop").field("reason", reason);
        isStopping = true;
        stop.begin(clock.now());
    };
    loop.onSignal(SIGTERM, [&] { beginStop("SIGTERM"); });
    loop.onSignal(SIGINT, [&] { beginStop("SIGINT"); });
    loop.onSignal(SIGHUP, [&] {
        auto changed = platform::loadPlatformSettings(settings->path);
        log.stateLine("reload").field("valid", changed.has_value());
        if (changed)
            leaderClient.addSeeds(changed->seeds);
    });
    node::releaseSignals();
    loop.run();
    node::holdSignals();
    log.stateLine("connections").field("open", clients.clientServer().openConnections()).field("requests", clients.clientServer().openRequests());
    return node::logExit(log, 0, "stopped");
}
