#include "core/command_line_p.h"
#include "endpoint/endpoint_table_p.h"
#include "follow/limit_planner_p.h"
#include "peer/claim_table_p.h"

#include <vanillalift/config.h>

#include <malloc.h>

#include <ctime>
#include <iostream>
#include <memory>
#include <random>

using namespace vanillalift;
using nlohmann::json;

/// Measures how cost grows with size ("slopes"), as far as no separate process is needed. Prints one JSON line for each point:
/// {"slope", "x", "y"}; scripts/measure-capacity fits the lines. Times are CPU time of this thread, memory is allocated heap.
namespace {

std::mt19937_64 randomEngine(1); // NOLINT(cert-msc32-c,cert-msc51-cpp): a fixed seed makes runs reproducible

std::string randomDigits(size_t digits)
{
    constexpr std::string_view alphabet = "0123456789abcdef";
    std::string text;
    for (size_t n = 0; n < digits; ++n)
        text += alphabet[randomEngine() % alphabet.size()];
    return text;
}

double threadCpuMicros()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double allocatedHeapBytes()
{
    auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

void printPoint(const std::string& slope, size_t x, double y)
{
    std::cout << json { { "slope", slope }, { "x", x }, { "y", y } }.dump() << "\n";
}

std::string numberedName(const char* kind, size_t n)
{
    return std::string(kind) + "-" + std::to_string(n);
}

/// Fills a control state by changes, as operators do.
struct ControlStateBuilder {
    ControlStateBuilder()
    {
        apply("bootstrap", { { "kind", "put-operator" }, { "name", "ana" }, { "role", "admin" }, { "salt", "00" }, { "hash", std::string(64, 'a') } });
        apply({ { "kind", "put-profile" }, { "profile", { { "name", "standard" } } } });
        putTeam(0);
        putService(0);
        putPool(0);
    }
    void apply(const std::string& author, const json& change)
    {
        ChangeCommand command { author, randomDigits(32), state.revision(), 1790000000000, change };
        lastCommandBytes = encodeCommand(command).size();
        if (!std::holds_alternative<ChangeAccepted>(state.apply(command)))
            throw std::logic_error("refused: " + change.dump());
    }
    void apply(const json& change) { apply("ana", change); }
    void putTeam(size_t n) { apply({ { "kind", "put-team" }, { "team", { { "name", numberedName("team", n) }, { "upper_limit", 400 } } } }); }
    void putService(size_t n) { apply({ { "kind", "put-service" }, { "service", { { "name", numberedName("service", n) }, { "profile", "standard" } } } }); }
    void putPool(size_t n) { apply({ { "kind", "put-pool" }, { "name", numberedName("pool", n) }, { "service", "service-0" } }); }
    void giveKey(size_t n) { apply({ { "kind", "give-key" }, { "key", { { "id", numberedName("key", n) }, { "team", "team-0" }, { "salt", randomDigits(32) }, { "hash", randomDigits(64) } } } }); }
    void putInstance(size_t n)
    {
        apply({ { "kind", "put-instance" }, { "name", numberedName("instance", n) }, { "zone", numberedName("zone", n % 5) }, { "rack", numberedName("rack", n / 4) }, { "address", "10.20.30.40:8080" }, { "pool", "pool-0" } });
    }
    /// @returns the state as JSON without history and operation IDs, which are measured separately.
    [[nodiscard]] json stateWithoutHistory() const
    {
        auto value = state.toJson();
        value["history"] = json::array();
        value["operations"] = json::array();
        return value;
    }
    ControlState state;
    size_t lastCommandBytes = 0;
};

/// Measures memory, snapshot and restore of a state given as JSON.
void measureState(const std::string& name, size_t n, const json& value)
{
    auto heap = allocatedHeapBytes();
    auto start = threadCpuMicros();
    auto state = std::make_unique<ControlState>(*ControlState::fromJson(value));
    printPoint("control restore us per " + name, n, threadCpuMicros() - start);
    printPoint("control heap B per " + name, n, allocatedHeapBytes() - heap);
    start = threadCpuMicros();
    std::string bytes;
    json::to_cbor(state->toJson(), bytes);
    printPoint("control snapshot us per " + name, n, threadCpuMicros() - start);
    printPoint("control snapshot B per " + name, n, static_cast<double>(bytes.size()));
}

void measureTable(const char* name, std::initializer_list<size_t> sizes, void (ControlStateBuilder::*put)(size_t))
{
    for (auto size : sizes) {
        ControlStateBuilder builder;
        auto start = threadCpuMicros();
        for (size_t n = 1; n < size; ++n)
            (builder.*put)(n);
        printPoint(std::string("control apply us per ") + name, size, threadCpuMicros() - start);
        measureState(name, size, builder.stateWithoutHistory());
    }
}

void measureHistory()
{
    for (size_t size : { 1000, 2000, 4000, 8000 }) {
        ControlStateBuilder builder;
        auto logBytes = builder.lastCommandBytes;
        auto start = threadCpuMicros();
        for (size_t n = 0; n < size; ++n) {
            builder.putTeam(0);
            logBytes += builder.lastCommandBytes;
        }
        printPoint("control apply us per kept change", size, threadCpuMicros() - start);
        printPoint("log B per change of a team", size, static_cast<double>(logBytes));
        measureState("kept change", size, builder.state.toJson());
    }
}

void measureCatalog(const char* name, std::initializer_list<size_t> sizes, void (ControlStateBuilder::*put)(size_t))
{
    for (auto size : sizes) {
        ControlStateBuilder builder;
        for (size_t n = 1; n < size; ++n)
            (builder.*put)(n);
        auto text = toJson(builder.state.catalog()).dump();
        printPoint(std::string("catalog message B per ") + name, size, static_cast<double>(text.size()));
        auto start = threadCpuMicros();
        auto catalog = std::make_unique<Catalog>(*catalogFromJson(json::parse(text), "catalog"));
        printPoint(std::string("catalog parse us per ") + name, size, threadCpuMicros() - start);
        auto heap = allocatedHeapBytes();
        start = threadCpuMicros();
        auto copy = std::make_unique<Catalog>(*catalog);
        applyToCatalog(*copy, PutTeam { { "team-0", 1, 1 } });
        printPoint(std::string("catalog copy and change us per ") + name, size, threadCpuMicros() - start);
        printPoint(std::string("catalog heap B per ") + name, size, allocatedHeapBytes() - heap);
    }
}

EntryTable makePollingEntries(size_t entries, size_t teams, const ControlState& state, TimePoint now)
{
    EntryTable table(now - std::chrono::seconds(10));
    for (size_t entry = 0; entry < entries; ++entry) {
        std::vector<TeamUsage> use;
        for (size_t team = 0; team < teams; ++team)
            use.push_back({ numberedName("team", team), static_cast<int64_t>(randomEngine() % 20), static_cast<int64_t>(randomEngine() % 60) });
        FollowRequest request { { numberedName("entry", entry), 1 }, "zone-0", state.revision(), state.partsVersion(), use, 500 };
        table.recordPoll(request, now);
        table.recordResponse(request.entry, request.revision, now);
    }
    return table;
}

/// Measures the limit planner in its worst case: demand changes in each round, so that each part of a limit may change.
void measurePlanner(size_t teams, size_t entries)
{
    ControlStateBuilder builder;
    for (size_t n = 1; n < teams; ++n)
        builder.putTeam(n);
    constexpr size_t rounds = 5;
    double planMicros = 0;
    double applyMicros = 0;
    double bytes = 0;
    TimePoint now { std::chrono::seconds(1000) };
    for (size_t round = 0; round < rounds; ++round, now += std::chrono::seconds(1)) {
        auto table = makePollingEntries(entries, teams, builder.state, now);
        auto start = threadCpuMicros();
        auto command = planParts({ builder.state, table, std::chrono::seconds(10), now });
        planMicros += threadCpuMicros() - start;
        if (!command)
            continue;
        bytes += static_cast<double>(encodeCommand(*command).size());
        start = threadCpuMicros();
        builder.state.apply(*command);
        applyMicros += threadCpuMicros() - start;
    }
    printPoint("planner us a round per team x entry", teams * entries, planMicros / rounds);
    printPoint("parts command apply us per team x entry", teams * entries, applyMicros / rounds);
    printPoint("parts command log B per team x entry", teams * entries, bytes / rounds);
    measureState("part", teams * entries, builder.stateWithoutHistory());
}

void measureEndpoints()
{
    for (size_t size : { 50, 100, 200, 400, 3000 }) {
        auto heap = allocatedHeapBytes();
        EndpointTable table("zone-0", 9, std::mt19937_64(1));
        TimePoint now { std::chrono::seconds(1000) };
        auto announceEndpoints = [&](uint64_t sequence) {
            for (size_t n = 0; n < size; ++n) {
                Announcement announcement { numberedName("service", n / 10), "10.20." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":8080", numberedName("zone", n % 5), numberedName("instance", n), 1, sequence };
                announcement.slots = 8;
                announcement.connections = 64;
                table.announce(announcement, now);
            }
        };
        announceEndpoints(1);
        printPoint("entry endpoint table B per endpoint", size, allocatedHeapBytes() - heap);
        auto start = threadCpuMicros();
        announceEndpoints(2);
        printPoint("entry table update us per announcement", size, threadCpuMicros() - start);
    }
}

void measureClaims()
{
    for (size_t size : { 10000, 20000, 40000, 80000 }) {
        auto heap = allocatedHeapBytes();
        ClaimTable table(size);
        TimePoint now { std::chrono::seconds(1000) };
        auto start = threadCpuMicros();
        for (size_t n = 0; n < size; ++n)
            table.claim({ "team-one", "service-one", randomDigits(36) }, { "entry-1", 1, n + 1 }, now + std::chrono::minutes(15), now);
        printPoint("holder us per claim", size, threadCpuMicros() - start);
        printPoint("holder heap B per claim", size, allocatedHeapBytes() - heap);
    }
}

} // namespace

int main(int argc, char** argv)
{
    int64_t seed = 1;
    CommandLine commandLine("vanillalift-capacity-bench", "", 0, 0);
    commandLine.add("seed", 's', "N", "seed of keys, operation IDs and demand (default 1)", seed);
    if (auto operands = commandLine.parse(argc, argv); !operands)
        return operands.error();
    randomEngine.seed(static_cast<uint64_t>(seed));
    measureTable("team", { 6, 25, 50, 100 }, &ControlStateBuilder::putTeam);
    measureTable("service", { 5, 75, 150, 295 }, &ControlStateBuilder::putService);
    measureTable("key", { 50, 250, 500, 1000 }, &ControlStateBuilder::giveKey);
    measureTable("pool", { 6, 75, 150, 295 }, &ControlStateBuilder::putPool);
    measureTable("instance", { 58, 500, 1000, 2000, 4000 }, &ControlStateBuilder::putInstance);
    measureHistory();
    measureCatalog("team", { 6, 25, 50, 100 }, &ControlStateBuilder::putTeam);
    measureCatalog("service", { 5, 75, 150, 295 }, &ControlStateBuilder::putService);
    measureCatalog("key", { 50, 250, 500, 1000 }, &ControlStateBuilder::giveKey);
    for (auto [teams, entries] : std::initializer_list<std::pair<size_t, size_t>> { { 6, 6 }, { 6, 9 }, { 25, 9 }, { 50, 6 }, { 50, 9 }, { 50, 16 } })
        measurePlanner(teams, entries);
    measureEndpoints();
    measureClaims();
    return 0;
}
