#include <vanillalift/endpoint.h>

#include <vanillalift/settings.h>

namespace vanillalift {

tl::expected<Announcement, AnnouncementError> announcementFromJson(const nlohmann::json& value, std::string& detail)
{
    Announcement announcement;
    SettingsErrors faults;
    SettingsReader reader(value, "announcement", faults);
    reader.read("service", announcement.service);
    reader.read("address", announcement.address);
    reader.read("zone", announcement.zone);
    reader.read("instance", announcement.instance);
    int64_t incarnation = 0;
    int64_t sequence = 0;
    reader.read("incarnation", incarnation, {}, Presence::Required);
    reader.read("sequence", sequence, {}, Presence::Required);
    std::string state;
    reader.read("state", state);
    if (state != "serving" && state != "leaving")
        reader.addError("state", "must be \"serving\" or \"leaving\"");
    reader.read("slots", announcement.slots, { 1, 10000 }, Presence::Required);
    reader.read("connections", announcement.connections, { 1, 100000 }, Presence::Required);
    reader.read("running", announcement.running, { 0, 1000000 });
    reader.read("expires_ms", announcement.expiresMs, { 1, 60000 });
    reader.finish();
    if (!faults.empty()) {
        detail = describe(faults);
        return tl::unexpected(AnnouncementError::Malformed);
    }
    announcement.incarnation = static_cast<uint64_t>(incarnation);
    announcement.sequence = static_cast<uint64_t>(sequence);
    announcement.state = state == "leaving" ? EndpointState::Leaving : EndpointState::Serving;
    return announcement;
}

nlohmann::json toJson(const Announcement& announcement)
{
    return { { "service", announcement.service }, { "address", announcement.address }, { "zone", announcement.zone },
        { "instance", announcement.instance }, { "incarnation", announcement.incarnation }, { "sequence", announcement.sequence },
        { "state", announcement.state == EndpointState::Leaving ? "leaving" : "serving" }, { "slots", announcement.slots },
        { "connections", announcement.connections }, { "running", announcement.running }, { "expires_ms", announcement.expiresMs } };
}

uint64_t requestKind(std::string_view method, std::string_view target)
{
    auto path = target.substr(0, target.find('?'));
    return std::hash<std::string> {}(std::string(method) + " " + std::string(path)) | 1U;
}

nlohmann::json toJson(const EndpointStats& stats)
{
    constexpr std::array<const char*, static_cast<size_t>(AttemptVerdict::AttemptVerdictCount)> names { "succeeded", "server_error", "not_started", "not_sent", "broken", "timed_out", "unused" };
    nlohmann::json verdicts;
    for (size_t i = 0; i < names.size(); ++i)
        verdicts[names[i]] = stats.verdicts[i];
    return { { "service", stats.service }, { "address", stats.address }, { "zone", stats.zone }, { "instance", stats.instance },
        { "incarnation", stats.incarnation }, { "state", stats.state == EndpointState::Leaving ? "leaving" : "serving" },
        { "ejected", stats.isEjected }, { "window", stats.window }, { "window_bound", stats.windowBound }, { "in_flight", stats.inFlight },
        { "ejections", stats.ejections }, { "attempts", std::move(verdicts) } };
}

} // namespace vanillalift
