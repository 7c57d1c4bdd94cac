#include <vanillalift/follow.h>

namespace vanillalift {

using nlohmann::json;

json toJson(const FollowRequest& request)
{
    json value { { "entry", request.entry.name }, { "incarnation", request.entry.incarnation }, { "zone", request.zone },
        { "revision", request.revision }, { "parts_version", request.partsVersion }, { "wait_ms", request.waitMs } };
    if (request.use) {
        // Arrays instead of objects: with 50 teams, the field names would be most of the message.
        auto& use = value["use"] = json::array();
        for (const auto& it : *request.use)
            use.push_back({ it.team, it.running, it.queued });
    }
    return value;
}

json toJson(const FollowResponse& response)
{
    json value { { "revision", response.revision }, { "parts_version", response.partsVersion } };
    if (response.catalog)
        value["catalog"] = toJson(*response.catalog);
    for (const auto& it : response.changes)
        value["changes"].push_back(toJson(it));
    if (response.parts) {
        auto& parts = value["parts"] = json::array();
        for (const auto& it : *response.parts)
            parts.push_back({ it.team, it.amount, it.target });
    }
    return value;
}

tl::expected<FollowRequest, SettingsErrors> followRequestFromJson(const json& value)
{
    try {
        FollowRequest request { { value.at("entry"), value.at("incarnation") }, value.at("zone"), value.at("revision"), value.at("parts_version"), std::nullopt, value.at("wait_ms") };
        if (value.contains("use")) {
            request.use.emplace();
            for (const auto& it : value.at("use"))
                request.use->push_back({ it.at(0), it.at(1), it.at(2) });
        }
        return request;
    } catch (const json::exception& error) {
        return tl::unexpected(SettingsErrors { { "follow request", error.what() } });
    }
}

tl::expected<FollowResponse, SettingsErrors> followResponseFromJson(const json& value)
{
    FollowResponse response;
    try {
        response.revision = value.at("revision");
        response.partsVersion = value.at("parts_version");
        if (value.contains("catalog")) {
            auto catalog = catalogFromJson(value.at("catalog"), "follow response/catalog");
            if (!catalog)
                return tl::unexpected(catalog.error());
            response.catalog = std::move(*catalog);
        }
        for (const auto& it : value.value("changes", json::array())) {
            auto change = changeFromJson(it, "follow response/changes");
            if (!change)
                return tl::unexpected(change.error());
            response.changes.push_back(std::move(*change));
        }
        if (value.contains("parts")) {
            response.parts.emplace();
            for (const auto& it : value.at("parts"))
                response.parts->push_back({ it.at(0), it.at(1), it.at(2) });
        }
    } catch (const json::exception& error) {
        return tl::unexpected(SettingsErrors { { "follow response", error.what() } });
    }
    return response;
}

} // namespace vanillalift
