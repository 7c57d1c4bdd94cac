#include "step_advice_p.h"

#include <algorithm>
#include <tuple>

namespace vanillalift::jobs {

namespace {

    /// Remaining validity below which a ticket is not used: the start request has to reach the endpoint first.
    constexpr std::chrono::milliseconds ticketMargin { 300 };

    enum class History : uint8_t { WasAllowed,
        NeverAsked,
        WasDenied };

} // namespace

std::vector<StepAdvice::Subject> StepAdvice::selectForRequest(std::span<const Candidate> candidates, size_t maxCount, TimePoint now) const
{
    std::vector<std::pair<std::tuple<bool, History, TimePoint, int64_t, std::string_view>, const Candidate*>> ordered;
    for (const auto& it : candidates) {
        auto history = History::NeverAsked;
        TimePoint answeredAt;
        auto answer = m_answers.find(std::string(it.endpoint));
        if (answer != m_answers.end() && answer->second.startedAtMs == it.startedAtMs) {
            if (now + ticketMargin < answer->second.validUntil)
                continue;
            history = answer->second.ticket.empty() ? History::WasDenied : History::WasAllowed;
            answeredAt = answer->second.answeredAt;
        }
        ordered.push_back({ { !it.hasRoom, history, answeredAt, -it.freeCpu, it.endpoint }, &it });
    }
    std::sort(ordered.begin(), ordered.end());
    std::vector<Subject> subjects;
    for (size_t n = 0; n < std::min(maxCount, ordered.size()); n++)
        subjects.push_back({ std::string(ordered[n].second->endpoint), ordered[n].second->startedAtMs });
    return subjects;
}

void StepAdvice::record(std::span<const Subject> asked, std::span<const Advice> allowed, TimePoint now, Duration validity)
{
    for (const auto& it : asked)
        m_answers[it.endpoint] = { "", it.startedAtMs, now, now + validity };
    for (const auto& it : allowed) {
        if (auto answer = m_answers.find(it.endpoint); answer != m_answers.end())
            answer->second.ticket = it.ticket;
    }
}

std::vector<std::string> StepAdvice::allowedEndpoints(TimePoint now) const
{
    std::vector<std::string> endpoints;
    for (const auto& [endpoint, answer] : m_answers) {
        if (!answer.ticket.empty() && now + ticketMargin < answer.validUntil)
            endpoints.push_back(endpoint);
    }
    return endpoints;
}

std::string StepAdvice::ticketOf(const std::string& endpoint) const
{
    auto it = m_answers.find(endpoint);
    return it == m_answers.end() ? "" : it->second.ticket;
}

} // namespace vanillalift::jobs
