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

/// Prints one JSON line for each measured point of the slopes that need no process: {"slope", "x", "y"}.
/// scripts/measure-capacity fits them. Times are CPU time of this thread, memory is what malloc has handed out.
namespace {

std::mt19937_64 randomNumbers(1); // NOLINT(cert-msc32-c,cert-msc51-cpp): a fixed seed makes a run repeatable

std::string hex(size_t digits)
{
    constexpr std::string_view alphabet = "0123456789abcdef";
    std::string text;
    for (size_t n = 0; n < digits; ++n)
        text += alphabet[randomNumbers() % alphabet.size()];
    return text;
}

double cpuMicros()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double heapBytes()
{
    auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

void point(const std::string& slope, size_t x, double y)
{
    std::cout << json { { "slope", slope }, { "x", x }, { "y", y } }.dump() << "\n";
}

std::string numbered(const char* kind, size_t n)
{
    return std::string(kind) + "-" + std::to_string(n);
}

/// A control state that is filled by changes, as operators fill it.
struct Builder {
    Builder()
    {
        apply("bootstrap", { { "kind", "put-operator" }, { "name", "ana" }, { "role", "admin" }, { "salt", "00" }, { "hash", std::string(64, 'a') } });
        apply({ { "kind", "put-profile" }, { "profile", { { "name", "standard" } } } });
        putTeam(0);
        putService(0);
        putPool(0);
    }
    void apply(const std::string& author, const json& change)
    {
        ChangeCommand command { author, hex(32), state.revision(), 1790000000000, change };
        lastCommandBytes = encodeCommand(command).size();
        if (!std::holds_alternative<ChangeAccepted>(state.apply(command)))
            throw std::logic_error("refused: " + change.dump());
    }
    void apply(const json& change) { apply("ana", change); }
    void putTeam(size_t n) { apply({ { "kind", "put-team" }, { "team", { { "name", numbered("team", n) }, { "upper_limit", 400 } } } }); }
    void putService(size_t n) { apply({ { "kind", "put-service" }, { "service", { { "name", numbered("service", n) }, { "profile", "standard" } } } }); }
    void putPool(size_t n) { apply({ { "kind", "put-pool" }, { "name", numbered("pool", n) }, { "service", "service-0" } }); }
    void giveKey(size_t n) { apply({ { "kind", "give-key" }, { "key", { { "id", numbered("key", n) }, { "team", "team-0" }, { "salt", hex(32) }, { "hash", hex(64) } } } }); }
    void putInstance(size_t n)
    {
        apply({ { "kind", "put-instance" }, { "name", numbered("instance", n) }, { "zone", numbered("zone", n % 5) }, { "rack", numbered("rack", n / 4) }, { "address", "10.20.30.40:8080" }, { "pool", "pool-0" } });
    }
    /// The state as JSON, without history and operation ids, which have a slope of their own.
    [[nodiscard]] json bare() const
    {
        auto value = state.toJson();
        value["history"] = json::array();
        value["operations"] = json::array();
        return value;
    }
    ControlState state;
    size_t lastCommandBytes = 0;
};

/// Memory, snapshot and restore of a state given as JSON.
void measureState(const std::string& name, size_t n, const json& value)
{
    auto heap = heapBytes();
    auto start = cpuMicros();
    auto state = std::make_unique<ControlState>(*ControlState::fromJson(value));
    point("control restore us per " + name, n, cpuMicros() - start);
    point("control heap B per " + name, n, heapBytes() - heap);
    start = cpuMicros();
    std::string bytes;
    json::to_cbor(state->toJson(), bytes);
    point("control snapshot us per " + name, n, cpuMicros() - start);
    point("control snapshot B per " + name, n, static_cast<double>(bytes.size()));
}

void measureTable(const char* name, std::initializer_list<size_t> sizes, void (Builder::*put)(size_t))
{
    for (auto size : sizes) {
        Builder builder;
        auto start = cpuMicros();
        for (size_t n = 1; n < size; ++n)
            (builder.*put)(n);
        point(std::string("control apply us per ") + name, size, cpuMicros() - start);
        measureState(name, size, builder.bare());
    }
}

void measureHistory()
{
    for (size_t size : { 1000, 2000, 4000, 8000 }) {
        Builder builder;
        auto logBytes = builder.lastCommandBytes;
        auto start = cpuMicros();
        for (size_t n = 0; n < size; ++n) {
            builder.putTeam(0);
            logBytes += builder.lastCommandBytes;
        }
        point("control apply us per kept change", size, cpuMicros() - start);
        point("log B per change of a team", size, static_cast<double>(logBytes));
        measureState("kept change", size, builder.state.toJson());
    }
}

void measureCatalog(const char* name, std::initializer_list<size_t> sizes, void (Builder::*put)(size_t))
{
    for (auto size : sizes) {
        Builder builder;
        for (size_t n = 1; n < size; ++n)
            (builder.*put)(n);
        auto text = toJson(builder.state.catalog()).dump();
        point(std::string("catalog message B per ") + name, size, static_cast<double>(text.size()));
        auto start = cpuMicros();
        auto catalog = std::make_unique<Catalog>(*catalogFromJson(json::parse(text), "catalog"));
        point(std::string("catalog parse us per ") + name, size, cpuMicros() - start);
        auto heap = heapBytes();
        start = cpuMicros();
        auto copy = std::make_unique<Catalog>(*catalog);
        applyToCatalog(*copy, PutTeam { { "team-0", 1, 1 } });
        point(std::string("catalog copy and change us per ") + name, size, cpuMicros() - start);
        point(std::string("catalog heap B per ") + name, size, heapBytes() - heap);
    }
}

EntryTable pollingEntries(size_t entries, size_t teams, const ControlState& state, TimePoint now)
{
    EntryTable table(now - std::chrono::seconds(10));
    for (size_t entry = 0; entry < entries; ++entry) {
        std::vector<TeamUsage> use;
        for (size_t team = 0; team < teams; ++team)
            use.push_back({ numbered("team", team), static_cast<int64_t>(randomNumbers() % 20), static_cast<int64_t>(randomNumbers() % 60) });
        FollowRequest request { { numbered("entry", entry), 1 }, "zone-0", state.revision(), state.partsVersion(), use, 500 };
        table.recordPoll(request, now);
        table.recordResponse(request.entry, request.revision, now);
    }
    return table;
}

/// The planner under demand that shifts in each round, its worst case: each part may change.
void measurePlanner(size_t teams, size_t entries)
{
    Builder builder;
    for (size_t n = 1; n < teams; ++n)
        builder.putTeam(n);
    constexpr size_t rounds = 5;
    double planned = 0;
    double applied = 0;
    double bytes = 0;
    TimePoint now { std::chrono::seconds(1000) };
    for (size_t round = 0; round < rounds; ++round, now += std::chrono::seconds(1)) {
        auto table = pollingEntries(entries, teams, builder.state, now);
        auto start = cpuMicros();
        auto command = planParts({ builder.state, table, std::chrono::seconds(10), now });
        planned += cpuMicros() - start;
        if (!command)
            continue;
        bytes += static_cast<double>(encodeCommand(*command).size());
        start = cpuMicros();
        builder.state.apply(*command);
        applied += cpuMicros() - start;
    }
    point("planner us a round per team x entry", teams * entries, planned / rounds);
    point("parts command apply us per team x entry", teams * entries, applied / rounds);
    point("parts command log B per team x entry", teams * entries, bytes / rounds);
    measureState("part", teams * entries, builder.bare());
}

void measureEndpoints()
{
    for (size_t size : { 50, 100, 200, 400, 3000 }) {
        auto heap = heapBytes();
        EndpointTable table("zone-0", 9, std::mt19937_64(1));
        TimePoint now { std::chrono::seconds(1000) };
        auto announceAll = [&](uint64_t sequence) {
            for (size_t n = 0; n < size; ++n) {
                Announcement announcement { numbered("service", n / 10), "10.20." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":8080", numbered("zone", n % 5), numbered("instance", n), 1, sequence };
                announcement.slots = 8;
                announcement.connections = 64;
                table.announce(announcement, now);
            }
        };
        announceAll(1);
        point("entry endpoint table B per endpoint", size, heapBytes() - heap);
        auto start = cpuMicros();
        announceAll(2);
        point("entry table update us per announcement", size, cpuMicros() - start);
    }
}

void measureClaims()
{
    for (size_t size : { 10000, 20000, 40000, 80000 }) {
        auto heap = heapBytes();
        ClaimTable table(size);
        TimePoint now { std::chrono::seconds(1000) };
        auto start = cpuMicros();
        for (size_t n = 0; n < size; ++n)
            table.claim({ "team-one", "service-one", hex(36) }, { "entry-1", 1, n + 1 }, now + std::chrono::minutes(15), now);
        point("holder us per claim", size, cpuMicros() - start);
        point("holder heap B per claim", size, heapBytes() - heap);
    }
}

} // namespace

int main(int argc, char** argv)
{
    int64_t seed = 1;
    CommandLine commandLine("vanillalift-capacity-bench", "", 0, 0);
    commandLine.add("seed", 's', "N", "seed of keys, operation ids and demand (default 1)", seed);
    if (auto operands = commandLine.parse(argc, argv); !operands)
        return operands.error();
    randomNumbers.seed(static_cast<uint64_t>(seed));
    measureTable("team", { 6, 25, 50, 100 }, &Builder::putTeam);
    measureTable("service", { 5, 75, 150, 295 }, &Builder::putService);
    measureTable("key", { 50, 250, 500, 1000 }, &Builder::giveKey);
    measureTable("pool", { 6, 75, 150, 295 }, &Builder::putPool);
    measureTable("instance", { 58, 500, 1000, 2000, 4000 }, &Builder::putInstance);
    measureHistory();
    measureCatalog("team", { 6, 25, 50, 100 }, &Builder::putTeam);
    measureCatalog("service", { 5, 75, 150, 295 }, &Builder::putService);
    measureCatalog("key", { 50, 250, 500, 1000 }, &Builder::giveKey);
    for (auto [teams, entries] : std::initializer_list<std::pair<size_t, size_t>> { { 6, 6 }, { 6, 9 }, { 25, 9 }, { 50, 6 }, { 50, 9 }, { 50, 16 } })
        measurePlanner(teams, entries);
    measureEndpoints();
    measureClaims();
    return 0;
}
