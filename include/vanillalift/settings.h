#pragma once

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Reading and validation of settings files: JSON with comments, in which unknown fields are errors.
namespace vanillalift {

/// An error in a settings file.
struct SettingsError {
    /// "file:line:column" for a syntax error, or file and JSON pointer for an invalid value.
    std::string location;
    std::string reason;
};

/// All errors found in one file.
using SettingsErrors = std::vector<SettingsError>;

/// @returns one line per error: "location: reason".
std::string describe(std::span<const SettingsError> errors);

/// Parses JSON with comments. Duplicate fields are errors.
/// @param text content of the file.
/// @param source file name used in the locations of errors.
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

/// Reads the fields of one JSON object and collects all errors. finish() reports fields that were not read as unknown.
class SettingsReader {
public:
    /// @param object value to read; an error is added if it is not an object. Must outlive the reader.
    /// @param location file and JSON pointer of the object.
    /// @param errors list to which errors are added. Must outlive the reader.
    SettingsReader(const nlohmann::json& object, std::string location, SettingsErrors& errors);

    /// Each overload reads one field, and leaves @p value unchanged if the field is absent or invalid.
    void read(const char* name, std::string& value, Presence presence = Presence::Required);
    void read(const char* name, bool& value, Presence presence = Presence::Optional);
    void read(const char* name, int64_t& value, IntegerRange range, Presence presence = Presence::Optional);
    void read(const char* name, double& value, double min, double max, Presence presence = Presence::Optional);
    void read(const char* name, std::vector<std::string>& value, Presence presence = Presence::Optional);

    /// @returns the field's value, to be read with a reader of its own, or nullptr if the field is absent.
    const nlohmann::json* child(const char* name, Presence presence = Presence::Optional);
    [[nodiscard]] std::string childLocation(std::string_view name) const;

    void addError(std::string_view field, std::string reason);
    /// Adds an error for each field that was not read.
    void finish();

private:
    const nlohmann::json* find(const char* name, Presence presence);

    const nlohmann::json& m_object;
    std::string m_location;
    SettingsErrors& m_errors;
    std::vector<std::string> m_readFields;
};

/// @returns whether @p name consists of 1 to 64 lower-case letters, digits and hyphens.
bool isValidName(std::string_view name);

} // namespace vanillalift
