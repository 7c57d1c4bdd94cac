#include "agreed_rate_p.h"

#include <algorithm>
#include <cmath>

namespace vanillalift::jobs {

namespace {

    /// One token, for one job.
    constexpr int64_t token = 1000000;
    /// A weight in thousandths is a bucket's rate in millionths of a token a millisecond.
    constexpr double ratePerWeight = 1000;
    /// Longest interval that is counted: every bucket is full long before.
    constexpr int64_t maxElapsedMs = 3600000;
    constexpr double maxWeight = 1e6;

} // namespace

int64_t AgreedRate::takenAt(const Bucket& bucket, double weight, int64_t atMs)
{
    auto elapsedMs = std::clamp<int64_t>(atMs - bucket.updatedAtMs, 0, maxElapsedMs);
    return std::max<int64_t>(0, bucket.taken - elapsedMs * std::llround(std::clamp(weight, 0.0, maxWeight) * ratePerWeight));
}

bool AgreedRate::isBeyond(const std::string& workspace, double weight, int64_t atMs, const AgreedRateSettings& settings) const
{
    auto it = m_buckets.find(workspace);
    if (it == m_buckets.end())
        return false;
    auto depth = weight * std::chrono::duration<double>(settings.window).count() * settings.overage + settings.slack;
    return static_cast<double>(takenAt(it->second, weight, atMs) + token) > std::max(depth, 1.0) * token;
}

void AgreedRate::record(const std::string& workspace, double weight, int64_t atMs, bool isBeyond)
{
    auto& bucket = m_buckets[workspace];
    bucket.taken = takenAt(bucket, weight, atMs) + (isBeyond ? 0 : token);
    // Also if the clock was set back: the bucket would not refill until it has caught up.
    bucket.updatedAtMs = atMs;
}

void AgreedRate::retain(const std::function<bool(const std::string&)>& isKnown)
{
    std::erase_if(m_buckets, [&](const auto& it) { return !isKnown(it.first); });
}

} // namespace vanillalift::jobs
