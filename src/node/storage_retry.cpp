#include "storage_retry_p.h"

#include "core/event_log_p.h"

namespace vanillalift::node {

namespace {

    constexpr std::chrono::milliseconds retryInterval { 100 };
    constexpr std::chrono::seconds logInterval { 10 };

} // namespace

StorageRetry::StorageRetry(const Clock& clock, EventLog& log, std::function<void(Duration)> pause)
    : m_clock(clock)
    , m_log(log)
    , m_pause(std::move(pause))
{
}

bool StorageRetry::wait(const raft::StorageError& error)
{
    if (!isWorthwhile(error))
        return false;
    if (m_clock.now() >= m_nextLogAt) {
        m_nextLogAt = m_clock.now() + logInterval;
        m_log.stateLine("storage-wait").field("error", describe(error));
        m_log.flush();
    }
    m_pause(retryInterval);
    return true;
}

bool StorageRetry::isWorthwhile(const raft::StorageError& error)
{
    if (error.code == raft::StorageErrorCode::OutOfResources)
        return true;
    if (error.code != raft::StorageErrorCode::Locked)
        return false;
    if (!m_lockDeadline)
        m_lockDeadline = m_clock.now() + lockTimeout;
    return m_clock.now() < *m_lockDeadline;
}

} // namespace vanillalift::node
