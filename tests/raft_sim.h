#pragma once

#include "register_history.h"
#include "replica/raft_core_p.h"

/// A group of Raft cores over a network and disks in memory, driven by one seeded generator.
namespace vanillalift::raft {

struct SimNode {
    std::string name;
    Recovered disk;
    std::unique_ptr<RaftCore> core;
    uint64_t applied = 0;
    uint64_t registerValue = 0;
    TimePoint pausedUntil;
    TimePoint restartAt;
};

class Sim {
public:
    /// @param voterSilence as in CoreDesc; the group then begins with all but one of an even number of nodes as voters.
    Sim(uint64_t seed, size_t nodes, Duration voterSilence = {})
        : m_random(seed)
        , m_voterSilence(voterSilence)
        , m_crashPerMille(seed % 3 == 0 ? 25 : 3)
        , m_lossPerMille(seed % 2 == 0 ? 200 : 30)
        , m_restartMs(seed % 5 == 0 ? 20 : 600)
    {
        for (size_t n = 0; n < nodes; n++)
            m_nodes.push_back({ .name = "r" + std::to_string(n) });
        ReplicaMembers members;
        for (auto& it : m_nodes) {
            it.disk.storageId = newStorageId();
            members.push_back({ it.name, it.disk.storageId, true });
        }
        if (m_voterSilence != Duration::zero() && nodes % 2 == 0)
            members.back().isVoter = false;
        for (auto& it : m_nodes) {
            it.disk.snapshot.members = members;
            start(it);
        }
    }

    /// Runs events for @p duration of simulated time.
    void run(Duration duration, bool hasFaults)
    {
        m_hasFaults = hasFaults;
        if (!hasFaults)
            m_cuts.clear();
        for (auto until = m_now + duration; m_now < until && m_fault.empty();) {
            m_now += std::chrono::milliseconds(5);
            if (hasFaults)
                injectFaults();
            // Before the ticks, so that a leader that resumes from a pause gets a read before it can step down.
            actAsClients();
            deliver();
            for (auto& it : m_nodes) {
                if (!it.core && m_now >= it.restartAt)
                    start(it);
                input(it, Tick {});
            }
            actAsOperator();
        }
    }

    /// Cuts the nodes with these indices off from the others, both ways, until the next run with faults.
    void cut(const std::set<size_t>& side)
    {
        for (size_t n = 0; n < m_nodes.size(); n++) {
            for (size_t other = 0; other < m_nodes.size(); other++) {
                if (side.contains(n) != side.contains(other))
                    m_standingCuts.insert({ m_nodes[n].name, m_nodes[other].name });
            }
        }
    }

    void stop(SimNode& node)
    {
        crash(node);
        node.restartAt = TimePoint::max();
    }

    /// @returns whether some leader commits a proposal within the time.
    bool commits(Duration time)
    {
        auto before = m_committed.size();
        for (auto until = m_now + time; m_now < until;) {
            run(std::chrono::milliseconds(100), false);
            for (auto& it : m_nodes) {
                if (it.core && it.core->status().role == ReplicaRole::Leader)
                    input(it, Propose { 0, "7" });
            }
        }
        return std::any_of(std::next(m_committed.begin(), static_cast<std::ptrdiff_t>(before)), m_committed.end(), [](const auto& it) { return it.second.kind == EntryKind::Command; });
    }

    SimNode* leader()
    {
        SimNode* newest = nullptr;
        for (auto& it : m_nodes) {
            if (it.core && it.core->status().role == ReplicaRole::Leader && (!newest || it.core->status().term > newest->core->status().term))
                newest = &it;
        }
        return newest;
    }

    /// Feeds one input and carries out the actions, checking the invariants.
    void input(SimNode& node, Input in)
    {
        if (!node.core || m_now < node.pausedUntil)
            return;
        auto actions = node.core->step(std::move(in), m_now);
        // The crash happens before action number crashAt; a Persist counts as several.
        size_t crashAt = m_hasFaults && chance(m_crashPerMille) ? pick(6) : SIZE_MAX;
        checkLeader(node);
        for (auto& it : actions) {
            auto* send = std::get_if<Send>(&it);
            if (send && !send->afterPersist)
                post(send->message);
        }
        bool hasPersisted = false;
        for (auto& it : actions) {
            if (auto* persist = std::get_if<Persist>(&it)) {
                if (!save(node, *persist, crashAt))
                    return crash(node);
                hasPersisted = true;
            } else if (crashAt-- == 0) {
                return crash(node);
            } else {
                perform(node, it);
            }
        }
        if (hasPersisted)
            input(node, Persisted { node.core->lastIndex() });
    }

    void crash(SimNode& node)
    {
        node.core.reset();
        node.restartAt = m_now + std::chrono::milliseconds(pick(m_restartMs));
        for (auto& [id, it] : m_calls) {
            if (it.node == node.name)
                it.isLost = true;
        }
    }

    void loseDisk(SimNode& node)
    {
        crash(node);
        node.disk = {};
        node.disk.storageId = newStorageId();
    }

    /// @returns whether the leader's committed configuration holds every replica's present disk, as a voter or, if the number
    /// of voters is kept odd, all but at most one as voters.
    bool isWhole()
    {
        auto* node = leader();
        if (!node)
            return false;
        auto status = node->core->status();
        size_t learners = 0;
        for (const auto& it : m_nodes) {
            auto known = std::find_if(status.members.begin(), status.members.end(), [&](const auto& member) { return member.name == it.name && member.storageId == it.disk.storageId; });
            if (known == status.members.end())
                return false;
            learners += known->isVoter ? 0 : 1;
        }
        if (learners > (m_voterSilence != Duration::zero() && m_nodes.size() % 2 == 0 ? 1 : 0))
            return false;
        // The last entry is of the leader's term, because each term starts with one.
        return status.commitIndex == status.lastIndex;
    }

    std::vector<SimNode>& nodes() { return m_nodes; }
    [[nodiscard]] const std::string& fault() const { return m_fault; }
    [[nodiscard]] const std::vector<RegisterOperation>& history() const { return m_history; }
    [[nodiscard]] const std::map<uint64_t, LogEntry>& committed() const { return m_committed; }
    [[nodiscard]] size_t diskLosses() const { return m_diskLosses; }

private:
    struct Call {
        std::string node;
        size_t operation = 0;
        bool isLost = false;
    };
    struct Flight {
        TimePoint at;
        Message message;
    };

    size_t pick(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(m_random); }
    bool chance(size_t perMille) { return pick(1000) < perMille; }
    std::string newStorageId() { return "s" + std::to_string(++m_storageIds); }
    void fail(const std::string& what)
    {
        if (m_fault.empty())
            m_fault = what;
    }

    void start(SimNode& node)
    {
        CoreDesc desc { .name = node.name, .seed = m_random(), .maxAppendEntries = 4, .maxChunkBytes = 3, .voterSilence = m_voterSilence };
        node.core = std::make_unique<RaftCore>(desc, node.disk, m_now);
        node.applied = node.disk.snapshot.index;
        node.registerValue = node.disk.snapshot.data->empty() ? 0 : std::stoull(*node.disk.snapshot.data);
    }

    void post(const Message& message)
    {
        if (m_standingCuts.contains({ message.from, message.to }))
            return;
        if (m_hasFaults && (chance(m_lossPerMille) || m_cuts.contains({ message.from, message.to })))
            return;
        size_t copies = m_hasFaults && chance(30) ? 2 : 1;
        for (size_t n = 0; n < copies; n++) {
            size_t delay = m_hasFaults && chance(50) ? pick(800) : pick(8);
            m_flights.push_back({ m_now + std::chrono::milliseconds(delay), message });
        }
    }

    void deliver()
    {
        std::vector<Flight> due;
        std::erase_if(m_flights, [&](auto& it) {
            if (it.at > m_now)
                return false;
            due.push_back(std::move(it));
            return true;
        });
        std::shuffle(due.begin(), due.end(), m_random);
        for (auto& flight : due) {
            auto node = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto& it) { return it.name == flight.message.to; });
            if (m_now < node->pausedUntil)
                m_flights.push_back({ node->pausedUntil, flight.message });
            else
                input(*node, flight.message);
        }
    }

    void injectFaults()
    {
        auto& node = m_nodes[pick(m_nodes.size())];
        auto& other = m_nodes[pick(m_nodes.size())];
        if (chance(4))
            crash(node);
        if (chance(4))
            node.pausedUntil = m_now + std::chrono::milliseconds(100 + pick(900));
        if (chance(8)) {
            m_cuts.insert({ node.name, other.name });
            if (chance(500))
                m_cuts.insert({ other.name, node.name });
        }
        if (chance(12))
            m_cuts.clear();
        // A second disk may be lost as soon as the group is whole again, and not before.
        if (chance(10) && isWhole()) {
            m_diskLosses++;
            loseDisk(node);
        }
    }

    void actAsOperator()
    {
        auto* node = leader();
        if (!node || !chance(100))
            return;
        if (m_hasFaults && chance(50))
            return input(*node, Transfer {});
        for (const auto& it : m_nodes) {
            if (it.core && it.name != node->name)
                input(*node, ReplaceMember { 0, it.name, it.disk.storageId });
            if (!node->core)
                return;
        }
    }

    void actAsClients()
    {
        auto& node = m_nodes[pick(m_nodes.size())];
        if (!m_hasFaults || !chance(60) || m_now < node.pausedUntil)
            return;
        if (!node.core || node.core->status().role != ReplicaRole::Leader)
            return;
        // The checker marks the operations in the bits of one word; later writes only exercise the log.
        if (m_history.size() >= 62)
            return input(node, Propose { 0, "999" });
        bool isWrite = chance(500);
        m_history.push_back({ isWrite, false, isWrite ? m_history.size() + 1 : 0, ++m_event, UINT64_MAX });
        auto id = m_history.size();
        m_calls[id] = { node.name, id - 1, false };
        if (isWrite)
            input(node, Propose { id, std::to_string(m_history.back().value) });
        else
            input(node, Read { id });
    }

    /// @returns false if the crash happened while writing.
    bool save(SimNode& node, const Persist& persist, size_t& crashAt)
    {
        if (crashAt-- == 0)
            return false;
        if (persist.hardState)
            node.disk.hardState = *persist.hardState;
        if (crashAt-- == 0)
            return false;
        auto& entries = node.disk.entries;
        if (persist.snapshot) {
            node.disk.snapshot = *persist.snapshot;
            entries = persist.retained;
        }
        for (const auto& it : persist.entries) {
            if (crashAt-- == 0)
                return false;
            entries.resize(it.index - node.disk.snapshot.index - 1);
            entries.push_back(it);
            auto previousTerm = entries.size() > 1 ? entries[entries.size() - 2].term : node.disk.snapshot.term;
            auto [known, isNew] = m_written.try_emplace({ it.index, it.term }, it, previousTerm);
            if (known->second != std::pair(it, previousTerm))
                fail("log matching: two entries with one index and term differ at " + std::to_string(it.index));
        }
        return crashAt-- != 0;
    }

    void perform(SimNode& node, const Action& action)
    {
        if (const auto* send = std::get_if<Send>(&action)) {
            if (send->afterPersist)
                post(send->message);
        } else if (const auto* apply = std::get_if<Apply>(&action)) {
            performApply(node, *apply);
        } else if (const auto* restore = std::get_if<Restore>(&action)) {
            node.applied = restore->snapshot.index;
            node.registerValue = restore->snapshot.data->empty() ? 0 : std::stoull(*restore->snapshot.data);
        } else if (const auto* respond = std::get_if<Respond>(&action)) {
            performRespond(node, *respond);
        }
    }

    void performApply(SimNode& node, const Apply& apply)
    {
        auto [known, isNew] = m_committed.try_emplace(apply.entry.index, apply.entry);
        if (known->second != apply.entry)
            fail("a committed entry changed at " + std::to_string(apply.entry.index));
        if (apply.entry.kind == EntryKind::Command && m_refused.contains(apply.entry.data))
            fail("a proposal reported as not written was committed");
        if (apply.entry.index != ++node.applied)
            fail("entries applied out of order at " + std::to_string(apply.entry.index));
        if (apply.entry.kind == EntryKind::Command)
            node.registerValue = std::stoull(apply.entry.data);
        if (apply.proposalId != 0)
            complete(apply.proposalId, 0);
        if (m_hasFaults && chance(60))
            m_compactions.emplace_back(node.name);
        while (!m_compactions.empty() && m_compactions.back() == node.name) {
            m_compactions.pop_back();
            auto persist = node.core->step(Compact { node.applied, std::to_string(node.registerValue) }, m_now);
            size_t never = SIZE_MAX;
            for (const auto& it : persist)
                save(node, std::get<Persist>(it), never);
        }
    }

    void performRespond(SimNode& node, const Respond& respond)
    {
        const auto* error = std::get_if<ProposeError>(&respond.response);
        if (!error && std::get<ReadReady>(respond.response).index > node.applied)
            fail("a read was confirmed ahead of the applied state");
        if (!error)
            complete(respond.id, node.registerValue);
        else if (error->code != ProposeErrorCode::Unknown)
            refuse(respond.id);
    }

    void complete(uint64_t id, uint64_t value)
    {
        auto call = m_calls.find(id);
        if (call == m_calls.end() || call->second.isLost)
            return;
        auto& operation = m_history[call->second.operation];
        operation.hasKnownOutcome = true;
        operation.end = ++m_event;
        if (!operation.isWrite)
            operation.value = value;
        m_calls.erase(call);
    }

    /// A refused write must never take effect, so it leaves the history and its value is looked for in the log.
    void refuse(uint64_t id)
    {
        auto call = m_calls.find(id);
        if (call == m_calls.end() || call->second.isLost)
            return;
        const auto& operation = m_history[call->second.operation];
        if (operation.isWrite)
            m_refused.insert(std::to_string(operation.value));
        m_calls.erase(call);
    }

    void checkLeader(SimNode& node)
    {
        auto status = node.core->status();
        if (status.role != ReplicaRole::Leader)
            return;
        auto identity = node.name + "/" + node.disk.storageId;
        auto [known, isNew] = m_leaders.try_emplace(status.term, identity);
        if (known->second != identity)
            fail("two leaders in term " + std::to_string(status.term));
        if (!isNew)
            return;
        for (const auto& [index, it] : m_committed) {
            const auto* own = node.core->entry(index);
            if (it.term < status.term && index > status.snapshotIndex && (!own || *own != it))
                return fail("a new leader lacks committed entry " + std::to_string(index));
        }
    }

    std::mt19937_64 m_random;
    Duration m_voterSilence;
    size_t m_crashPerMille;
    size_t m_lossPerMille;
    size_t m_restartMs;
    std::vector<SimNode> m_nodes;
    TimePoint m_now { std::chrono::seconds(1000) };
    bool m_hasFaults = true;
    std::vector<Flight> m_flights;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<std::pair<std::string, std::string>> m_standingCuts;
    std::map<uint64_t, std::string> m_leaders;
    std::map<std::pair<uint64_t, uint64_t>, std::pair<LogEntry, uint64_t>> m_written;
    std::map<uint64_t, LogEntry> m_committed;
    std::vector<std::string> m_compactions;
    std::vector<RegisterOperation> m_history;
    std::map<uint64_t, Call> m_calls;
    std::set<std::string> m_refused;
    uint64_t m_event = 0;
    uint64_t m_storageIds = 0;
    size_t m_diskLosses = 0;
    std::string m_fault;
};

} // namespace vanillalift::raft
