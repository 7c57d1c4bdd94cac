#include <catch2/catch.hpp>

#include "platform/codec_p.h"
#include "platform/platform_settings_p.h"

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

using namespace vanillalift;
using namespace vanillalift::platform;

namespace {

const std::string goodJob = R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estRuntimeMs":900,"dataRack":"r1-3"},{"count":20,"cpu":2000,"after":[0],"savesProgress":true,"mayMiss":2}]})";
const std::string goodCatalog = R"({"version":7,"routes":[{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":600,"priority":1,"service":"s","maxAttempts":4,"stretch":1.6,"public":false}],"services":[{"name":"s","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"rejectsOverload":false,"spare":false}],"limits":{},"tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,"weight":34,"maxCount":{"cpu":1281348,"memMb":1796833,"gpu":0}}]})";
const std::string goodHeartbeat = R"({"service":"s","addr":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"clockMs":482113,"seq":4,"born":1700000000000,"machine":"m-1"})";
const std::string goodStatusReply = R"({"clockMs":482113,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,7]],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

constexpr int64_t nowMs = 1800000000000;

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    auto pos = text.find(from);
    REQUIRE(pos != std::string::npos);
    return text.replace(pos, from.size(), to);
}

} // namespace

TEST_CASE("a job is decoded with its units and defaults", "[platform]")
{
    auto job = decodeJob(goodJob);
    REQUIRE(job);
    REQUIRE(job->steps.size() == 2);
    CHECK(job->steps[0].need == jobs::Resources { 500, 256, 0 });
    CHECK(job->steps[0].dataRack == "r1-3");
    CHECK_FALSE(job->steps[0].hasMaxUnavailable);
    CHECK(job->steps[1].after == std::vector<uint32_t> { 0 });
    CHECK(job->steps[1].savesProgress);
    CHECK(job->steps[1].maxUnavailable == 2);
}

TEST_CASE("a job that is truncated, has wrong types or is out of range is refused", "[platform]")
{
    for (size_t n = 0; n < goodJob.size(); n++)
        CHECK_FALSE(decodeJob(goodJob.substr(0, n)));
    CHECK_FALSE(decodeJob(replaced(goodJob, "\"count\":4", "\"count\":0")));
    CHECK_FALSE(decodeJob(replaced(goodJob, "\"count\":4", "\"count\":\"4\"")));
    CHECK_FALSE(decodeJob(replaced(goodJob, "\"cpu\":500", "\"cpu\":-1")));
    CHECK_FALSE(decodeJob(replaced(goodJob, "[0]", "[1]")));
    CHECK_FALSE(decodeJob(replaced(goodJob, "\"text\"", "5")));
    CHECK_FALSE(decodeJob(replaced(goodJob, "text", std::string(4001, 'x'))));
    CHECK_FALSE(decodeJob(R"({"spec":"s","steps":[]})"));
    // Guards against one job that fills the memory of every controller.
    CHECK(decodeJob(R"({"spec":"s","repeats":2000,"periodMs":1000,"steps":[{"count":24}]})"));
    CHECK_FALSE(decodeJob(R"({"spec":"s","repeats":86400,"periodMs":1000,"steps":[{"count":24}]})"));
}

TEST_CASE("a catalog is decoded, and its source text is kept as it was sent", "[platform]")
{
    auto catalog = decodeCatalog(goodCatalog);
    REQUIRE(catalog);
    CHECK(catalog->version == 7);
    CHECK(catalog->source == goodCatalog);
    CHECK(catalog->findQueue("h.example", "/a/1")->service == "s");
    CHECK_FALSE(catalog->findQueue("other", "/a/1"));
    CHECK(catalog->workspaceOfKey("k2")->limit.cpu == 1281348);
}

TEST_CASE("an invalid catalog is refused", "[platform]")
{
    for (size_t n = 0; n < goodCatalog.size(); n += 7)
        CHECK_FALSE(decodeCatalog(goodCatalog.substr(0, n)));
    CHECK_FALSE(decodeCatalog(replaced(goodCatalog, "\"timeoutMs\":3000", "\"timeoutMs\":0")));
    CHECK_FALSE(decodeCatalog(replaced(goodCatalog, "\"service\":\"s\"", "\"service\":\"none\"")));
    CHECK_FALSE(decodeCatalog(replaced(goodCatalog, "\"version\":7", "\"version\":\"7\"")));
    auto duplicateRoute = replaced(goodCatalog, "\"routes\":[", R"("routes":[{"name":"r2","host":"h.example","pathPrefix":"/a/","timeoutMs":1,"service":"s"},)");
    CHECK_FALSE(decodeCatalog(duplicateRoute));
    auto sharedKey = replaced(goodCatalog, "\"tenants\":[", R"("tenants":[{"name":"t2","apiKeys":["k1"],"weight":1},)");
    CHECK_FALSE(decodeCatalog(sharedKey));
}

TEST_CASE("a malformed heartbeat is refused", "[platform]")
{
    auto heartbeat = decodeHeartbeat("i-1", goodHeartbeat, nowMs);
    REQUIRE(heartbeat);
    CHECK(heartbeat->endpoint.rack == "r1-3");
    CHECK(heartbeat->endpoint.instance == "m-1");
    CHECK(heartbeat->clockMs == 482113);
    CHECK_FALSE(decodeHeartbeat("", goodHeartbeat, nowMs));
    CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, "\"ready\"", "\"asleep\""), nowMs));
    CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, "\"seq\":4", "\"seq\":\"4\""), nowMs));
    CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, "\"capacity\":{", "\"capacity\":[{") + "]", nowMs));
    CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, "\"born\":1700000000000", "\"born\":1.5"), nowMs));
    CHECK_FALSE(decodeHeartbeat("i-1", "\xff\xfe{", nowMs));
}

TEST_CASE("a status reply is decoded, and refused if any run in it is malformed", "[platform]")
{
    auto reply = decodeStatusReply(goodStatusReply);
    REQUIRE(reply);
    CHECK(reply->running[0].task == jobs::TaskName { "5c0e7a21d94b36f8", 0, 1, 17 });
    CHECK(reply->running[0].percent == 41);
    CHECK(reply->running[0].metricValue == 7);
    CHECK(reply->ended[0].end == jobs::RunEnd::Done);
    CHECK(reply->ended[0].number == 58);
    CHECK_FALSE(decodeStatusReply(replaced(goodStatusReply, "\"done\"", "\"gone\"")));
    CHECK_FALSE(decodeStatusReply(replaced(goodStatusReply, ".0.1.17", ".0.1.x")));
    for (size_t n = 0; n < goodStatusReply.size(); n++)
        CHECK_FALSE(decodeStatusReply(goodStatusReply.substr(0, n)));
}

// Guards against a process that ends, or an endpoint that is never followed again, because of one odd entry of another writer.
TEST_CASE("a heartbeat with missing or mistyped fields, or with values that no endpoint reports, is refused", "[platform]")
{
    REQUIRE(decodeHeartbeat("i-1", goodHeartbeat, nowMs));
    for (const auto* field : { "\"service\":\"s\"", "\"zone\":\"z\"", "\"version\":\"v1\"", "\"slots\":8", "\"coldLeftMs\":0", "\"seq\":4", "\"born\":1700000000000", "\"state\":\"ready\"" }) {
        std::string text = field;
        auto name = text.substr(0, text.find(':') + 1);
        INFO(name);
        CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, text, "\"x\":1"), nowMs));
        CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, text, name + "null"), nowMs));
        CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, text, name + "[1]"), nowMs));
        CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, text, name + "1e400"), nowMs));
    }
    for (const auto* number : { "-1", "4.5", "4294967296", "9223372036854775807", "18446744073709551616", "1e18" })
        CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, "\"seq\":4", std::string("\"seq\":") + number), nowMs));
    for (const auto* number : { "-1", "9223372036854775807", "1900000000000" })
        CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, "1700000000000", number), nowMs));
    for (const auto* number : { "-1", "9223372036854775807", "\"482113\"", "1e6" })
        CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, "482113", number), nowMs));
    CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, "\"m-1\"", "7"), nowMs));
    CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, "16000", "16000000000000"), nowMs));
    CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, "\"r1-3\"", "{}"), nowMs));
    CHECK_FALSE(decodeHeartbeat("i-1", replaced(goodHeartbeat, "\"v1\"", std::string(70000, 'v').insert(0, 1, '"').append(1, '"')), nowMs));
}

TEST_CASE("a deeply nested message is refused by every decoder", "[platform]")
{
    for (size_t depth : { size_t { 40 }, size_t { 100000 }, size_t { 2000000 } }) {
        std::string objects;
        for (size_t n = 0; n < depth; n++)
            objects += "{\"a\":";
        objects += "1" + std::string(depth, '}');
        for (const auto& nested : { std::string(depth, '[') + std::string(depth, ']'), objects }) {
            auto with = [&](const std::string& good) { return "{\"unknown\":" + nested + "," + good.substr(1); };
            CHECK_FALSE(decodeHeartbeat("i-1", with(goodHeartbeat), nowMs));
            CHECK_FALSE(decodeJob(with(goodJob)));
            CHECK_FALSE(decodeCatalog(with(goodCatalog)));
            CHECK_FALSE(decodeStatusReply(with(goodStatusReply)));
            CHECK_FALSE(decodeInstances(with(R"({"machines":[]})")));
            CHECK_FALSE(decodeAdvice(with(R"({"good":[]})")));
        }
    }
    // Brackets within a text are no levels.
    CHECK(decodeJob(replaced(goodJob, "\"text\"", '"' + std::string(100, '[') + "\\\"[\"")));
}

TEST_CASE("a malformed entry in the list of instances hides none of the others", "[platform]")
{
    const std::string good = R"({"machine":"m-1","pool":"s","state":"up","zone":"z","labels":["a","r1"],"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"id":"i-1"})";
    for (const auto& odd : { std::string("7"), std::string("null"), std::string("{}"), std::string(R"({"machine":7})"), std::string(R"({"machine":"m-2","pool":[]})"), replaced(replaced(good, "m-1", "m-2"), "16000", "1e300") }) {
        std::string text = R"({"machines":[)";
        text.append(odd).append(",").append(good).append(R"(],"nextToken":null})");
        auto page = decodeInstances(text);
        INFO(odd);
        REQUIRE(page);
        REQUIRE(page->instances.size() == 1);
        CHECK(page->instances.front().name == "m-1");
    }
}

TEST_CASE("figures of a run that are out of range are limited", "[platform]")
{
    auto reply = decodeStatusReply(replaced(replaced(goodStatusReply, ",41,", ",1e300,"), ",7]", ",1e300]"));
    REQUIRE(reply);
    CHECK(reply->running[0].percent == 100);
    CHECK(reply->running[0].metricValue > 0);
    reply = decodeStatusReply(replaced(goodStatusReply, ",41,", ",-5,"));
    REQUIRE(reply);
    CHECK(reply->running[0].percent == 0);
}

TEST_CASE("the reason of a refusal is decoded", "[platform]")
{
    using jobs::EndpointReplyStatus;
    CHECK(decodeRefusal(R"({"reason":"room"})") == EndpointReplyStatus::NoCapacity);
    CHECK(decodeRefusal(R"({"reason":"old"})") == EndpointReplyStatus::Superseded);
    CHECK(decodeRefusal(R"({"reason":"fence"})") == EndpointReplyStatus::Fenced);
    CHECK(decodeRefusal("") == EndpointReplyStatus::Malformed);
    CHECK(decodeInstanceRefusal(R"({"reason":"wave"})") == jobs::InstanceReplyStatus::NotInWave);
}

TEST_CASE("random changes of bytes neither crash a decoder nor give an incomplete message", "[platform]")
{
    std::mt19937_64 random(7);
    auto pick = [&](size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(random); };
    for (int n = 0; n < 20000; n++) {
        for (const auto* good : { &goodJob, &goodCatalog, &goodHeartbeat, &goodStatusReply }) {
            auto text = *good;
            for (size_t changes = 1 + pick(4); changes > 0; changes--)
                text[pick(text.size())] = static_cast<char>(pick(256));
            if (auto job = decodeJob(text))
                CHECK_FALSE(job->steps.empty());
            if (auto catalog = decodeCatalog(text))
                CHECK(catalog->version > 0);
            decodeHeartbeat("i", text, nowMs);
            decodeStatusReply(text);
            decodeWave(text, 0);
            decodeInstances(text);
            decodeAdvice(text);
        }
    }
}

TEST_CASE("each invalid field of the settings is reported", "[platform]")
{
    auto path = std::filesystem::temp_directory_path() / "vanillalift-platform-test.json";
    auto write = [&](const std::string& text) {
        std::ofstream file(path);
        file << text;
    };
    write(R"({"node":"n","ip":"10.1.0.1","zone":"z","listen":{"control":"10.1.0.1:8345"},"portRange":[7000,7015],"seeds":["10.1.0.1:8345"],"bootstrap":true,"dataDir":"/data","bounds":{"maxHoldMs":6000},"cloud":{"addr":"10.9.0.1:80","dutyPerS":8}})");
    auto settings = loadPlatformSettings(path.string());
    REQUIRE(settings);
    CHECK(settings->controller.name == "10.1.0.1:7000");
    CHECK(settings->seeds == std::vector<std::string> { "10.1.0.1:7000" });
    CHECK(settings->controller.maxLease == std::chrono::seconds(6));
    CHECK(settings->controller.instances.isEnabled);
    write(R"({"node":"a","ip":"10.1.0.1","zone":"z","listen":{"control":"10.1.0.1:8345"},"portRange":[7000.0,7015.0],"seeds":[],"limits":{"maxFds":4100.0}})");
    settings = loadPlatformSettings(path.string());
    REQUIRE(settings);
    CHECK(settings->linkPort == 7000);
    CHECK(settings->metricsPort == 7015);
    CHECK(settings->maxDescriptors == 4100);
    write(R"({"node":"a","ip":"10.1.0.1","zone":"z","listen":{},"portRange":[7000.5,7015],"seeds":[]})");
    CHECK_FALSE(loadPlatformSettings(path.string()));
    write(R"({"node":"a","ip":"10.1.0.256","zone":"z","listen":{},"portRange":[7000,7015],"seeds":[]})");
    CHECK_FALSE(loadPlatformSettings(path.string()));
    write(R"({"node":1,"ip":"x","listen":{"control":"nowhere"},"portRange":[7],"seeds":[1]})");
    settings = loadPlatformSettings(path.string());
    REQUIRE_FALSE(settings);
    CHECK(settings.error().size() >= 4);
    std::filesystem::remove(path);
}

TEST_CASE("parts of the scheduler are on where the settings call for them", "[platform]")
{
    auto path = std::filesystem::temp_directory_path() / "vanillalift-platform-features-test.json";
    auto load = [&](const std::string& rest) {
        std::ofstream(path) << R"({"node":"n","ip":"10.1.0.1","zone":"z","listen":{},"portRange":[7000,7015],"seeds":[])" << rest << "}";
        return loadPlatformSettings(path.string());
    };
    auto features = load("").value().controller.features;
    CHECK_FALSE(features.evacuation);
    CHECK_FALSE(features.entitlement);
    CHECK_FALSE(features.reservations);
    features = load(R"(,"contracts":["base","quota","sched",7],"bounds":{"quotaWindowS":2.5,"quotaOverage":0.2,"quotaSlack":3})").value().controller.features;
    CHECK_FALSE(features.evacuation);
    CHECK_FALSE(features.entitlement);
    CHECK_FALSE(features.scarcity);
    CHECK(features.agreedRate.window == std::chrono::milliseconds(2500));
    CHECK(features.agreedRate.overage == 0.2);
    CHECK(features.agreedRate.slack == 3);
    CHECK(load(R"(,"contracts":["places"])").value().controller.features.evacuation);
    features = load(R"(,"contracts":["places"],"scheduling":{"evacuation":false,"entitlement":true,"deferral":false,"reservations":true})").value().controller.features;
    CHECK_FALSE(features.evacuation);
    CHECK(features.entitlement);
    CHECK_FALSE(features.deferral);
    CHECK(features.reservations);
    CHECK_FALSE(load(R"(,"scheduling":{"deferral":"no"})"));
    std::filesystem::remove(path);
}

TEST_CASE("seeds and services by name are resolved, and a name that cannot be is skipped", "[platform]")
{
    auto path = std::filesystem::temp_directory_path() / "vanillalift-platform-names-test.json";
    std::string ip = "127.0.0.9";
    std::string isFirstStart = "false";
    auto load = [&](const std::string& seeds, const std::string& advice) {
        std::ofstream(path) << R"({"node":"n","ip":")" << ip << R"(","bootstrap":)" << isFirstStart << R"(,"zone":"z","listen":{},"portRange":[7000,7015],"seeds":[)" << seeds << R"(],"advice":")" << advice << R"(","cloud":{"addr":"localhost:81"}})";
        return loadPlatformSettings(path.string());
    };
    auto settings = load(R"("10.1.0.2:8345","localhost:8345","bad-label-.invalid:8345")", "localhost:80");
    REQUIRE(settings);
    CHECK(settings->seeds == std::vector<std::string> { "10.1.0.2:7000", "127.0.0.1:7000" });
    CHECK(settings->adviceAddress == "127.0.0.1:80");
    CHECK(settings->instanceServiceAddress == "127.0.0.1:81");
    for (const auto* malformed : { R"("10.1.0.999:8345")", R"("10.1:8345")", R"("localhost")", R"("localhost:0")", R"("local host:1")", R"("")", "7" })
        CHECK_FALSE(load(malformed, ""));
    CHECK_FALSE(load("", "localhost"));
    // A group that is founded from some of its seeds would not be the one that the others found.
    isFirstStart = "true";
    CHECK(load(R"("10.1.0.2:8345","localhost:8345")", ""));
    CHECK_FALSE(load(R"("10.1.0.2:8345","bad-label-.invalid:8345")", ""));
    ip = "10.1.0.1";
    CHECK_FALSE(load(R"("10.1.0.2:8345","localhost:8345")", ""));
    std::filesystem::remove(path);
}

TEST_CASE("names of the platform's protocol are not used outside the adapter", "[platform]")
{
    const char* names[] = { "heartbeatAddr", "ackedThrough", "lastCheckpoint", "rejectsOverload", "mayMiss", "X-Duty-Holder", "X-Fence-Token", "X-Expect-Instance", "X-Credential", "X-Deadline-Ms", "coldLeftMs", "inFailureBudget", "run-start", "run-stop", "machine-upkeep", "machine-move", "wave-start", "VANILLALIFT_BOOT", "estRuntimeMs", "antiAffinity", "longRunning", "pathPrefix\"", "apiKeys", "cancel_ms", "finish_s", "configApplyMs", "dutyPerS", "maxHoldMs" };
    for (const auto* folder : { "src", "include", "tools", "tests/soak" }) {
        for (const auto& it : std::filesystem::recursive_directory_iterator(folder)) {
            if (!it.is_regular_file())
                continue;
            std::ifstream file(it.path());
            std::stringstream text;
            text << file.rdbuf();
            for (const auto* name : names) {
                INFO(it.path().string() << " contains " << name);
                CHECK(text.str().find(name) == std::string::npos);
            }
        }
    }
}
