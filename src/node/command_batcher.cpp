#include "command_batcher_p.h"

#include <vanillalift/config.h>

namespace vanillalift::node {

namespace {

    /// A batch of this size is proposed at once; well below the log's limit for one command.
    constexpr size_t maxEntryBytes = 512U << 10U;

} // namespace

CommandBatcher::CommandBatcher(net::EventLoop& loop, const Clock& clock, std::function<uint64_t(std::string)> append)
    : m_clock(clock)
    , m_append(std::move(append))
    , m_timer(loop, [this] { flush(); })
{
}

void CommandBatcher::propose(const jobs::Command& command, Handler handler)
{
    m_commandCount++;
    jobs::appendCommand(m_batch, command);
    if (handler)
        m_batchHandlers.push_back(std::move(handler));
    if (m_batch.size() >= maxEntryBytes)
        return flush();
    if (m_isFlushScheduled)
        return;
    m_isFlushScheduled = true;
    auto now = m_clock.now();
    // The log has one message in flight to each replica: another entry would only wait for the same replies.
    m_timer.armAt(now + (m_pendingEntries.empty() ? Duration(config::commandBatchWindow) : Duration(maxBatchDelay)), now);
}

void CommandBatcher::flush()
{
    m_isFlushScheduled = false;
    m_timer.disarm();
    if (m_batch.empty())
        return;
    m_entryCount++;
    auto proposal = m_append(std::exchange(m_batch, {}));
    m_pendingEntries[proposal] = { m_clock.now(), std::exchange(m_batchHandlers, {}) };
}

void CommandBatcher::resolve(uint64_t proposal, bool isCommitted)
{
    auto pending = m_pendingEntries.extract(proposal);
    if (pending.empty())
        return;
    m_maxCommitTime = std::max(m_maxCommitTime, m_clock.now() - pending.mapped().proposedAt);
    for (const auto& it : pending.mapped().handlers)
        it(isCommitted);
    if (m_pendingEntries.empty())
        flush();
}

Duration CommandBatcher::takeMaxCommitTime()
{
    if (!m_pendingEntries.empty())
        m_maxCommitTime = std::max(m_maxCommitTime, m_clock.now() - m_pendingEntries.begin()->second.proposedAt);
    return std::exchange(m_maxCommitTime, {});
}

} // namespace vanillalift::node
