#include "core/command_line_p.h"

#include <vanillalift/control_state.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <queue>
#include <random>

using namespace vanillalift;
using nlohmann::json;

/// Simulates operators that read, edit and write objects, and counts the write conflicts with the global base revision, and those
/// that would remain with a version for each object.
namespace {

struct Desc {
    int operators = 1;
    /// Of all operators together.
    double changesPerDay = 1100;
    /// Mean time between reading and writing an object.
    double editSeconds = 1;
    int objects = 400;
    /// The simulation ends after this many accepted changes.
    int changes = 20000;
    uint64_t seed = 1;
};

struct Stats {
    int writes = 0;
    int globalConflicts = 0;
    int objectConflicts = 0;
};

/// Read or write of an operator; @p base is the revision that a write is based on.
struct Event {
    double time = 0;
    bool isWrite = false;
    uint64_t base = 0;
    int object = 0;

    bool operator<(const Event& other) const { return time > other.time; }
};

class Simulation {
public:
    explicit Simulation(const Desc& desc)
        : m_desc(desc)
        , m_random(desc.seed)
        , m_objectRevisions(static_cast<size_t>(desc.objects), 0)
    {
        propose("bootstrap", 0, { { "kind", "put-operator" }, { "name", "ana" }, { "role", "admin" }, { "salt", "00" }, { "hash", std::string(64, 'a') } });
    }

    Stats run()
    {
        for (int n = 0; n < m_desc.operators; ++n)
            m_events.push({ idleSeconds(), false });
        while (m_stats.writes - m_stats.globalConflicts < m_desc.changes) {
            auto event = m_events.top();
            m_events.pop();
            event.isWrite ? write(event) : read(event.time);
        }
        return m_stats;
    }

private:
    double exponential(double mean) { return std::exponential_distribution<>(1 / mean)(m_random); }
    double idleSeconds() { return exponential(m_desc.operators * 86400 / m_desc.changesPerDay); }

    void read(double now)
    {
        auto object = std::uniform_int_distribution<>(0, m_desc.objects - 1)(m_random);
        m_events.push({ now + exponential(m_desc.editSeconds), true, m_state.revision(), object });
    }

    void write(const Event& event)
    {
        ++m_stats.writes;
        auto& objectRevision = m_objectRevisions.at(static_cast<size_t>(event.object));
        m_stats.objectConflicts += objectRevision > event.base ? 1 : 0;
        json change { { "kind", "put-pool" }, { "name", "pool-" + std::to_string(event.object) }, { "service", "" } };
        if (propose("ana", event.base, change)) {
            objectRevision = m_state.revision();
            m_events.push({ event.time + idleSeconds(), false });
            return;
        }
        ++m_stats.globalConflicts;
        // The operator reads the conflicting change and edits the object again.
        m_events.push({ event.time + exponential(m_desc.editSeconds), true, m_state.revision(), event.object });
    }

    bool propose(const std::string& author, uint64_t base, const json& change)
    {
        auto outcome = m_state.apply(ChangeCommand { author, "op-" + std::to_string(++m_operations), base, 0, change });
        return std::holds_alternative<ChangeAccepted>(outcome);
    }

    Desc m_desc;
    std::mt19937_64 m_random;
    ControlState m_state;
    std::vector<uint64_t> m_objectRevisions;
    std::priority_queue<Event> m_events;
    uint64_t m_operations = 0;
    Stats m_stats;
};

} // namespace

int main(int argc, char** argv)
{
    Desc desc;
    int64_t seed = 1;
    int64_t changes = desc.changes;
    CommandLine commandLine("vanillalift-conflict-bench", "", 0, 0);
    commandLine.add("seed", 's', "SEED", "seed of the random numbers (default 1)", seed);
    commandLine.add("changes", 'c', "COUNT", "accepted changes in each run (default 20000)", changes);
    if (auto operands = commandLine.parse(argc, argv); !operands)
        return operands.error();
    desc.seed = static_cast<uint64_t>(seed);
    desc.changes = static_cast<int>(changes);
    std::cout << std::fixed << std::setprecision(3);
    for (double perDay : { 1100.0, 11000.0 }) {
        for (int operators : { 5, 20, 50 }) {
            for (double editSeconds : { 0.1, 10.0, 60.0 }) {
                desc.changesPerDay = perDay;
                desc.operators = operators;
                desc.editSeconds = editSeconds;
                auto stats = Simulation(desc).run();
                auto percent = [&](int n) { return 100.0 * n / stats.writes; };
                std::cout << "changes a day " << static_cast<int>(perDay) << ", operators " << operators << ", edit time " << editSeconds << " s: conflicts "
                          << percent(stats.globalConflicts) << "% with the global base revision, " << percent(stats.objectConflicts) << "% with versions of objects\n";
            }
        }
    }
    return 0;
}
