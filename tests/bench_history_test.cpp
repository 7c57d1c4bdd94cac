#include "bench/history_p.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace vanillalift::bench;

namespace {

/// A history without violations: two requests that ran once each, and one that was refused.
History validHistory()
{
    History history;
    history.run = { { { "red", 2 } }, { { "red", 1 }, { "blue", 1 } }, { { "i-1", 1000 } }, 500, 0, 10000 };
    history.calls = {
        { "c1", "r1", "e1", "red", "s", false, 90, 100, 300, 200, "answered", "", true },
        { "c2", "r2", "e1", "red", "s", true, 100, 110, 400, 200, "answered", "", true },
        { "c3", "r3", "e2", "red", "s", false, 100, 120, 200, 503, "not-run", "no-endpoint", false },
    };
    history.attempts = {
        { "r1", "a1", "red", "POST", 150, 250, true, "i-1", "s" },
        { "r2", "a2", "red", "GET", 160, 260, true, "i-2", "s" },
    };
    return history;
}

std::vector<Guarantee> violatedGuarantees(const History& history)
{
    std::vector<Guarantee> guarantees;
    auto violations = checkHistory(history);
    guarantees.reserve(violations.size());
    for (const auto& it : violations)
        guarantees.push_back(it.guarantee);
    return guarantees;
}

using Guarantees = std::vector<Guarantee>;

struct TempFolder {
    TempFolder() { std::filesystem::create_directories(path); }
    ~TempFolder() { std::filesystem::remove_all(path); }
    TempFolder(const TempFolder&) = delete;
    TempFolder& operator=(const TempFolder&) = delete;
    void write(const std::string& name, const std::string& text) const { std::ofstream(path / name) << text; }
    std::filesystem::path path = std::filesystem::temp_directory_path() / ("vanillalift-history-" + std::to_string(getpid()));
};

const std::string runJson = R"({"limits":{"red":2},"shares":{"red":1},"leaving":[],"leaving_bound_ns":1,"full_from_ns":0,"full_to_ns":9})";
const std::string callJson = R"({"call":"c1","request":"r1","entry":"e1","team":"red","service":"s","idempotent":false,"intended_ns":1,"start_ns":1,)"
                             R"("end_ns":9,"status":200,"outcome":"answered","reason":"","body_right":true})";
const std::string attemptJson = R"({"request":"r1","attempt":"a1","team":"red","method":"POST","start_ns":2,"end_ns":5,"finished":true,"instance":"i","service":"s"})";

} // namespace

TEST_CASE("a history that keeps all guarantees has no violations", "[bench]") { CHECK(violatedGuarantees(validHistory()).empty()); }

TEST_CASE("two runs of a non-idempotent request are a violation, two runs of an idempotent one are not", "[bench]")
{
    auto history = validHistory();
    history.attempts.push_back({ "r2", "a3", "red", "GET", 500, 600, true, "i-2", "s" });
    CHECK(violatedGuarantees(history).empty());
    history.attempts.push_back({ "r1", "a4", "red", "POST", 700, 800, false, "i-2", "s" });
    CHECK(violatedGuarantees(history) == Guarantees { Guarantee::AtMostOnce });
}

TEST_CASE("an attempt of a request that was reported as not run is a violation", "[bench]")
{
    auto history = validHistory();
    auto isIdempotent = GENERATE(false, true);
    history.calls[2].idempotent = isIdempotent;
    history.attempts.push_back({ "r3", "a3", "red", "POST", 199, 200, false, "i-2", "s" });
    history.run.limits["red"] = 9;
    CHECK(violatedGuarantees(history) == Guarantees { Guarantee::NotRunIsTrue });
}

TEST_CASE("an attempt of a resend does not contradict an earlier outcome not-run", "[bench]")
{
    auto history = validHistory();
    history.calls.push_back({ "c4", "r3", "e1", "red", "s", false, 300, 300, 900, 200, "answered", "", true });
    history.attempts.push_back({ "r3", "a3", "red", "POST", 500, 600, true, "i-2", "s" });
    CHECK(violatedGuarantees(history).empty());
}

TEST_CASE("the outcome not-run is contradicted only by an attempt of its own or an earlier delivery", "[bench]")
{
    auto history = validHistory();
    history.run.limits["red"] = 9;
    // The refused call c3 lasts from 120 to 200, the other call of the same request from otherStart to otherEnd.
    auto violationsWith = [&](bool isIdempotent, int64_t otherStart, int64_t otherEnd, const std::string& outcome, int64_t attemptStart) {
        auto changed = history;
        changed.calls[2].idempotent = isIdempotent;
        changed.calls.push_back({ "c4", "r3", "e1", "red", "s", isIdempotent, otherStart, otherStart, otherEnd, 0, outcome, "abandoned", true });
        changed.attempts.push_back({ "r3", "a3", "red", "POST", attemptStart, attemptStart + 1, true, "i-2", "s" });
        return violatedGuarantees(changed);
    };
    const Guarantees refuted { Guarantee::NotRunIsTrue };
    SECTION("the attempt may result from a later or overlapping delivery")
    {
        auto isIdempotent = GENERATE(false, true);
        CHECK(violationsWith(isIdempotent, 130, 300, "answered", 140).empty());
        CHECK(violationsWith(isIdempotent, 100, 300, "unknown", 140).empty());
        CHECK(violationsWith(isIdempotent, 300, 400, "answered", 350).empty());
    }
    SECTION("a call that its caller gave up may be delivered after the refused one")
    {
        CHECK(violationsWith(false, 50, 60, "lost", 140).empty());
        CHECK(violationsWith(false, 50, 60, "lost", 119) == refuted);
    }
    SECTION("an attempt before the refused call results from an earlier delivery")
    {
        CHECK(violationsWith(false, 50, 300, "answered", 119) == refuted);
        CHECK(violationsWith(true, 50, 300, "answered", 119).empty());
    }
    SECTION("a call that ended before the refused one is an earlier delivery")
    {
        CHECK(violationsWith(false, 50, 119, "unknown", 140) == refuted);
        CHECK(violationsWith(false, 50, 120, "unknown", 140).empty());
    }
    SECTION("a call cannot have caused an attempt before its start or after its response, nor if its outcome is not-run")
    {
        auto isIdempotent = GENERATE(false, true);
        CHECK(violationsWith(isIdempotent, 141, 300, "answered", 140) == refuted);
        CHECK(violationsWith(isIdempotent, 100, 139, "answered", 140) == refuted);
        CHECK(violationsWith(isIdempotent, 300, 400, "answered", 500) == refuted);
        CHECK(violationsWith(isIdempotent, 130, 300, "not-run", 140).size() == 2);
    }
}

TEST_CASE("a request without any response is a violation unless its caller gave up", "[bench]")
{
    auto history = validHistory();
    history.calls.push_back({ "c4", "r4", "e1", "red", "s", true, 100, 100, 900, 0, "lost", "abandoned", false });
    CHECK(violatedGuarantees(history).empty());
    history.calls.back().reason = "Failed to read connection";
    CHECK(violatedGuarantees(history) == Guarantees { Guarantee::FinalAnswer });
    history.calls.push_back({ "c5", "r4", "e1", "red", "s", true, 900, 900, 950, 0, "lost", "connect", false });
    CHECK(violatedGuarantees(history) == Guarantees { Guarantee::FinalAnswer });
    auto isAnsweredFirst = GENERATE(false, true);
    history.calls.push_back({ "c6", "r4", "e1", "red", "s", true, isAnsweredFirst ? 90 : 950, isAnsweredFirst ? 90 : 950, 990, 503, "not-run", "no-endpoint", false });
    CHECK(violatedGuarantees(history).empty());
}

TEST_CASE("an attempt without an end line counts, and one with an end line counts once", "[bench]")
{
    TempFolder folder;
    folder.write("run.json", runJson);
    folder.write("calls.jsonl", callJson + "\n");
    auto line = [](const char* event, const char* attempt) {
        auto value = nlohmann::json::parse(attemptJson);
        value["event"] = event;
        value["attempt"] = attempt;
        return value.dump() + "\n";
    };
    folder.write("endpoint-i.jsonl", line("start", "a1") + line("start", "a2") + line("end", "a1") + R"({"event":"leaving","instance":"i","at_ns":7})" + "\n" + line("start", "a1"));
    auto history = readHistory(folder.path.string());
    REQUIRE(history);
    // The last line starts a second run with the same attempt id.
    CHECK(history->attempts.size() == 3);
    REQUIRE(history->run.leaving.size() == 1);
    CHECK(history->run.leaving[0].atNs == 7);
}

TEST_CASE("a response that belongs to another request is a violation", "[bench]")
{
    auto history = validHistory();
    history.calls[1].isBodyCorrect = false;
    CHECK(violatedGuarantees(history) == Guarantees { Guarantee::OwnAnswer });
}

TEST_CASE("exceeding a limit for an instant is a violation, a start at the end time of another attempt is not", "[bench]")
{
    auto history = validHistory();
    history.calls.push_back({ "c4", "r4", "e1", "red", "s", false, 100, 100, 900, 200, "answered", "", true });
    history.attempts.push_back({ "r4", "a4", "red", "POST", 250, 600, true, "i-2", "s" });
    CHECK(violatedGuarantees(history).empty());
    history.attempts.back().startNs = 249;
    CHECK(violatedGuarantees(history) == Guarantees { Guarantee::UpperLimit });
}

TEST_CASE("a new attempt at a leaving endpoint is a violation only after the leaving bound", "[bench]")
{
    auto history = validHistory();
    history.calls.push_back({ "c4", "r4", "e1", "red", "s", false, 100, 100, 9000, 200, "answered", "", true });
    history.attempts.push_back({ "r4", "a4", "red", "POST", 1500, 1600, true, "i-1", "s" });
    CHECK(violatedGuarantees(history).empty());
    history.attempts.back().startNs = 1501;
    CHECK(violatedGuarantees(history) == Guarantees { Guarantee::LeavingEndpoint });
}

TEST_CASE("endpoint files of another run are a violation", "[bench]")
{
    auto history = validHistory();
    history.attempts.push_back({ "other", "a9", "red", "POST", 700, 800, true, "i-2", "s" });
    CHECK(violatedGuarantees(history) == Guarantees { Guarantee::FilesMatch });
}

TEST_CASE("a missing or malformed file is an error with its location, not an empty history", "[bench]")
{
    TempFolder folder;
    folder.write("run.json", runJson);
    folder.write("calls.jsonl", callJson + "\n");
    folder.write("endpoint-i.jsonl", attemptJson + "\n");
    REQUIRE(readHistory(folder.path.string()));
    auto location = [&] { return readHistory(folder.path.string()).error().location; };
    SECTION("incomplete last line")
    {
        folder.write("endpoint-i.jsonl", attemptJson + "\n" + attemptJson);
        CHECK(location().ends_with("endpoint-i.jsonl:2"));
    }
    SECTION("malformed line")
    {
        folder.write("calls.jsonl", callJson + "\n{\"call\":\n");
        CHECK(location().ends_with("calls.jsonl:2"));
    }
    SECTION("missing field")
    {
        folder.write("calls.jsonl", "{\"call\":\"c\"}\n");
        CHECK(location().ends_with("calls.jsonl:1"));
    }
    SECTION("no call")
    {
        folder.write("calls.jsonl", "");
        CHECK(location().ends_with("calls.jsonl"));
    }
    SECTION("missing file")
    {
        auto name = GENERATE("run.json", "calls.jsonl", "endpoint-i.jsonl");
        std::filesystem::remove(folder.path / name);
        CHECK_FALSE(readHistory(folder.path.string()));
    }
}

TEST_CASE("latency is measured from the intended start, share errors from the fraction by share weight", "[bench]")
{
    auto history = validHistory();
    history.calls[0].intendedNs = 0;
    history.calls[0].endNs = 5000000;
    auto summary = summarize(history);
    CHECK(summary.services["s"].maxMs == Approx(5));
    CHECK(summary.services["s"].answered == 2);
    CHECK(summary.teams["red"].requests == 3);
    CHECK(summary.teams["red"].answered == 2);
    CHECK(summary.teams["red"].notRun == 1);
    CHECK(summary.shareErrors["red"] == Approx(0.5));
    CHECK(summary.shareErrors["blue"] == Approx(-0.5));
}
