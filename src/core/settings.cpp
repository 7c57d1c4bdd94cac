#include <vanillalift/settings.h>

#include <vanillalift/config.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace vanillalift {

using nlohmann::json;

namespace {

    /// Parser callback that collects duplicate fields, which the JSON parser silently accepts.
    class DuplicateFinder {
    public:
        bool operator()(int /*depth*/, json::parse_event_t event, json& parsed)
        {
            if (event == json::parse_event_t::object_start)
                m_fields.emplace_back();
            else if (event == json::parse_event_t::object_end)
                m_fields.pop_back();
            else if (event == json::parse_event_t::key && !m_fields.back().insert(parsed.get<std::string>()).second)
                m_duplicates.push_back(parsed.get<std::string>());
            return true;
        }

        [[nodiscard]] const std::vector<std::string>& duplicates() const { return m_duplicates; }

    private:
        std::vector<std::set<std::string>> m_fields;
        std::vector<std::string> m_duplicates;
    };

    std::string lineAndColumn(std::string_view text, size_t byte)
    {
        auto before = text.substr(0, std::min(byte, text.size()));
        auto line = 1 + std::count(before.begin(), before.end(), '\n');
        auto lineStart = before.rfind('\n');
        auto column = before.size() - (lineStart == std::string_view::npos ? 0 : lineStart + 1);
        return std::to_string(line) + ":" + std::to_string(std::max<size_t>(column, 1));
    }

} // namespace

std::string describe(std::span<const SettingsError> errors)
{
    std::string text;
    for (const auto& it : errors)
        text += it.location + ": " + it.reason + "\n";
    return text;
}

tl::expected<json, SettingsErrors> parseSettings(std::string_view text, std::string_view source)
{
    DuplicateFinder finder;
    try {
        auto value = json::parse(text, std::ref(finder), true, true);
        if (finder.duplicates().empty())
            return value;
        SettingsErrors errors;
        for (const auto& it : finder.duplicates())
            errors.push_back({ std::string(source), "duplicate field \"" + it + "\" in an object" });
        return tl::unexpected(std::move(errors));
    } catch (const json::parse_error& error) {
        return tl::unexpected(SettingsErrors { { std::string(source) + ":" + lineAndColumn(text, error.byte), "not valid JSON: " + std::string(error.what()) } });
    }
}

tl::expected<json, SettingsErrors> loadSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return tl::unexpected(SettingsErrors { { path, "cannot be opened for reading" } });
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

SettingsReader::SettingsReader(const json& object, std::string location, SettingsErrors& errors)
    : m_object(object)
    , m_location(std::move(location))
    , m_errors(errors)
{
    if (!m_object.is_object())
        m_errors.push_back({ m_location, "must be an object" });
}

const json* SettingsReader::find(const char* name, Presence presence)
{
    m_readFields.emplace_back(name);
    if (!m_object.is_object())
        return nullptr;
    auto it = m_object.find(name);
    if (it != m_object.end())
        return &*it;
    if (presence == Presence::Required)
        addError(name, "is required");
    return nullptr;
}

void SettingsReader::read(const char* name, std::string& value, Presence presence)
{
    const auto* field = find(name, presence);
    if (!field)
        return;
    if (!field->is_string())
        return addError(name, "must be a string");
    value = field->get<std::string>();
}

void SettingsReader::read(const char* name, bool& value, Presence presence)
{
    const auto* field = find(name, presence);
    if (!field)
        return;
    if (!field->is_boolean())
        return addError(name, "must be true or false");
    value = field->get<bool>();
}

void SettingsReader::read(const char* name, int64_t& value, IntegerRange range, Presence presence)
{
    const auto* field = find(name, presence);
    if (!field)
        return;
    bool isTooLarge = field->is_number_unsigned() && field->get<uint64_t>() > static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
    if (!field->is_number_integer() || isTooLarge || field->get<int64_t>() < range.min || field->get<int64_t>() > range.max)
        return addError(name, "must be a whole number from " + std::to_string(range.min) + " to " + std::to_string(range.max));
    value = field->get<int64_t>();
}

void SettingsReader::read(const char* name, double& value, double min, double max, Presence presence)
{
    const auto* field = find(name, presence);
    if (!field)
        return;
    if (!field->is_number() || field->get<double>() < min || field->get<double>() > max) {
        std::ostringstream reason;
        reason << "must be a number from " << min << " to " << max;
        return addError(name, reason.str());
    }
    value = field->get<double>();
}

void SettingsReader::read(const char* name, std::vector<std::string>& value, Presence presence)
{
    const auto* field = find(name, presence);
    if (!field)
        return;
    bool isStringArray = field->is_array() && std::all_of(field->begin(), field->end(), [](const json& it) { return it.is_string(); });
    if (!isStringArray)
        return addError(name, "must be an array of strings");
    value = field->get<std::vector<std::string>>();
}

const json* SettingsReader::child(const char* name, Presence presence)
{
    return find(name, presence);
}

std::string SettingsReader::childLocation(std::string_view name) const
{
    return m_location + "/" + std::string(name);
}

void SettingsReader::addError(std::string_view field, std::string reason)
{
    m_errors.push_back({ childLocation(field), std::move(reason) });
}

void SettingsReader::finish()
{
    if (!m_object.is_object())
        return;
    for (const auto& [name, value] : m_object.items()) {
        if (std::find(m_readFields.begin(), m_readFields.end(), name) == m_readFields.end())
            addError(name, "is not a known field");
    }
}

bool isValidName(std::string_view name)
{
    auto isAllowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !name.empty() && name.size() <= config::maxNameLength && std::all_of(name.begin(), name.end(), isAllowed);
}

} // namespace vanillalift
