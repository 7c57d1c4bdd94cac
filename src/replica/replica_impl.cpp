#include "replica_impl_p.h"

#include <glog/logging.h>

namespace vanillalift {

using namespace raft;

namespace {

    constexpr size_t maxQueuedInputs = 50000;

} // namespace

Replica::Impl::Impl(ReplicaDesc desc, StateMachine& machine, const Clock& clock, std::unique_ptr<Disk> disk, RaftStorage storage)
    : m_desc(std::move(desc))
    , m_machine(machine)
    , m_clock(clock)
    , m_disk(std::move(disk))
    , m_storage(std::move(storage))
    , m_core({ .name = m_desc.name, .minElectionTimeout = m_desc.minElectionTimeout, .seed = m_desc.seed }, m_storage.takeRecovered(), clock.now())
{
    if (m_core.snapshot().index != 0)
        perform(Restore { m_core.snapshot() });
    publishStatus();
}

Replica::Impl::~Impl() { stop(); }

void Replica::Impl::start()
{
    for (const auto& [name, address] : m_desc.peers)
        m_senders.emplace(name, std::make_unique<PeerSender>(address, m_desc.token, 4 * m_desc.minElectionTimeout));
    std::lock_guard lock(m_mutex);
    m_isRunning = true;
    m_thread = std::thread([this] { run(); });
}

void Replica::Impl::stop()
{
    if (!m_thread.joinable())
        return;
    {
        std::unique_lock lock(m_mutex);
        m_inputQueue.emplace_back(TransferLeadership {});
        m_wake.notify_one();
        auto hasTransferredLeadership = [this] { return !m_isRunning || m_status.role != ReplicaRole::Leader || m_status.members.size() < 2; };
        m_statusChanged.wait_for(lock, 4 * m_desc.minElectionTimeout, hasTransferredLeadership);
        m_isRunning = false;
        m_wake.notify_one();
    }
    m_thread.join();
    m_senders.clear();
}

RpcResult Replica::Impl::receive(const nlohmann::json& params)
{
    auto messages = fromRpcParams(params);
    if (!messages)
        return tl::unexpected(RpcError { RpcErrorCode::InvalidParams, "malformed replica messages" });
    std::lock_guard lock(m_mutex);
    if (!m_isRunning || m_inputQueue.size() > maxQueuedInputs)
        return tl::unexpected(RpcError { RpcErrorCode::Refused, "the replica is stopped or its input queue is full" });
    for (auto& it : *messages)
        m_inputQueue.emplace_back(std::move(it));
    m_wake.notify_one();
    return nlohmann::json::object();
}

ReplicaStatus Replica::Impl::status() const
{
    std::lock_guard lock(m_mutex);
    return m_status;
}

void Replica::Impl::run()
{
    bool isHealthy = true;
    while (isHealthy) {
        auto inputs = waitForInputs();
        if (inputs.empty())
            break;
        isHealthy = process(std::move(inputs));
        publishStatus();
        resolveOutcomes();
    }
    std::lock_guard lock(m_mutex);
    m_isRunning = false;
    m_inputQueue.clear();
    for (auto& [id, promise] : m_proposalPromises)
        promise.set_value(tl::unexpected(ProposeError { ProposeErrorCode::OutcomeUnknown, "" }));
    for (auto& [id, promise] : m_readPromises)
        promise.set_value(tl::unexpected(ProposeError { ProposeErrorCode::NotLeader, "" }));
    m_proposalPromises.clear();
    m_readPromises.clear();
    m_statusChanged.notify_all();
}

Replica::Impl::InputQueue Replica::Impl::waitForInputs()
{
    auto deadline = m_core.nextDeadline();
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, deadline - m_clock.now(), [this] { return !m_isRunning || !m_inputQueue.empty(); });
    if (!m_isRunning)
        return {};
    auto inputs = std::exchange(m_inputQueue, {});
    // The tick comes first, so that a leader that was paused steps down before it accepts reads and proposals.
    inputs.emplace_front(Tick {});
    return inputs;
}

bool Replica::Impl::process(InputQueue inputs)
{
    Actions actions;
    for (auto& it : inputs) {
        auto newActions = m_core.step(std::move(it), m_clock.now());
        actions.insert(actions.end(), std::make_move_iterator(newActions.begin()), std::make_move_iterator(newActions.end()));
    }
    return executeActions(std::move(actions)) && compact();
}

bool Replica::Impl::executeActions(Actions actions)
{
    while (!actions.empty()) {
        sendBeforePersist(actions);
        auto hasWritten = persist(actions);
        if (!hasWritten)
            return false;
        perform(actions);
        if (!*hasWritten)
            return true;
        actions = m_core.step(Persisted { m_core.lastIndex() }, m_clock.now());
    }
    return true;
}

void Replica::Impl::sendBeforePersist(Actions& actions)
{
    for (auto& it : actions) {
        // Messages of a new term must wait until the term is durable.
        if (const auto* persist = std::get_if<Persist>(&it); persist && persist->hardState)
            return;
        auto* send = std::get_if<Send>(&it);
        if (!send || send->afterPersist)
            continue;
        perform(*send);
        send->message.to.clear();
    }
}

std::optional<bool> Replica::Impl::persist(Actions& actions)
{
    bool hasWritten = false;
    for (const auto& it : actions) {
        const auto* persist = std::get_if<Persist>(&it);
        if (!persist)
            continue;
        hasWritten = true;
        // sync() returns the error of a failed write as well.
        if (!m_storage.write(*persist))
            break;
    }
    if (auto result = m_storage.sync(); !result) {
        reportStorageError(result.error());
        return std::nullopt;
    }
    return hasWritten;
}

void Replica::Impl::perform(Actions& actions)
{
    for (auto& it : actions)
        std::visit([this](auto& action) { perform(action); }, it);
}

void Replica::Impl::perform(Send& send)
{
    auto it = m_senders.find(send.message.to);
    if (it != m_senders.end())
        it->second->send(std::move(send.message));
}

void Replica::Impl::perform(const Apply& apply)
{
    std::string result;
    if (apply.entry.kind == EntryKind::Command)
        result = m_machine.apply(apply.entry.index, apply.entry.data);
    m_appliedIndex = apply.entry.index;
    if (apply.proposalId != 0)
        m_pendingOutcomes.emplace_back(CompletedProposal { apply.proposalId, CommitResult { apply.entry.index, std::move(result) } });
}

void Replica::Impl::perform(const Restore& restore)
{
    m_machine.restore(*restore.snapshot.data);
    m_appliedIndex = restore.snapshot.index;
}

void Replica::Impl::perform(const Respond& respond) { m_pendingOutcomes.push_back(respond); }

void Replica::Impl::resolveOutcomes()
{
    std::lock_guard lock(m_mutex);
    for (auto& it : std::exchange(m_pendingOutcomes, {}))
        std::visit([this](auto& outcome) { resolve(outcome); }, it);
}

void Replica::Impl::resolve(CompletedProposal& completed)
{
    if (auto proposal = m_proposalPromises.extract(completed.id); !proposal.empty())
        proposal.mapped().set_value(std::move(completed.result));
}

void Replica::Impl::resolve(const Respond& respond)
{
    const auto* error = std::get_if<ProposeError>(&respond.response);
    if (auto read = m_readPromises.extract(respond.id); !read.empty())
        return read.mapped().set_value(error ? ReadResult(tl::unexpected(*error)) : ReadResult(std::get<ReadReady>(respond.response).index));
    auto proposal = error ? m_proposalPromises.extract(respond.id) : decltype(m_proposalPromises)::node_type();
    if (!proposal.empty())
        proposal.mapped().set_value(tl::unexpected(*error));
}

bool Replica::Impl::compact()
{
    if (m_appliedIndex - m_core.snapshot().index < m_desc.snapshotIntervalEntries)
        return true;
    return executeActions(m_core.step(Compact { m_appliedIndex, m_machine.snapshot() }, m_clock.now()));
}

void Replica::Impl::publishStatus()
{
    auto status = m_core.status();
    status.appliedIndex = m_appliedIndex;
    std::lock_guard lock(m_mutex);
    if (status.role != m_status.role || status.leader != m_status.leader)
        LOG(INFO) << "replica " << status.name << ": term " << status.term << ", role " << static_cast<int>(status.role) << ", leader " << status.leader;
    status.fault = m_status.fault;
    m_status = std::move(status);
    m_statusChanged.notify_all();
}

void Replica::Impl::reportStorageError(const StorageError& error)
{
    LOG(ERROR) << "replica " << m_desc.name << " stops after a storage error: " << describe(error);
    std::lock_guard lock(m_mutex);
    m_status.fault = describe(error);
}

} // namespace vanillalift
