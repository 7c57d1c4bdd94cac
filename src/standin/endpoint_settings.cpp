#include "endpoint_settings_p.h"

#include <popt.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>
#include <sstream>

namespace vanillalift::standin {

using nlohmann::json;

namespace {

    enum class FieldKind : uint8_t {
        Text,
        Number,
        Flag,
        List,
    };

    struct Field {
        const char* name;
        FieldKind kind;
        const char* help;
    };

    constexpr std::array fields {
        Field { "service", FieldKind::Text, "service name" },
        Field { "address", FieldKind::Text, "ip:port to serve on" },
        Field { "zone", FieldKind::Text, "availability zone" },
        Field { "instance", FieldKind::Text, "instance name" },
        Field { "slots", FieldKind::Number, "maximum concurrent requests" },
        Field { "connections", FieldKind::Number, "maximum open connections" },
        Field { "entries", FieldKind::List, "announce addresses of the entries, comma-separated" },
        Field { "record_file", FieldKind::Text, "file that gets JSON lines for the start and end of each attempt" },
        Field { "service_distribution", FieldKind::Text, "fixed or exponential" },
        Field { "service_ms", FieldKind::Number, "service time, or its mean if exponential" },
        Field { "quiet_ms", FieldKind::Number, "time without requests before a leaving endpoint exits" },
        Field { "seed", FieldKind::Number, "seed of all random choices" },
        Field { "delay_probability", FieldKind::Number, "probability of the delay" },
        Field { "delay_ms", FieldKind::Number, "fixed delay" },
        Field { "delay_random_ms", FieldKind::Number, "maximum random delay" },
        Field { "truncate", FieldKind::Number, "probability of a truncated response" },
        Field { "cross", FieldKind::Number, "probability of swapped responses" },
        Field { "fail_fast", FieldKind::Number, "probability of an immediate 500" },
        Field { "die", FieldKind::Number, "probability of the process exiting in mid-response" },
        Field { "close", FieldKind::Number, "probability of a close without a response" },
        Field { "twice", FieldKind::Number, "probability of a duplicated response" },
        Field { "freeze", FieldKind::Number, "probability of no response" },
        Field { "ignore_leaving", FieldKind::Flag, "keep announcing the state serving while leaving" },
    };

    json fieldValue(const Field& field, const std::string& text)
    {
        if (field.kind == FieldKind::Flag)
            return true;
        if (field.kind == FieldKind::List) {
            auto list = json::array();
            std::istringstream in(text);
            for (std::string it; std::getline(in, it, ',');)
                list.push_back(it);
            return list;
        }
        auto number = field.kind == FieldKind::Number ? json::parse(text, nullptr, false) : json();
        return number.is_number() ? number : json(text);
    }

    std::vector<poptOption> optionTable(std::vector<std::string>& names)
    {
        std::vector<poptOption> table;
        for (const auto& it : fields)
            names.emplace_back(it.name);
        for (size_t i = 0; i < fields.size(); ++i) {
            std::replace(names[i].begin(), names[i].end(), '_', '-');
            auto kind = fields[i].kind == FieldKind::Flag ? POPT_ARG_NONE : POPT_ARG_STRING;
            table.push_back({ names[i].c_str(), '\0', static_cast<unsigned>(kind), nullptr, static_cast<int>(i) + 1, fields[i].help, nullptr });
        }
        table.push_back({ nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr });
        table.push_back(POPT_TABLEEND);
        return table;
    }

    void readFaults(SettingsReader& reader, FaultSettings& faults)
    {
        reader.read("delay_probability", faults.delayProbability, 0, 1);
        reader.read("delay_ms", faults.delayMs, { 0, 60000 });
        reader.read("delay_random_ms", faults.delayRandomMs, { 0, 60000 });
        reader.read("truncate", faults.truncate, 0, 1);
        reader.read("cross", faults.cross, 0, 1);
        reader.read("fail_fast", faults.failFast, 0, 1);
        reader.read("die", faults.die, 0, 1);
        reader.read("close", faults.close, 0, 1);
        reader.read("twice", faults.twice, 0, 1);
        reader.read("freeze", faults.freeze, 0, 1);
        reader.read("ignore_leaving", faults.ignoreLeaving);
    }

} // namespace

tl::expected<EndpointSettings, SettingsErrors> endpointSettingsFromJson(const json& value, const std::string& location)
{
    EndpointSettings settings;
    SettingsErrors faults;
    SettingsReader reader(value, location, faults);
    auto& it = settings.announcement;
    reader.read("service", it.service);
    reader.read("address", it.address);
    reader.read("zone", it.zone);
    reader.read("instance", it.instance);
    reader.read("slots", it.slots, { 1, 10000 });
    reader.read("connections", it.connections, { 1, 10000 });
    reader.read("entries", settings.entries, Presence::Required);
    reader.read("record_file", settings.recordFile, Presence::Optional);
    std::string distribution = "fixed";
    reader.read("service_distribution", distribution, Presence::Optional);
    if (distribution != "fixed" && distribution != "exponential")
        reader.addError("service_distribution", "must be \"fixed\" or \"exponential\"");
    settings.serviceTimeDistribution = distribution == "fixed" ? ServiceTimeDistribution::Fixed : ServiceTimeDistribution::Exponential;
    reader.read("service_ms", settings.serviceMs, 0, 600000);
    reader.read("quiet_ms", settings.quietMs, { 0, 60000 });
    reader.read("seed", settings.seed, {});
    readFaults(reader, settings.faults);
    if (it.address.find(':') == std::string::npos)
        reader.addError("address", "must be ip:port");
    reader.finish();
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return settings;
}

tl::expected<EndpointSettings, SettingsErrors> endpointSettingsFromCommandLine(int argc, const char** argv)
{
    std::vector<std::string> names;
    auto table = optionTable(names);
    std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(poptGetContext("vanillalift-endpoint", argc, argv, table.data(), 0), poptFreeContext);
    poptSetOtherOptionHelp(context.get(), "[SETTINGS]");
    auto options = json::object();
    int rc = 0;
    while ((rc = poptGetNextOpt(context.get())) > 0) {
        const auto& field = fields.at(static_cast<size_t>(rc) - 1);
        std::unique_ptr<char, void (*)(void*)> text(poptGetOptArg(context.get()), std::free);
        options[field.name] = fieldValue(field, text ? text.get() : "");
    }
    if (rc < -1)
        return tl::unexpected(SettingsErrors { { poptBadOption(context.get(), 0), poptStrerror(rc) } });
    const auto* file = poptGetArg(context.get());
    auto value = file ? loadSettings(file) : json::object();
    if (!value)
        return tl::unexpected(value.error());
    if (value->is_object())
        value->update(options);
    return endpointSettingsFromJson(*value, file ? file : "command line");
}

} // namespace vanillalift::standin
