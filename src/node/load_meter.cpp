#include "load_meter_p.h"

#include <vanillalift/config.h>

#include <ctime>
#include <utility>

namespace vanillalift::node {

LoadMeter::LoadMeter(const Clock& clock)
    : m_clock(clock)
    , m_processorTimeBefore(processorTime())
{
}

LoadMeter::Span::Span(LoadMeter& meter, LoopPart part)
    : m_meter(meter)
    , m_part(part)
    , m_outer(std::exchange(meter.m_innermost, this))
    , m_startedAt(meter.m_clock.now())
{
}

LoadMeter::Span::~Span()
{
    auto time = m_meter.m_clock.now() - m_startedAt;
    m_meter.m_report.parts.at(static_cast<size_t>(m_part)) += time - m_innerTime;
    m_meter.m_innermost = m_outer;
    if (m_outer)
        m_outer->m_innerTime += time;
}

void LoadMeter::noteTick(TimePoint dueAt)
{
    auto lateness = m_clock.now() - dueAt;
    m_report.worstLateness = std::max(m_report.worstLateness, lateness);
    if (lateness >= config::lateTickThreshold)
        m_lateTicks++;
}

LoadMeter::Report LoadMeter::take()
{
    auto used = processorTime();
    m_report.processorTime = used - std::exchange(m_processorTimeBefore, used);
    return std::exchange(m_report, {});
}

Duration LoadMeter::processorTime()
{
    timespec used {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

} // namespace vanillalift::node
