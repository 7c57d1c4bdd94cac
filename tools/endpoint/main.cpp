#include <vanillalift/endpoint.h>
#include <vanillalift/request.h>
#include <vanillalift/settings.h>

#include <glog/logging.h>
#include <httplib.h>

#include <atomic>
#include <iostream>

using namespace vanillalift;

namespace {

struct EndpointSettings {
    Announcement announcement;
    std::vector<std::string> entries;
    int64_t delayMs = 0;
};

tl::expected<EndpointSettings, SettingsFaults> endpointSettingsFromJson(const nlohmann::json& value, const std::string& place)
{
    EndpointSettings settings;
    SettingsFaults faults;
    SettingsReader reader(value, place, faults);
    auto& it = settings.announcement;
    reader.read("service", it.service);
    reader.read("address", it.address);
    reader.read("zone", it.zone);
    reader.read("instance", it.instance);
    reader.read("slots", it.slots, { 1, 10000 });
    reader.read("connections", it.connections, { 1, 10000 });
    reader.read("entries", settings.entries, Presence::Required);
    reader.read("delay_ms", settings.delayMs, { 0, 60000 });
    reader.finish();
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return settings;
}

void announceOnce(const EndpointSettings& settings, const Announcement& announcement)
{
    for (const auto& it : settings.entries) {
        httplib::Client client("http://" + it);
        client.set_connection_timeout(std::chrono::milliseconds(300));
        client.set_read_timeout(std::chrono::milliseconds(300));
        client.Post("/v1/announce", toJson(announcement).dump(), "application/json");
    }
}

int run(EndpointSettings settings)
{
    auto& announcement = settings.announcement;
    announcement.incarnation = static_cast<uint64_t>(wallClockMs()) * 1000000;
    std::atomic<bool> isStopping { false };
    std::thread announcer([&] {
        while (!isStopping) {
            ++announcement.sequence;
            announceOnce(settings, announcement);
            std::this_thread::sleep_for(std::chrono::seconds(1));
        }
    });
    httplib::Server server;
    server.set_tcp_nodelay(true);
    auto handler = [&](const httplib::Request& request, httplib::Response& response) {
        std::this_thread::sleep_for(std::chrono::milliseconds(settings.delayMs));
        response.set_header(header::attemptId, request.get_header_value(header::attemptId));
        nlohmann::json body { { "request", request.get_header_value(header::requestId) }, { "instance", announcement.instance }, { "target", request.target } };
        response.set_content(body.dump() + "\n", "application/json");
    };
    server.Get(".*", handler);
    server.Post(".*", handler);
    auto colon = announcement.address.rfind(':');
    bool listened = server.listen(announcement.address.substr(0, colon), std::stoi(announcement.address.substr(colon + 1)));
    isStopping = true;
    announcer.join();
    return listened ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    if (argc != 2) {
        std::cerr << "usage: vanillalift-endpoint SETTINGS\n";
        return 2;
    }
    auto value = loadSettings(argv[1]);
    auto settings = value ? endpointSettingsFromJson(*value, argv[1]) : tl::unexpected(value.error());
    if (!settings) {
        std::cerr << describe(settings.error());
        return 2;
    }
    return run(std::move(*settings));
}
