#include "command_batcher_p.h"

#include <vanillalift/config.h>

namespace vanillalift::node {

namespace {

    /// An entry is closed early at this size, well under the log's limit for one command.
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
    m_commands++;
    jobs::appendCommand(m_entry, command);
    if (handler)
        m_handlers.push_back(std::move(handler));
    if (m_entry.size() >= maxEntryBytes)
        return flush();
    if (m_isArmed)
        return;
    m_isArmed = true;
    auto now = m_clock.now();
    // The log sends one message at a time to each replica: an entry more would only wait for the same answers.
    m_timer.armAt(now + (m_waiting.empty() ? Duration(config::commandBatchWindow) : Duration(longestGather)), now);
}

void CommandBatcher::flush()
{
    m_isArmed = false;
    m_timer.disarm();
    if (m_entry.empty())
        return;
    m_entries++;
    auto number = m_append(std::exchange(m_entry, {}));
    m_waiting[number] = { m_clock.now(), std::exchange(m_handlers, {}) };
}

void CommandBatcher::resolve(uint64_t number, bool isCommitted)
{
    auto waiting = m_waiting.extract(number);
    if (waiting.empty())
        return;
    m_worstCommit = std::max(m_worstCommit, m_clock.now() - waiting.mapped().appendedAt);
    for (const auto& it : waiting.mapped().handlers)
        it(isCommitted);
    if (m_waiting.empty())
        flush();
}

Duration CommandBatcher::takeWorstCommit()
{
    if (!m_waiting.empty())
        m_worstCommit = std::max(m_worstCommit, m_clock.now() - m_waiting.begin()->second.appendedAt);
    return std::exchange(m_worstCommit, {});
}

} // namespace vanillalift::node
