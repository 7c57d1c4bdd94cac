#include <catch2/catch.hpp>

#include "core/command_line_p.h"
#include "core/decision_log_p.h"
#include "entry/admin_routes_p.h"
#include "entry/entry_settings_p.h"
#include "http/http_server_p.h"
#include "raw_client.h"

using namespace vanillalift;

namespace {

nlohmann::json validSettings()
{
    return { { "name", "entry-1" }, { "zone", "z1" }, { "caller_port", 8000 }, { "announce_port", 8001 }, { "admin_port", 8002 }, { "catalog_file", "catalog.json" } };
}

std::string errorsWith(const char* field, const nlohmann::json& value)
{
    auto settings = validSettings();
    settings[field] = value;
    auto result = entrySettingsFromJson(settings, "f.json");
    return result ? "" : describe(result.error());
}

tl::expected<std::vector<std::string>, int> parse(CommandLine& commandLine, std::vector<std::string> arguments)
{
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (auto& it : arguments)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    return commandLine.parse(static_cast<int>(arguments.size()), argv.data());
}

} // namespace

TEST_CASE("each field of the entry settings is validated and named in its error", "[entry]")
{
    auto [field, value] = GENERATE(table<const char*, nlohmann::json>({ { "name", "Entry 1" }, { "zone", 5 }, { "address", "localhost" },
        { "caller_port", 70000 }, { "caller_port", "8000" }, { "announce_port", 8000 }, { "admin_port", 8001 }, { "entries", 0 }, { "claim_recovery_ms", -1 }, { "control_replicas", "c1" }, { "catalog_file", false },
        { "max_active_requests", 0 }, { "max_connections", 0 }, { "max_body_bytes", -1 }, { "idle_timeout_ms", 1 }, { "drain_notice_ms", -1 }, { "unknown_field", 1 } }));
    CHECK(errorsWith(field, value).rfind(std::string("f.json/") + field + ": ", 0) == 0);
}

TEST_CASE("valid settings are read, and all errors are reported together", "[entry]")
{
    auto settings = entrySettingsFromJson(validSettings(), "f.json");
    REQUIRE(settings);
    CHECK(settings->callerPort == 8000);
    CHECK(settings->adminPort == 8002);
    auto empty = entrySettingsFromJson(nlohmann::json::object(), "f.json");
    REQUIRE_FALSE(empty);
    CHECK(empty.error().size() == 5);
    CHECK_FALSE(loadEntrySettings("/nonexistent/settings.json"));
}

TEST_CASE("the command line rejects unknown options and a wrong number of operands", "[entry]")
{
    bool flag = false;
    std::string text = "kept";
    int64_t number = 7;
    CommandLine commandLine("program", "FILE", 1, 1);
    commandLine.add("check", 'c', "help", flag);
    commandLine.add("text", 't', "TEXT", "help", text);
    commandLine.add("number", 'n', "N", "help", number);
    SECTION("options and operands")
    {
        auto operands = parse(commandLine, { "program", "--check", "file", "-n", "5" });
        REQUIRE(operands);
        CHECK(operands->front() == "file");
        CHECK(flag);
        CHECK(text == "kept");
        CHECK(number == 5);
    }
    SECTION("faults")
    {
        CHECK(parse(commandLine, { "program", "--unknown", "file" }).error() == 2);
        CHECK(parse(commandLine, { "program" }).error() == 2);
        CHECK(parse(commandLine, { "program", "a", "b" }).error() == 2);
        CHECK(parse(commandLine, { "program", "-n", "x", "file" }).error() == 2);
    }
    SECTION("version")
    {
        CHECK(parse(commandLine, { "program", "--version" }).error() == 0);
    }
}

TEST_CASE("the decision log is bounded and lists the newest refusal first", "[entry]")
{
    DecisionLog log(3);
    for (int n = 0; n < 10; ++n)
        log.record({ .atMs = n, .team = n % 2 == 0 ? "a" : "b", .numbers = { { "n", n } } });
    auto all = log.latest("");
    REQUIRE(all.size() == 3);
    CHECK(all[0]["numbers"]["n"] == 9);
    CHECK(log.latest("a").size() == 1);
}

TEST_CASE("/readyz returns 503 when not ready, while /healthz and /metrics still succeed", "[entry]")
{
    Metrics metrics;
    metrics.addGauge("some_gauge", "help", [] { return 3.0; });
    DecisionLog decisions;
    decisions.record({ .team = "a b" });
    std::atomic<bool> isReady { true };
    HttpServer server({ .address = "127.0.0.1" });
    addAdminRoutes(server, metrics, decisions, [&] { return isReady.load(); });
    REQUIRE(server.start());
    RawClient client(server.port());
    auto get = [&](const std::string& target) { return client.roundTrip("GET " + target + " HTTP/1.1\r\n\r\n"); };
    CHECK(get("/readyz").rfind("HTTP/1.1 200", 0) == 0);
    isReady = false;
    CHECK(get("/readyz").rfind("HTTP/1.1 503", 0) == 0);
    CHECK(get("/healthz").rfind("HTTP/1.1 200", 0) == 0);
    CHECK(get("/metrics").find("some_gauge 3") != std::string::npos);
    CHECK(get("/v1/decisions?team=a%20b").find("internal-error") != std::string::npos);
    CHECK(get("/v1/decisions?team=c").find("internal-error") == std::string::npos);
    CHECK(get("/none").rfind("HTTP/1.1 404", 0) == 0);
}
