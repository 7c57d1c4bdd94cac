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
    m_timer.armAt(now + config::commandBatch, now);
}

void CommandBatcher::flush()
{
    m_isArmed = false;
    m_timer.disarm();
    if (m_entry.empty())
        return;
    m_entries++;
    auto number = m_append(std::exchange(m_entry, {}));
    if (!m_handlers.empty())
        m_waiting[number] = std::exchange(m_handlers, {});
}

void CommandBatcher::resolve(uint64_t number, bool isCommitted)
{
    auto handlers = m_waiting.extract(number);
    if (handlers.empty())
        return;
    for (const auto& it : handlers.mapped())
        it(isCommitted);
}

} // namespace vanillalift::node
