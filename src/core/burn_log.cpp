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

void BurnLog::record(std::string_view service, bool isFailure, TimePoint now)
{
    auto number = now.time_since_epoch() / bucketLength;
    std::lock_guard lock(m_mutex);
    auto it = m_services.find(service);
    if (it == m_services.end())
        it = m_services.emplace(std::string(service), Buckets(bucketCount)).first;
    auto& bucket = it->second[static_cast<size_t>(number) % bucketCount];
    if (bucket.number != number)
        bucket = { number, 0, 0 };
    ++(isFailure ? bucket.bad : bucket.good);
}

std::vector<ServiceBurn> BurnLog::burn(TimePoint now) const
{
    auto current = now.time_since_epoch() / bucketLength;
    std::lock_guard lock(m_mutex);
    std::vector<ServiceBurn> burns;
    for (const auto& [service, buckets] : m_services) {
        auto& burn = burns.emplace_back(ServiceBurn { service, {} });
        for (auto length : windowLengths) {
            BurnWindow window { length };
            for (const auto& it : buckets) {
                if (it.number <= current - length / bucketLength || it.number > current)
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
