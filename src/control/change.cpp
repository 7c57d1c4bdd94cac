#include <vanillalift/change.h>

#include <algorithm>
#include <array>

namespace vanillalift {

using nlohmann::json;

namespace {

    constexpr std::array<std::string_view, std::variant_size_v<Change>> kinds { "put-profile", "delete-profile", "put-service",
        "delete-service", "put-team", "delete-team", "give-key", "withdraw-key", "put-pool", "delete-pool", "put-instance",
        "move-instance", "remove-instance", "put-operator", "delete-operator", "remove-entry", "start-wave",
        "halt-wave", "resume-wave", "rollback-wave", "drain-started", "drain-ended" };

    constexpr std::array<std::string_view, static_cast<size_t>(OperatorRole::OperatorRoleCount)> roleNames { "viewer", "editor", "admin" };

    /// Reads the fields of one change other than "kind".
    class ChangeReader {
    public:
        ChangeReader(const json& value, const std::string& location, SettingsErrors& errors)
            : m_reader(value, location, errors)
            , m_errors(errors)
        {
            m_reader.child("kind");
        }

        std::string name(const char* field = "name")
        {
            std::string text;
            m_reader.read(field, text);
            if (!text.empty() && !isValidName(text))
                m_reader.addError(field, "must be 1 to 64 lower-case letters, digits or hyphens");
            return text;
        }

        std::string optionalText(const char* field)
        {
            std::string text;
            m_reader.read(field, text, Presence::Optional);
            return text;
        }

        std::vector<std::string> names(const char* field)
        {
            std::vector<std::string> list;
            m_reader.read(field, list, Presence::Required);
            return list;
        }

        int64_t integer(const char* field)
        {
            int64_t value = 0;
            m_reader.read(field, value, {}, Presence::Required);
            return value;
        }

        int64_t count(const char* field)
        {
            int64_t value = 0;
            m_reader.read(field, value, { 0, config::maxInstances });
            return value;
        }

        template <typename Convert>
        auto object(const char* field, Convert convert)
        {
            const auto* value = m_reader.child(field, Presence::Required);
            return convert(value ? *value : json::object(), m_reader.childLocation(field), m_errors);
        }

        OperatorRole role()
        {
            std::string text;
            m_reader.read("role", text);
            auto it = std::find(roleNames.begin(), roleNames.end(), text);
            if (it == roleNames.end())
                m_reader.addError("role", "must be \"viewer\", \"editor\" or \"admin\"");
            return it == roleNames.end() ? OperatorRole::Viewer : static_cast<OperatorRole>(it - roleNames.begin());
        }

        void finish() { m_reader.finish(); }

    private:
        SettingsReader m_reader;
        SettingsErrors& m_errors;
    };

    template <typename T>
    T readChange(ChangeReader& reader)
    {
        if constexpr (std::is_same_v<T, PutProfile>)
            return { reader.object("profile", profileFromJson) };
        else if constexpr (std::is_same_v<T, PutService>)
            return { reader.object("service", serviceFromJson) };
        else if constexpr (std::is_same_v<T, PutTeam>)
            return { reader.object("team", teamFromJson) };
        else if constexpr (std::is_same_v<T, GiveKey>)
            return { reader.object("key", keyFromJson) };
        else if constexpr (std::is_same_v<T, WithdrawKey>)
            return { reader.name("id") };
        else if constexpr (std::is_same_v<T, PutPool>)
            return { { reader.name(), reader.optionalText("service"), reader.count("minimum") } };
        else if constexpr (std::is_same_v<T, PutInstance>)
            return { { reader.name(), reader.name("zone"), reader.name("rack"), reader.optionalText("address"), reader.name("pool") } };
        else if constexpr (std::is_same_v<T, MoveInstance>)
            return { reader.name("instance"), reader.name("from"), reader.name("to") };
        else if constexpr (std::is_same_v<T, PutOperator>)
            return { { reader.name(), reader.role(), reader.optionalText("salt"), reader.optionalText("hash") } };
        else if constexpr (std::is_same_v<T, StartWave>)
            return { reader.name(), reader.names("pools"), reader.integer("deadline_ms") };
        else if constexpr (std::is_same_v<T, DrainStarted> || std::is_same_v<T, DrainEnded>)
            return { reader.name("instance") };
        else
            return { reader.name() };
    }

    template <size_t index = 0>
    Change readChangeOfKind(size_t kind, ChangeReader& reader)
    {
        if constexpr (index < std::variant_size_v<Change>) {
            if (kind == index)
                return readChange<std::variant_alternative_t<index, Change>>(reader);
            return readChangeOfKind<index + 1>(kind, reader);
        }
        return {};
    }

    struct ChangeToJson {
        json operator()(const PutProfile& change) const { return { { "profile", toJson(change.profile) } }; }
        json operator()(const PutService& change) const { return { { "service", toJson(change.service) } }; }
        json operator()(const PutTeam& change) const { return { { "team", toJson(change.team) } }; }
        json operator()(const GiveKey& change) const { return { { "key", toJson(change.key) } }; }
        json operator()(const WithdrawKey& change) const { return { { "id", change.id } }; }
        json operator()(const PutPool& change) const { return { { "name", change.pool.name }, { "service", change.pool.service }, { "minimum", change.pool.minimum } }; }
        json operator()(const PutInstance& change) const
        {
            const auto& it = change.instance;
            return { { "name", it.name }, { "zone", it.zone }, { "rack", it.rack }, { "address", it.address }, { "pool", it.pool } };
        }
        json operator()(const MoveInstance& change) const { return { { "instance", change.instance }, { "from", change.from }, { "to", change.to } }; }
        json operator()(const PutOperator& change) const
        {
            const auto& it = change.account;
            return { { "name", it.name }, { "role", roleName(it.role) }, { "salt", it.salt }, { "hash", it.hash } };
        }
        json operator()(const StartWave& change) const { return { { "name", change.name }, { "pools", change.pools }, { "deadline_ms", change.deadlineMs } }; }
        json operator()(const DrainStarted& change) const { return { { "instance", change.instance } }; }
        json operator()(const DrainEnded& change) const { return { { "instance", change.instance } }; }
        template <typename T>
        json operator()(const T& change) const { return { { "name", change.name } }; }
    };

} // namespace

tl::expected<Change, SettingsErrors> changeFromJson(const json& value, const std::string& location)
{
    auto kind = value.is_object() ? value.value("kind", json()) : json();
    auto it = kind.is_string() ? std::find(kinds.begin(), kinds.end(), kind.get_ref<const std::string&>()) : kinds.end();
    if (it == kinds.end())
        return tl::unexpected(SettingsErrors { { location + "/kind", "is not a known kind of change" } });
    SettingsErrors errors;
    ChangeReader reader(value, location, errors);
    auto change = readChangeOfKind(static_cast<size_t>(it - kinds.begin()), reader);
    reader.finish();
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return change;
}

json toJson(const Change& change)
{
    auto value = std::visit(ChangeToJson {}, change);
    value["kind"] = changeKind(change);
    return value;
}

std::string_view changeKind(const Change& change)
{
    return kinds.at(change.index());
}

OperatorRole requiredRole(const Change& change)
{
    bool isAccountChange = std::holds_alternative<PutOperator>(change) || std::holds_alternative<DeleteOperator>(change);
    return isAccountChange ? OperatorRole::Admin : OperatorRole::Editor;
}

bool isServiceChange(const Change& change)
{
    return std::holds_alternative<PutProfile>(change) || std::holds_alternative<PutService>(change) || std::holds_alternative<DeleteService>(change);
}

std::string_view roleName(OperatorRole role)
{
    return roleNames.at(static_cast<size_t>(role));
}

} // namespace vanillalift
