#include "burn_log_p.h"

namespace vanillalift {

namespace {

    struct IsFailure {
        bool operator()(const Answered& answered) const { return answered.status >= 500; }
        bool operator()(const NotRun& refusal) const
        {
            auto status = reasonStatus(refusal.reason);
            return status == 429 || status >= 500;
        }
        bool operator()(const Unknown& refusal) const { return reasonStatus(refusal.reason) != 409 && reasonStatus(refusal.reason) != 499; }
    };

} // namespace

bool isServiceFailure(const Outcome& outcome)
{
    return std::visit(IsFailure {}, outcome);
}

void BurnLog::record(std::string_view service, bool isBad, TimePoint now)
{
    auto number = now.time_since_epoch() / slotLength;
    std::lock_guard lock(m_mutex);
    auto it = m_services.find(service);
    if (it == m_services.end())
        it = m_services.emplace(std::string(service), Slots(slotCount)).first;
    auto& slot = it->second[static_cast<size_t>(number) % slotCount];
    if (slot.number != number)
        slot = { number, 0, 0 };
    ++(isBad ? slot.bad : slot.good);
}

std::vector<ServiceBurn> BurnLog::burn(TimePoint now) const
{
    auto current = now.time_since_epoch() / slotLength;
    std::lock_guard lock(m_mutex);
    std::vector<ServiceBurn> burns;
    for (const auto& [service, slots] : m_services) {
        auto& burn = burns.emplace_back(ServiceBurn { service, {} });
        for (auto length : windowLengths) {
            BurnWindow window { length };
            for (const auto& it : slots) {
                if (it.number <= current - length / slotLength || it.number > current)
                    continue;
                window.good += it.good;
                window.bad += it.bad;
            }
            burn.windows.push_back(window);
        }
    }
    return burns;
}

} // namespace vanillalift
