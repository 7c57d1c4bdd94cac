#include <catch2/catch.hpp>

#include "jobs/job_store_p.h"
#include "platform/codec_p.h"

#include <glog/logging.h>

#include <map>
#include <random>
#include <set>

using namespace vanillalift;
using namespace vanillalift::jobs;

namespace {

class Random {
public:
    explicit Random(uint64_t seed)
        : m_engine(seed)
    {
    }
    size_t below(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(m_engine); }
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(m_engine) < probability; }

private:
    std::mt19937_64 m_engine;
};

/// @returns a random command over a few jobs, endpoints and waves, most of which fit the state.
Command randomCommand(Random& random)
{
    auto name = [&](const char* prefix, size_t n) { return prefix + std::to_string(random.below(n)); };
    auto number = [&](size_t n) { return static_cast<uint32_t>(random.below(n)); };
    auto run = [&] { return RunKey { { 1 + random.below(8), number(2), number(2), number(3) }, 1 + number(4) }; };
    auto startedAtMs = [&] { return static_cast<int64_t>(1 + random.below(3)); };
    switch (random.below(17)) {
    case 0: {
        Catalog catalog;
        catalog.version = 1 + random.below(30);
        Queue queue;
        queue.name = name("q", 2);
        queue.maxAttempts = 2;
        catalog.queues.push_back(queue);
        return PutCatalog { catalog };
    }
    case 1:
    case 2: {
        Endpoint endpoint;
        endpoint.id = name("e", 4);
        endpoint.startedAtMs = startedAtMs();
        endpoint.address = name("10.0.0.", 5) + ":80";
        endpoint.instance = name("m", 4);
        endpoint.labels = { "a", "r" };
        return PutEndpoint { endpoint };
    }
    case 3:
        return RemoveEndpoint { name("e", 4), startedAtMs(), random.chance(0.5) };
    case 4:
    case 5: {
        JobSpec spec;
        spec.id = name("j", 12);
        spec.occurrences = random.chance(0.3) ? 2 : 0;
        for (size_t n = 0; n < 1 + random.below(2); n++) {
            StepSpec step;
            step.taskCount = 1 + number(3);
            step.isGang = random.chance(0.2);
            step.isLongRunning = random.chance(0.2);
            if (n > 0)
                step.after = { 0 };
            spec.steps.push_back(step);
        }
        return PutJob { spec, "w", name("q", 2), 1 };
    }
    case 6:
        return CancelJob { name("j", 12), 5 };
    case 7:
    case 8:
        return PlaceRuns { { { run(), name("e", 4) }, { run(), name("e", 4) } } };
    case 9:
    case 10:
        return EndRuns { { { run(), static_cast<RunEnd>(random.below(static_cast<size_t>(RunEnd::RunEndCount))), "c" } }, 7 };
    case 11:
        return random.chance(0.5) ? Command { PutWave { { random.below(2), { "m0", "m1" }, 9, 1 } } } : Command { RequestMaintenance { random.below(2), name("m", 4) } };
    case 12:
        return random.chance(0.5) ? Command { MarkMaintained { random.below(2), name("m", 4) } } : Command { PurgeJobs { { name("j", 12) } } };
    case 13:
        return RecordSuspects { name("e", 4), startedAtMs(), { { run(), 1 + number(50000), 0 } } };
    case 14:
        return ResolveSuspects { name("e", 4), startedAtMs(), random.chance(0.5), 8 };
    case 15:
        return PutEvacuation { name("z", 2), random.chance(0.5), 3 };
    default:
        return random.chance(0.5) ? Command { ForgetCrashes { { run().task } } } : Command { MarkDeregistered { name("e", 4), startedAtMs() } };
    }
}

/// Changes, removes, repeats or inserts bytes.
void mutate(std::string& bytes, Random& random)
{
    for (size_t changes = 1 + random.below(3); changes > 0 && !bytes.empty(); changes--) {
        auto at = random.below(bytes.size());
        switch (random.below(4)) {
        case 0:
            bytes[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            bytes.erase(at, 1 + random.below(4));
            break;
        case 2:
            bytes.insert(at, bytes.substr(random.below(bytes.size()), 1 + random.below(8)));
            break;
        default:
            bytes[at] = static_cast<char>(bytes[at] ^ static_cast<char>(1U << random.below(8)));
        }
    }
}

/// @returns what is wrong with the state; empty if nothing is.
std::string brokenInvariant(const JobStore& store)
{
    std::map<TaskKey, uint32_t> openCrashes;
    for (const auto& [key, suspects] : store.suspects()) {
        if (key.second != suspects.startedAtMs)
            return "a suspicion is recorded for another incarnation";
        for (const auto& it : suspects.runs)
            openCrashes[it.run.task]++;
    }
    for (const auto& [serial, job] : store.jobs()) {
        if (serial != job->serial || store.findJob(job->spec.id) != job.get())
            return "a job is not found by its id";
        if (!job->spec.isWellFormed())
            return "a malformed job was accepted";
        uint32_t placements = 0;
        for (uint32_t occurrence = 0; occurrence < job->occurrences.size(); occurrence++) {
            const auto& steps = job->occurrences[occurrence].steps;
            for (uint32_t step = 0; step < steps.size(); step++) {
                uint32_t done = 0;
                for (uint32_t index = 0; index < steps[step].tasks.size(); index++) {
                    const auto& task = steps[step].tasks[index];
                    done += task.isDone ? 1 : 0;
                    placements += static_cast<uint32_t>(task.placements.size());
                    std::set<uint32_t> runs;
                    for (const auto& it : task.placements) {
                        if (it.run > task.lastRun || !runs.insert(it.run).second)
                            return "a run is placed twice";
                    }
                    if (task.openCrashes > openCrashes[{ serial, occurrence, step, index }])
                        return "a task has an open crash that no suspicion accounts for";
                }
                if (done != steps[step].doneCount)
                    return "a step counts other tasks as done than are";
            }
        }
        if (placements != job->placementCount)
            return "a job counts other placements than its tasks have";
    }
    for (const auto& [number, wave] : store.waves()) {
        for (const auto& it : wave.maintained) {
            if (!wave.contains(it))
                return "an instance outside of a wave counts as maintained";
        }
    }
    return {};
}

std::string serialized(const Command& command)
{
    std::string entry;
    appendCommand(entry, command);
    return entry;
}

} // namespace

// Guards against a controller that ends, or holds a contradictory state, because of one record in the log.
TEST_CASE("any log record leaves a consistent state, and the records after it are applied", "[fuzz]")
{
    FLAGS_minloglevel = google::GLOG_FATAL;
    for (uint64_t seed = 1; seed <= 60; seed++) {
        Random random(seed);
        JobStore store;
        for (int n = 0; n < 800; n++) {
            auto entry = serialized(randomCommand(random));
            if (random.chance(0.3))
                entry += serialized(randomCommand(random));
            if (random.chance(0.3))
                mutate(entry, random);
            store.apply(entry);
            INFO("seed " << seed << " record " << n);
            REQUIRE(brokenInvariant(store).empty());
        }
        JobStore restored;
        restored.restore(store.snapshot());
        INFO("seed " << seed);
        CHECK(brokenInvariant(restored).empty());
        CHECK(restored.snapshot() == store.snapshot());
        CHECK(store.skippedCommands() > 0);
    }
}

TEST_CASE("two controllers that apply the same records, of which some cannot be read, have the same state", "[fuzz]")
{
    FLAGS_minloglevel = google::GLOG_FATAL;
    Random random(1);
    JobStore first;
    JobStore second;
    for (int n = 0; n < 5000; n++) {
        auto entry = serialized(randomCommand(random));
        if (random.chance(0.3))
            mutate(entry, random);
        first.apply(entry);
        second.apply(std::string(entry));
    }
    CHECK(first.snapshot() == second.snapshot());
    CHECK(first.skippedCommands() == second.skippedCommands());
}

// Guards against a message that is accepted although it has values that the rest of the code cannot bear.
TEST_CASE("messages with replaced values are refused or give usable objects", "[fuzz]")
{
    const std::string messages[] = {
        R"({"spec":"text","repeats":2,"periodMs":1000,"steps":[{"count":4,"cpu":500,"memMb":256,"estRuntimeMs":900},{"count":20,"cpu":2000,"after":[0],"mayMiss":2}]})",
        R"({"service":"s","addr":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"clockMs":482113,"seq":4,"born":1700000000000,"machine":"m-1","remainingMs":5})",
        R"({"clockMs":482113,"born":5,"running":[["5c0e.0.1.17",2,"c",41,7]],"ended":[[58,"5c0e.0.1.9",1,"done",""]]})",
        R"({"machines":[{"machine":"m-1","pool":"s","state":"up","zone":"z","labels":["a"],"capacity":{"cpu":1,"memMb":1,"gpu":0},"id":"i"}],"nextToken":"t"})",
        R"({"wave":1,"machines":["m-1","m-2"],"durationS":20,"maxCount":1})",
        R"({"good":[["i-1","t"]],"validMs":3000})",
    };
    const std::string values[] = { "null", "true", "-1", "0", "1e308", "1e400", "9223372036854775807", "18446744073709551615", "-9223372036854775808", "4294967296", "0.5", "\"\"", "\"x\"", "[]", "{}", "[[[[]]]]", "\"\\u0000\"", "\"10.0.0.1:70000\"" };
    Random random(11);
    constexpr int64_t nowMs = 1800000000000;
    for (int n = 0; n < 60000; n++) {
        auto text = messages[random.below(std::size(messages))];
        for (size_t changes = 1 + random.below(2); changes > 0; changes--) {
            // A value begins after a colon, a comma or an opening bracket, and ends before the next separator.
            auto begin = text.find_first_of(":,[", random.below(text.size()));
            if (begin == std::string::npos)
                continue;
            auto end = text.find_first_of(",]}", begin + 1);
            if (end != std::string::npos)
                text.replace(begin + 1, end - begin - 1, values[random.below(std::size(values))]);
        }
        INFO(text);
        if (auto job = platform::decodeJob(text)) {
            CHECK(job->isWellFormed());
            JobStore store;
            job->id = "j";
            store.apply(serialized(PutJob { *job, "w", "q", 1 }));
            CHECK(store.skippedCommands() == 0);
        }
        if (auto heartbeat = platform::decodeHeartbeat("i", text, nowMs)) {
            CHECK(heartbeat->sequence <= UINT32_MAX);
            CHECK(heartbeat->endpoint.capacity.cpu >= 0);
            CHECK_FALSE(heartbeat->endpoint.address.empty());
        }
        if (auto reply = platform::decodeStatusReply(text)) {
            for (const auto& it : reply->running)
                CHECK(it.percent <= 100);
        }
        platform::decodeWave(text, nowMs);
        platform::decodeAdvice(text);
        platform::decodeInstances(text);
        platform::decodeCatalog(text);
    }
}
