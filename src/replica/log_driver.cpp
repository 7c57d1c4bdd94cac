#include "log_driver_p.h"

#include <glog/logging.h>

#include <csignal>
#include <system_error>

namespace vanillalift {

using namespace raft;

namespace {

    /// Time until a write that failed for want of a resource is retried.
    constexpr std::chrono::milliseconds writeRetryInterval { 100 };
    /// Bytes of commands applied in one iteration of the event loop, so that replaying a long log does not delay heartbeats.
    constexpr size_t maxApplyBytesPerIteration = 128U << 10U;

} // namespace

StorageWriter::StorageWriter(net::EventLoop& loop, RaftStorage storage, std::function<void(StorageResult<void>)> onDone)
    : m_storage(std::move(storage))
    , m_onDone(std::move(onDone))
    , m_waker(loop, [this] {
        std::vector<StorageResult<void>> results;
        {
            std::lock_guard lock(m_mutex);
            results = std::exchange(m_results, {});
        }
        for (const auto& it : results)
            m_onDone(it);
    })
    , m_loopTimer(loop, [this] { writeOnLoop(); })
{
    // The thread inherits the blocked signals: they are handled on the event loop's thread only.
    sigset_t allSignals;
    sigset_t previousMask;
    sigfillset(&allSignals);
    pthread_sigmask(SIG_BLOCK, &allSignals, &previousMask);
    try {
        m_thread = std::thread([this] { run(); });
    } catch (const std::system_error& error) {
        LOG(WARNING) << "the host allows no thread for the storage, so that slow writes delay everything else: " << error.what();
    }
    pthread_sigmask(SIG_SETMASK, &previousMask, nullptr);
}

StorageWriter::~StorageWriter()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_wakeWriter.notify_one();
    }
    if (m_thread.joinable())
        m_thread.join();
}

void StorageWriter::write(std::vector<Persist> batch)
{
    std::lock_guard lock(m_mutex);
    m_batch = std::move(batch);
    if (m_thread.joinable())
        m_wakeWriter.notify_one();
    else
        m_loopTimer.armAt({}, {});
}

void StorageWriter::writeOnLoop()
{
    auto result = m_isOutOfResources ? m_storage.resume() : StorageResult<void> {};
    if (result)
        result = writeBatch(*m_batch);
    bool wasOutOfResources = m_isOutOfResources;
    m_isOutOfResources = !result && result.error().code == StorageErrorCode::OutOfResources;
    if (m_isOutOfResources)
        m_loopTimer.armAt(TimePoint() + writeRetryInterval, {});
    else
        m_batch.reset();
    if (!m_isOutOfResources || !wasOutOfResources)
        m_onDone(result);
}

void StorageWriter::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wakeWriter.wait(lock, [this] { return m_isStopping || m_batch; });
        if (!m_batch)
            return;
        auto batch = *std::exchange(m_batch, std::nullopt);
        lock.unlock();
        auto result = writeBatch(batch);
        bool isReported = false;
        while (!result && result.error().code == StorageErrorCode::OutOfResources) {
            if (!std::exchange(isReported, true))
                reportResult(result);
            lock.lock();
            if (m_wakeWriter.wait_for(lock, writeRetryInterval, [this] { return m_isStopping; }))
                return;
            lock.unlock();
            result = m_storage.resume();
            if (result)
                result = writeBatch(batch);
        }
        reportResult(result);
        lock.lock();
    }
}

StorageResult<void> StorageWriter::writeBatch(const std::vector<Persist>& batch)
{
    for (const auto& it : batch) {
        // sync() returns the error of a failed write as well.
        if (!m_storage.write(it))
            break;
    }
    return m_storage.sync();
}

void StorageWriter::reportResult(const StorageResult<void>& result)
{
    std::lock_guard lock(m_mutex);
    m_results.push_back(result);
    m_waker.wake();
}

LogDriver::LogDriver(net::EventLoop& loop, const Clock& clock, Desc desc, RaftStorage storage, Handlers handlers)
    : m_clock(clock)
    , m_desc(std::move(desc))
    , m_handlers(std::move(handlers))
    , m_core(m_desc.core, storage.takeRecovered(), clock.now())
    , m_timer(loop, [this] { tick(); })
    , m_inputTimer(loop, [this] { stepPendingInputs(); })
    , m_applyTimer(loop, [this] { step(Tick {}); })
    , m_writer(loop, std::move(storage), [this](const StorageResult<void>& result) { finishWrite(result); })
{
    if (m_core.snapshot().index != 0) {
        m_handlers.restore(*m_core.snapshot().data);
        m_appliedIndex = m_core.snapshot().index;
    }
    m_timer.armAt(m_core.nextDeadline(), m_clock.now());
}

uint64_t LogDriver::propose(std::string command)
{
    auto id = ++m_lastProposalId;
    m_inputs.emplace_back(Propose { id, std::move(command) });
    m_inputTimer.armAt(m_clock.now(), m_clock.now());
    return id;
}

void LogDriver::receive(Message message) { step(std::move(message)); }

void LogDriver::replaceMember(const std::string& name, const std::string& storageId) { step(ReplaceMember { 0, name, storageId }); }

void LogDriver::removeMember(const std::string& name) { step(RemoveMember { 0, name }); }

void LogDriver::leave(std::vector<std::string> avoid) { step(TransferLeadership { std::move(avoid), true }); }

bool LogDriver::isReadyLeader() const { return isLeader() && m_appliedIndex >= m_termStartIndex; }

void LogDriver::stepPendingInputs()
{
    if (m_isStepping || m_inputs.empty())
        return;
    tick();
}

void LogDriver::tick()
{
    auto contactTimeoutAt = isLeader() ? m_core.lastQuorumContactAt() + m_desc.core.minElectionTimeout : m_core.nextDeadline();
    if (m_clock.now() >= contactTimeoutAt)
        m_handlers.readPendingMessages();
    step(Tick {});
}

void LogDriver::step(Input input)
{
    m_inputs.push_back(std::move(input));
    // A handler called below may add an input, which the outer call processes.
    if (m_isStepping)
        return;
    m_isStepping = true;
    while (!m_inputs.empty()) {
        auto next = std::move(m_inputs.front());
        m_inputs.pop_front();
        auto actions = m_core.step(std::move(next), m_clock.now());
        // The last entry is now the first of a new leader's term; applying it means that all earlier terms are applied.
        publishRole();
        for (auto& it : actions)
            perform(it);
        applyCommitted();
    }
    m_isStepping = false;
    if (!m_unappliedEntries.empty())
        m_applyTimer.armAt(m_clock.now(), m_clock.now());
    startWrite();
    compactIfDue();
    m_timer.armAt(m_core.nextDeadline(), m_clock.now());
}

void LogDriver::perform(Action& action)
{
    if (auto* persist = std::get_if<Persist>(&action)) {
        m_pendingWrites.push_back(std::move(*persist));
    } else if (auto* send = std::get_if<Send>(&action)) {
        if (send->afterPersist && hasPendingWrites())
            m_deferredMessages.push_back(std::move(send->message));
        else
            m_handlers.send(std::move(send->message));
    } else if (auto* committed = std::get_if<Apply>(&action)) {
        m_unappliedEntries.push_back(std::move(*committed));
    } else if (auto* restore = std::get_if<Restore>(&action)) {
        m_appliedIndex = restore->snapshot.index;
        m_appliedBytesSinceSnapshot = 0;
        m_handlers.restore(*restore->snapshot.data);
        // The snapshot includes the effects of these entries.
        for (const auto& it : std::exchange(m_unappliedEntries, {})) {
            if (it.proposalId != 0)
                m_handlers.resolve(it.proposalId, it.entry.index);
        }
    } else if (auto* respond = std::get_if<Respond>(&action)) {
        if (const auto* error = std::get_if<ProposeError>(&respond->response))
            m_handlers.resolve(respond->id, tl::unexpected(error->code));
    }
}

void LogDriver::applyCommitted()
{
    size_t bytes = 0;
    while (!m_unappliedEntries.empty() && bytes < maxApplyBytesPerIteration) {
        auto next = std::move(m_unappliedEntries.front());
        m_unappliedEntries.pop_front();
        bytes += next.entry.data.size();
        apply(next);
    }
}

void LogDriver::apply(const Apply& committed)
{
    const auto& entry = committed.entry;
    m_appliedIndex = entry.index;
    if (entry.kind == EntryKind::Command) {
        m_appliedBytesSinceSnapshot += entry.data.size();
        m_handlers.apply(entry.index, entry.data);
    }
    if (committed.proposalId != 0)
        m_handlers.resolve(committed.proposalId, entry.index);
    // Applying the first entry of its term makes this leader ready.
    if (isLeader() && m_appliedIndex == m_termStartIndex)
        m_handlers.roleChanged(m_core.status());
}

void LogDriver::startWrite()
{
    if (m_isWriting || m_pendingWrites.empty())
        return;
    m_isWriting = true;
    m_deferredMessagesOfWrite = std::exchange(m_deferredMessages, {});
    m_writtenLastIndex = m_core.lastIndex();
    const auto* last = m_core.entry(m_writtenLastIndex);
    m_writtenLastTerm = last ? last->term : 0;
    m_writer.write(std::exchange(m_pendingWrites, {}));
}

void LogDriver::finishWrite(const StorageResult<void>& result)
{
    bool isOutOfResources = !result && result.error().code == StorageErrorCode::OutOfResources;
    bool wasOutOfResources = std::exchange(m_isOutOfResources, isOutOfResources);
    if (isOutOfResources)
        return m_handlers.outOfResources(result.error());
    if (wasOutOfResources)
        m_handlers.resourcesAvailable();
    if (!result)
        return m_handlers.failed(result.error());
    m_isWriting = false;
    for (auto& it : std::exchange(m_deferredMessagesOfWrite, {}))
        m_handlers.send(std::move(it));
    // The entries may have been replaced in the log while they were written.
    const auto* last = m_core.entry(m_writtenLastIndex);
    bool isSame = last ? last->term == m_writtenLastTerm : m_writtenLastIndex == m_core.snapshot().index;
    if (isSame)
        step(Persisted { m_writtenLastIndex });
    startWrite();
}

void LogDriver::publishRole()
{
    auto status = m_core.status();
    if (status.role == m_role && status.term == m_term && status.leader == m_leader)
        return;
    bool isNewLeader = status.role == ReplicaRole::Leader && (m_role != ReplicaRole::Leader || status.term != m_term);
    if (isNewLeader)
        m_termStartIndex = m_core.lastIndex();
    m_role = status.role;
    m_term = status.term;
    m_leader = status.leader;
    m_handlers.roleChanged(status);
}

void LogDriver::compactIfDue()
{
    if (m_appliedBytesSinceSnapshot < m_desc.snapshotIntervalBytes || m_isStepping)
        return;
    m_appliedBytesSinceSnapshot = 0;
    step(Compact { m_appliedIndex, m_handlers.snapshot() });
}

} // namespace vanillalift
