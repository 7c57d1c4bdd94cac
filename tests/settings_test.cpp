#include <catch2/catch.hpp>

#include <vanillalift/settings.h>

using namespace vanillalift;

TEST_CASE("a JSON syntax error is reported with its line", "[settings]")
{
    auto value = parseSettings("{\n  // comment\n  \"a\": ,\n}", "f.json");
    REQUIRE_FALSE(value);
    CHECK(value.error().front().location.rfind("f.json:3", 0) == 0);
}

TEST_CASE("duplicate fields are rejected instead of silently using one of the values", "[settings]")
{
    CHECK_FALSE(parseSettings(R"({"a": 1, "a": 2})", "f.json"));
    CHECK(parseSettings(R"({"a": {"b": 1}, "c": {"b": 2}})", "f.json"));
}

TEST_CASE("unknown, missing and out-of-range fields are all reported with their location", "[settings]")
{
    auto value = parseSettings(R"({"port": 70000, "prot": 1})", "f.json");
    REQUIRE(value);
    SettingsErrors errors;
    SettingsReader reader(*value, "f.json", errors);
    int64_t port = 5;
    std::string name;
    reader.read("port", port, { 1, 65535 });
    reader.read("name", name);
    reader.finish();
    CHECK(port == 5);
    CHECK(describe(errors) == "f.json/port: must be a whole number from 1 to 65535\nf.json/name: is required\nf.json/prot: is not a known field\n");
}
