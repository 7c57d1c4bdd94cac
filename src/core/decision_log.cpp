#include "decision_log_p.h"

namespace vanillalift {

DecisionLog::DecisionLog(size_t capacity)
    : m_capacity(capacity)
{
}

void DecisionLog::record(Decision decision)
{
    std::lock_guard lock(m_mutex);
    m_decisions.push_front(std::move(decision));
    if (m_decisions.size() > m_capacity)
        m_decisions.pop_back();
}

nlohmann::json DecisionLog::latest(std::string_view team) const
{
    auto array = nlohmann::json::array();
    std::lock_guard lock(m_mutex);
    for (const auto& it : m_decisions) {
        if (!team.empty() && it.team != team)
            continue;
        nlohmann::json numbers(nlohmann::json::value_t::object);
        for (const auto& [name, value] : it.numbers)
            numbers[name] = value;
        array.push_back({ { "at_ms", it.atMs }, { "service", it.service }, { "team", it.team }, { "request_id", it.requestId },
            { "outcome", it.outcome }, { "reason", reasonName(it.reason) }, { "detail", it.detail }, { "numbers", numbers } });
    }
    return array;
}

} // namespace vanillalift
