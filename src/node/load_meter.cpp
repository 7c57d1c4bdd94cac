#include "load_meter_p.h"

#include <vanillalift/config.h>

#include <ctime>
#include <utility>

namespace vanillalift::node {

LoadMeter::LoadMeter(const Clock& clock)
    : m_clock(clock)
    , m_lastProcessorTime(processorTime())
{
}

LoadMeter::Span::Span(LoadMeter& meter, LoopActivity activity)
    : m_meter(meter)
    , m_activity(activity)
    , m_outerSpan(std::exchange(meter.m_innermostSpan, this))
    , m_startedAt(meter.m_clock.now())
{
}

LoadMeter::Span::~Span()
{
    auto elapsed = m_meter.m_clock.now() - m_startedAt;
    m_meter.m_report.activityTimes.at(static_cast<size_t>(m_activity)) += elapsed - m_innerSpanTime;
    m_meter.m_innermostSpan = m_outerSpan;
    if (m_outerSpan)
        m_outerSpan->m_innerSpanTime += elapsed;
}

void LoadMeter::recordTick(TimePoint dueAt)
{
    auto delay = m_clock.now() - dueAt;
    m_report.maxTickDelay = std::max(m_report.maxTickDelay, delay);
    if (delay >= config::lateTickThreshold)
        m_lateTicks++;
}

LoadMeter::Report LoadMeter::takeReport()
{
    auto used = processorTime();
    m_report.processorTime = used - std::exchange(m_lastProcessorTime, used);
    return std::exchange(m_report, {});
}

Duration LoadMeter::processorTime()
{
    timespec used {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

} // namespace vanillalift::node
