#include "caller/caller_server_p.h"
#include "core/command_line_p.h"
#include "core/static_authority_p.h"
#include "endpoint/endpoint_table_p.h"
#include "endpoint/http_attempt_client_p.h"
#include "entry/admin_routes_p.h"
#include "entry/entry_settings_p.h"
#include "request/request_runner_p.h"

#include <glog/logging.h>

#include <csignal>
#include <iostream>

using namespace vanillalift;

namespace {

void addAnnouncementRoute(httplib::Server& server, EndpointTable& endpoints, const Clock& clock)
{
    server.Post("/v1/announce", [&](const httplib::Request& request, httplib::Response& response) {
        auto value = nlohmann::json::parse(request.body, nullptr, false);
        std::string detail;
        auto announcement = announcementFromJson(value, detail);
        if (!announcement) {
            response.status = 400;
            response.set_content(detail, "text/plain");
            return;
        }
        endpoints.announce(*announcement, clock.now());
    });
}

HttpServerDesc serverDesc(const EntrySettings& settings, int64_t port)
{
    return { .address = settings.address, .port = static_cast<int>(port), .idleTimeout = std::chrono::milliseconds(settings.idleTimeoutMs) };
}

HttpServerDesc callerDesc(const EntrySettings& settings)
{
    auto desc = serverDesc(settings, settings.callerPort);
    desc.maxActiveRequests = static_cast<size_t>(settings.maxActiveRequests);
    desc.maxConnections = static_cast<size_t>(settings.maxConnections);
    desc.maxBodyBytes = static_cast<uint64_t>(settings.maxBodyBytes);
    return desc;
}

void addGauges(Metrics& metrics, const CallerServer& callers)
{
    metrics.addGauge("vanillalift_caller_connections", "Open connections of callers", [&] { return static_cast<double>(callers.stats().connections); });
    metrics.addGauge("vanillalift_active_requests", "Requests queued or running", [&] { return static_cast<double>(callers.stats().activeRequests); });
    metrics.addGauge("vanillalift_worker_threads", "Started worker threads", [&] { return static_cast<double>(callers.stats().startedThreads); });
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/// Waits for SIGTERM or SIGINT, then gives both their default effect, so that a second signal ends the process at once.
void waitForStopSignal()
{
    auto signals = stopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

int run(const EntrySettings& settings, Catalog catalog)
{
    SystemClock clock;
    Metrics metrics;
    DecisionLog decisions;
    std::atomic<bool> isStopping { false };
    StaticAuthority authority(std::move(catalog), settings.entryCount);
    EndpointTable endpoints(settings.zone, settings.entryCount);
    HttpAttemptClient client(clock);
    RequestRunner runner(settings.name, clock, authority, endpoints, client);
    CallerServer callers({ settings.name, callerDesc(settings) }, clock, authority, runner, metrics, decisions);
    addGauges(metrics, callers);
    HttpServer announceServer(serverDesc(settings, settings.announcePort));
    addAnnouncementRoute(announceServer, endpoints, clock);
    HttpServer adminServer(serverDesc(settings, settings.adminPort));
    addAdminRoutes(adminServer, metrics, decisions, [&] { return !isStopping && authority.catalog() != nullptr; });

    if (!announceServer.start() || !adminServer.start() || !callers.start()) {
        LOG(ERROR) << "entry " << settings.name << " cannot bind its ports on " << settings.address;
        return 1;
    }
    LOG(INFO) << "entry " << settings.name << " serves callers on port " << callers.port() << ", announcements on port " << announceServer.port()
              << ", administration on port " << adminServer.port();
    waitForStopSignal();
    LOG(INFO) << "entry " << settings.name << " is shutting down";
    isStopping = true;
    std::this_thread::sleep_for(std::chrono::milliseconds(settings.drainNoticeMs));
    callers.beginShutdown();
    callers.stop();
    announceServer.stop();
    adminServer.stop();
    LOG(INFO) << "entry " << settings.name << " has stopped";
    return 0;
}

tl::expected<Catalog, SettingsFaults> loadCatalog(const std::string& path)
{
    auto value = loadSettings(path);
    if (!value)
        return tl::unexpected(std::move(value.error()));
    return catalogFromJson(*value, path);
}

} // namespace

int main(int argc, char** argv)
{
    bool isCheckOnly = false;
    CommandLine commandLine("vanillalift-entry", "SETTINGS", 1, 1);
    commandLine.add("check", 'c', "Check the settings and the catalog, print their faults and exit", isCheckOnly);
    auto operands = commandLine.parse(argc, argv);
    if (!operands)
        return operands.error();
    auto settings = loadEntrySettings(operands->front());
    if (!settings) {
        std::cerr << describe(settings.error());
        return 2;
    }
    auto catalog = loadCatalog(settings->catalogFile);
    if (!catalog) {
        std::cerr << describe(catalog.error());
        return 2;
    }
    if (isCheckOnly)
        return 0;
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    // Blocked before any thread starts, so that only waitForStopSignal() receives them.
    auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return run(*settings, std::move(*catalog));
}
