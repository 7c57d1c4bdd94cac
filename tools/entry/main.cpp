#include "caller/caller_server_p.h"
#include "core/static_authority_p.h"
#include "endpoint/endpoint_table_p.h"
#include "endpoint/http_attempt_client_p.h"
#include "request/request_runner_p.h"

#include <glog/logging.h>
#include <httplib.h>

#include <iostream>

using namespace vanillalift;

namespace {

struct EntrySettings {
    std::string name;
    std::string zone;
    std::string address = "127.0.0.1";
    int64_t callerPort = 0;
    int64_t announcePort = 0;
    int64_t entryCount = 1;
    std::string catalogFile;
};

tl::expected<EntrySettings, SettingsFaults> entrySettingsFromJson(const nlohmann::json& value, const std::string& place)
{
    EntrySettings settings;
    SettingsFaults faults;
    SettingsReader reader(value, place, faults);
    reader.read("name", settings.name);
    reader.read("zone", settings.zone);
    reader.read("address", settings.address, Presence::Optional);
    reader.read("caller_port", settings.callerPort, { 1, 65535 }, Presence::Required);
    reader.read("announce_port", settings.announcePort, { 1, 65535 }, Presence::Required);
    reader.read("entry_count", settings.entryCount, { 1, config::maxEntries });
    reader.read("catalog_file", settings.catalogFile);
    reader.finish();
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return settings;
}

/// Refuses every claim until entries share a claim table, so that no non-idempotent request runs unprotected.
class UnavailableClaims final : public ClaimService {
public:
    ClaimResult claim(const ClaimKey& /*key*/, TimePoint /*deadline*/, TimePoint /*retainUntil*/) override
    {
        return ClaimUnavailable { "this entry has no claim table" };
    }
    void settle(const ClaimKey& /*key*/, const Outcome& /*outcome*/) override { }
    bool release(const ClaimKey& /*key*/) override { return false; }
};

void addAnnouncementRoute(httplib::Server& server, EndpointTable& endpoints, const Clock& clock, EndpointPoolListener& listener)
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
        listener.endpointsChanged(announcement->service);
    });
}

int run(const EntrySettings& settings, Catalog catalog)
{
    SystemClock clock;
    StaticAuthority authority(std::move(catalog), settings.entryCount);
    EndpointTable endpoints(settings.zone, settings.entryCount);
    HttpAttemptClient client(clock);
    Scheduler scheduler(authority, endpoints, std::mt19937_64(std::random_device {}()));
    std::jthread expiryThread([&](const std::stop_token& stop) { scheduler.runExpiry(stop, clock); });
    UnavailableClaims claims;
    RequestRunner runner(settings.name, clock, authority, scheduler, client, claims);
    CallerServer callers(clock, authority, runner);

    httplib::Server announceServer;
    addAnnouncementRoute(announceServer, endpoints, clock, runner);
    std::thread announceThread([&] { announceServer.listen(settings.address, static_cast<int>(settings.announcePort)); });

    httplib::Server callerServer;
    callerServer.set_tcp_nodelay(true);
    callers.addRoutes(callerServer);
    LOG(INFO) << "entry " << settings.name << " starts";
    bool listened = callerServer.listen(settings.address, static_cast<int>(settings.callerPort));
    announceServer.stop();
    announceThread.join();
    return listened ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    if (argc != 2) {
        std::cerr << "usage: vanillalift-entry SETTINGS\n";
        return 2;
    }
    auto value = loadSettings(argv[1]);
    if (!value) {
        std::cerr << describe(value.error());
        return 2;
    }
    auto settings = entrySettingsFromJson(*value, argv[1]);
    if (!settings) {
        std::cerr << describe(settings.error());
        return 2;
    }
    auto catalogValue = loadSettings(settings->catalogFile);
    if (!catalogValue) {
        std::cerr << describe(catalogValue.error());
        return 2;
    }
    auto catalog = catalogFromJson(*catalogValue, settings->catalogFile);
    if (!catalog) {
        std::cerr << describe(catalog.error());
        return 2;
    }
    return run(*settings, std::move(*catalog));
}
