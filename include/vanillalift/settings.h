#pragma once

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Reading and validating settings files: JSON with comments, unknown fields refused.
namespace vanillalift {

/// One fault of a settings file.
struct SettingsError {
    /// File with line and column for a syntax fault, or file and JSON pointer for a fault of a value.
    std::string location;
    std::string reason;
};

/// All faults found in one reading.
using SettingsErrors = std::vector<SettingsError>;

/// @returns one line a fault, "place: reason".
std::string describe(std::span<const SettingsError> errors);

/// Parses JSON with comments. Duplicate fields are a fault.
/// @param text whole content.
/// @param source name used in the places of faults.
tl::expected<nlohmann::json, SettingsErrors> parseSettings(std::string_view text, std::string_view source);

/// Reads and parses a settings file.
tl::expected<nlohmann::json, SettingsErrors> loadSettings(const std::string& path);

struct IntegerRange {
    int64_t min = 0;
    int64_t max = std::numeric_limits<int64_t>::max();
};

enum class Presence : uint8_t {
    Required,
    Optional,
};

/// Reads the fields of one JSON object, collects every fault, and on finish() refuses fields that nobody read.
class SettingsReader {
public:
    /// @param object the object to read; a value of another kind is a fault.
    /// @param place file and JSON pointer of the object.
    /// @param faults receives the faults; must outlive the reader.
    SettingsReader(const nlohmann::json& object, std::string location, SettingsErrors& errors);

    /// The read functions leave @p value unchanged when the field is absent and optional, or faulty.
    void read(const char* name, std::string& value, Presence presence = Presence::Required);
    void read(const char* name, bool& value, Presence presence = Presence::Optional);
    void read(const char* name, int64_t& value, IntegerRange range, Presence presence = Presence::Optional);
    void read(const char* name, double& value, double min, double max, Presence presence = Presence::Optional);
    void read(const char* name, std::vector<std::string>& value, Presence presence = Presence::Optional);

    /// @returns the field's value for nested reading, or nullptr if it is absent.
    const nlohmann::json* child(const char* name, Presence presence = Presence::Optional);
    [[nodiscard]] std::string childLocation(std::string_view name) const;

    void addError(std::string_view field, std::string reason);
    void finish();

private:
    const nlohmann::json* find(const char* name, Presence presence);

    const nlohmann::json& m_object;
    std::string m_location;
    SettingsErrors& m_errors;
    std::vector<std::string> m_seen;
};

/// @returns whether @p name is 1 to 64 of lower-case letters, digits and hyphens.
bool isValidName(std::string_view name);

} // namespace vanillalift
