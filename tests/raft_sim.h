#pragma once

#include "register_history.h"
#include "replica/raft_core_p.h"

/// Deterministic simulation of a group of Raft cores with an in-memory network and disks, driven by one seeded generator.
namespace vanillalift::raft {

struct SimNode {
    std::string name;
    RecoveredState disk;
    std::unique_ptr<RaftCore> core;
    uint64_t appliedIndex = 0;
    uint64_t registerValue = 0;
    TimePoint pausedUntil;
    TimePoint restartAt;
};

class Sim {
public:
    /// @param voterReplacementTimeout as in CoreDesc. If it is not zero and the number of nodes is even, the last node starts as
    /// a learner.
    Sim(uint64_t seed, size_t nodes, Duration voterReplacementTimeout = {})
        : m_random(seed)
        , m_voterReplacementTimeout(voterReplacementTimeout)
        , m_crashPerMille(seed % 3 == 0 ? 25 : 3)
        , m_lossPerMille(seed % 2 == 0 ? 200 : 30)
        , m_maxRestartMs(seed % 5 == 0 ? 20 : 600)
    {
        for (size_t n = 0; n < nodes; n++)
            m_nodes.push_back({ .name = "r" + std::to_string(n) });
        ReplicaMembers members;
        for (auto& it : m_nodes) {
            it.disk.storageId = newStorageId();
            members.push_back({ it.name, it.disk.storageId, true });
        }
        if (m_voterReplacementTimeout != Duration::zero() && nodes % 2 == 0)
            members.back().isVoter = false;
        for (auto& it : m_nodes) {
            it.disk.snapshot.members = members;
            start(it);
        }
    }

    /// Runs the simulation for @p duration of simulated time.
    void run(Duration duration, bool hasFaults)
    {
        m_hasFaults = hasFaults;
        if (!hasFaults)
            m_blockedLinks.clear();
        for (auto until = m_now + duration; m_now < until && m_violation.empty();) {
            m_now += std::chrono::milliseconds(5);
            if (hasFaults)
                injectFaults();
            // Client requests precede the ticks, so that a leader that resumes from a pause gets a read before it can step down.
            simulateClients();
            deliver();
            for (auto& it : m_nodes) {
                if (!it.core && m_now >= it.restartAt)
                    start(it);
                input(it, Tick {});
            }
            simulateOperator();
        }
    }

    /// Partitions the network between the nodes with these indices and the others, in both directions, for the rest of the
    /// simulation.
    void partition(const std::set<size_t>& side)
    {
        for (size_t n = 0; n < m_nodes.size(); n++) {
            for (size_t other = 0; other < m_nodes.size(); other++) {
                if (side.contains(n) != side.contains(other))
                    m_partitionedLinks.insert({ m_nodes[n].name, m_nodes[other].name });
            }
        }
    }

    void stop(SimNode& node)
    {
        crash(node);
        node.restartAt = TimePoint::max();
    }

    /// @returns whether a proposal is committed within @p time.
    bool commitsWithin(Duration time)
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

    /// Steps the node's core with one input and performs the actions, checking the invariants.
    void input(SimNode& node, Input in)
    {
        if (!node.core || m_now < node.pausedUntil)
            return;
        auto actions = node.core->step(std::move(in), m_now);
        // The node crashes before action number crashAt; a Persist counts as several actions.
        size_t crashAt = m_hasFaults && chance(m_crashPerMille) ? randomBelow(6) : SIZE_MAX;
        checkLeader(node);
        for (auto& it : actions) {
            auto* send = std::get_if<Send>(&it);
            if (send && !send->afterPersist)
                transmit(send->message);
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
        node.restartAt = m_now + std::chrono::milliseconds(randomBelow(m_maxRestartMs));
        for (auto& [id, it] : m_pendingOperations) {
            if (it.node == node.name)
                it.isAbandoned = true;
        }
    }

    void loseDisk(SimNode& node)
    {
        crash(node);
        node.disk = {};
        node.disk.storageId = newStorageId();
    }

    /// @returns whether the leader's committed configuration contains every replica with its current storage id and all are
    /// voters, except for one learner if the number of voters is kept odd.
    bool hasFullMembership()
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
        if (learners > (m_voterReplacementTimeout != Duration::zero() && m_nodes.size() % 2 == 0 ? 1 : 0))
            return false;
        // The last entry is of the leader's term, because a leader appends an entry when its term starts.
        return status.commitIndex == status.lastIndex;
    }

    std::vector<SimNode>& nodes() { return m_nodes; }
    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] const std::vector<RegisterOperation>& history() const { return m_history; }
    [[nodiscard]] const std::map<uint64_t, LogEntry>& committed() const { return m_committed; }
    [[nodiscard]] size_t diskLosses() const { return m_diskLosses; }

private:
    struct PendingOperation {
        std::string node;
        size_t operation = 0;
        bool isAbandoned = false;
    };
    struct InFlightMessage {
        TimePoint deliverAt;
        Message message;
    };

    size_t randomBelow(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(m_random); }
    bool chance(size_t perMille) { return randomBelow(1000) < perMille; }
    std::string newStorageId() { return "s" + std::to_string(++m_storageIdCount); }
    void recordViolation(const std::string& what)
    {
        if (m_violation.empty())
            m_violation = what;
    }

    void start(SimNode& node)
    {
        CoreDesc desc { .name = node.name, .seed = m_random(), .maxAppendEntries = 4, .maxChunkBytes = 3, .voterReplacementTimeout = m_voterReplacementTimeout };
        node.core = std::make_unique<RaftCore>(desc, node.disk, m_now);
        node.appliedIndex = node.disk.snapshot.index;
        node.registerValue = node.disk.snapshot.data->empty() ? 0 : std::stoull(*node.disk.snapshot.data);
    }

    void transmit(const Message& message)
    {
        if (m_partitionedLinks.contains({ message.from, message.to }))
            return;
        if (m_hasFaults && (chance(m_lossPerMille) || m_blockedLinks.contains({ message.from, message.to })))
            return;
        size_t copies = m_hasFaults && chance(30) ? 2 : 1;
        for (size_t n = 0; n < copies; n++) {
            size_t delay = m_hasFaults && chance(50) ? randomBelow(800) : randomBelow(8);
            m_inFlightMessages.push_back({ m_now + std::chrono::milliseconds(delay), message });
        }
    }

    void deliver()
    {
        std::vector<InFlightMessage> due;
        std::erase_if(m_inFlightMessages, [&](auto& it) {
            if (it.deliverAt > m_now)
                return false;
            due.push_back(std::move(it));
            return true;
        });
        std::shuffle(due.begin(), due.end(), m_random);
        for (auto& inFlight : due) {
            auto node = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto& it) { return it.name == inFlight.message.to; });
            if (m_now < node->pausedUntil)
                m_inFlightMessages.push_back({ node->pausedUntil, inFlight.message });
            else
                input(*node, inFlight.message);
        }
    }

    void injectFaults()
    {
        auto& node = m_nodes[randomBelow(m_nodes.size())];
        auto& other = m_nodes[randomBelow(m_nodes.size())];
        if (chance(4))
            crash(node);
        if (chance(4))
            node.pausedUntil = m_now + std::chrono::milliseconds(100 + randomBelow(900));
        if (chance(8)) {
            m_blockedLinks.insert({ node.name, other.name });
            if (chance(500))
                m_blockedLinks.insert({ other.name, node.name });
        }
        if (chance(12))
            m_blockedLinks.clear();
        // Lose another disk only once the group has all its members again.
        if (chance(10) && hasFullMembership()) {
            m_diskLosses++;
            loseDisk(node);
        }
    }

    void simulateOperator()
    {
        auto* node = leader();
        if (!node || !chance(100))
            return;
        if (m_hasFaults && chance(50))
            return input(*node, TransferLeadership {});
        for (const auto& it : m_nodes) {
            if (it.core && it.name != node->name)
                input(*node, ReplaceMember { 0, it.name, it.disk.storageId });
            if (!node->core)
                return;
        }
    }

    void simulateClients()
    {
        auto& node = m_nodes[randomBelow(m_nodes.size())];
        if (!m_hasFaults || !chance(60) || m_now < node.pausedUntil)
            return;
        if (!node.core || node.core->status().role != ReplicaRole::Leader)
            return;
        // The checker keeps the operations in a 64-bit mask; later writes only exercise the log.
        if (m_history.size() >= 62)
            return input(node, Propose { 0, "999" });
        bool isWrite = chance(500);
        m_history.push_back({ isWrite, false, isWrite ? m_history.size() + 1 : 0, ++m_eventCount, UINT64_MAX });
        auto id = m_history.size();
        m_pendingOperations[id] = { node.name, id - 1, false };
        if (isWrite)
            input(node, Propose { id, std::to_string(m_history.back().value) });
        else
            input(node, ReadIndex { id });
    }

    /// @returns false if the node crashed during the write.
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
            auto [known, isNew] = m_writtenEntries.try_emplace({ it.index, it.term }, it, previousTerm);
            if (known->second != std::pair(it, previousTerm))
                recordViolation("log matching: two entries with one index and term differ at " + std::to_string(it.index));
        }
        return crashAt-- != 0;
    }

    void perform(SimNode& node, const Action& action)
    {
        if (const auto* send = std::get_if<Send>(&action)) {
            if (send->afterPersist)
                transmit(send->message);
        } else if (const auto* apply = std::get_if<Apply>(&action)) {
            performApply(node, *apply);
        } else if (const auto* restore = std::get_if<Restore>(&action)) {
            node.appliedIndex = restore->snapshot.index;
            node.registerValue = restore->snapshot.data->empty() ? 0 : std::stoull(*restore->snapshot.data);
        } else if (const auto* respond = std::get_if<Respond>(&action)) {
            performRespond(node, *respond);
        }
    }

    void performApply(SimNode& node, const Apply& apply)
    {
        auto [known, isNew] = m_committed.try_emplace(apply.entry.index, apply.entry);
        if (known->second != apply.entry)
            recordViolation("a committed entry changed at " + std::to_string(apply.entry.index));
        if (apply.entry.kind == EntryKind::Command && m_rejectedValues.contains(apply.entry.data))
            recordViolation("a proposal reported as not written was committed");
        if (apply.entry.index != ++node.appliedIndex)
            recordViolation("entries applied out of order at " + std::to_string(apply.entry.index));
        if (apply.entry.kind == EntryKind::Command)
            node.registerValue = std::stoull(apply.entry.data);
        if (apply.proposalId != 0)
            completeOperation(apply.proposalId, 0);
        if (m_hasFaults && chance(60))
            m_compactions.emplace_back(node.name);
        while (!m_compactions.empty() && m_compactions.back() == node.name) {
            m_compactions.pop_back();
            auto persist = node.core->step(Compact { node.appliedIndex, std::to_string(node.registerValue) }, m_now);
            size_t noCrash = SIZE_MAX;
            for (const auto& it : persist)
                save(node, std::get<Persist>(it), noCrash);
        }
    }

    void performRespond(SimNode& node, const Respond& respond)
    {
        const auto* error = std::get_if<ProposeError>(&respond.response);
        if (!error && std::get<ReadReady>(respond.response).index > node.appliedIndex)
            recordViolation("a read was confirmed ahead of the applied state");
        if (!error)
            completeOperation(respond.id, node.registerValue);
        else if (error->code != ProposeErrorCode::OutcomeUnknown)
            recordRejection(respond.id);
    }

    void completeOperation(uint64_t id, uint64_t value)
    {
        auto pending = m_pendingOperations.find(id);
        if (pending == m_pendingOperations.end() || pending->second.isAbandoned)
            return;
        auto& operation = m_history[pending->second.operation];
        operation.hasKnownOutcome = true;
        operation.end = ++m_eventCount;
        if (!operation.isWrite)
            operation.value = value;
        m_pendingOperations.erase(pending);
    }

    /// A rejected write must never take effect: it is not checked as an operation, but its value must not be committed.
    void recordRejection(uint64_t id)
    {
        auto pending = m_pendingOperations.find(id);
        if (pending == m_pendingOperations.end() || pending->second.isAbandoned)
            return;
        const auto& operation = m_history[pending->second.operation];
        if (operation.isWrite)
            m_rejectedValues.insert(std::to_string(operation.value));
        m_pendingOperations.erase(pending);
    }

    void checkLeader(SimNode& node)
    {
        auto status = node.core->status();
        if (status.role != ReplicaRole::Leader)
            return;
        auto identity = node.name + "/" + node.disk.storageId;
        auto [known, isNew] = m_leaderByTerm.try_emplace(status.term, identity);
        if (known->second != identity)
            recordViolation("two leaders in term " + std::to_string(status.term));
        if (!isNew)
            return;
        for (const auto& [index, it] : m_committed) {
            const auto* own = node.core->entry(index);
            if (it.term < status.term && index > status.snapshotIndex && (!own || *own != it))
                return recordViolation("a new leader lacks committed entry " + std::to_string(index));
        }
    }

    std::mt19937_64 m_random;
    Duration m_voterReplacementTimeout;
    size_t m_crashPerMille;
    size_t m_lossPerMille;
    size_t m_maxRestartMs;
    std::vector<SimNode> m_nodes;
    TimePoint m_now { std::chrono::seconds(1000) };
    bool m_hasFaults = true;
    std::vector<InFlightMessage> m_inFlightMessages;
    std::set<std::pair<std::string, std::string>> m_blockedLinks;
    std::set<std::pair<std::string, std::string>> m_partitionedLinks;
    std::map<uint64_t, std::string> m_leaderByTerm;
    std::map<std::pair<uint64_t, uint64_t>, std::pair<LogEntry, uint64_t>> m_writtenEntries;
    std::map<uint64_t, LogEntry> m_committed;
    std::vector<std::string> m_compactions;
    std::vector<RegisterOperation> m_history;
    std::map<uint64_t, PendingOperation> m_pendingOperations;
    std::set<std::string> m_rejectedValues;
    uint64_t m_eventCount = 0;
    uint64_t m_storageIdCount = 0;
    size_t m_diskLosses = 0;
    std::string m_violation;
};

} // namespace vanillalift::raft
