#pragma once

#include <vanillalift/features.h>

#include <msgpack.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace vanillalift::jobs {

/// Token buckets of workspaces: each submits up to `weight` jobs a second, and in any window no more than the settings add to that.
/// The state depends on the recorded jobs only; the depth of the buckets is the leader's affair.
class AgreedRate {
public:
    /// @param weight of the workspace.
    /// @param atMs Unix time in milliseconds.
    /// @returns whether a job that is submitted now exceeds the agreed rate.
    [[nodiscard]] bool isBeyond(const std::string& workspace, double weight, int64_t atMs, const AgreedRateSettings& settings) const;
    /// Records an accepted job. One beyond the rate takes no token.
    void record(const std::string& workspace, double weight, int64_t atMs, bool isBeyond);
    /// Forgets workspaces for which the function returns false.
    void retain(const std::function<bool(const std::string&)>& isKnown);

private:
    /// Integers, so that controllers on different processors agree.
    struct Bucket {
        /// Tokens taken and not yet returned, in millionths.
        int64_t taken = 0;
        int64_t updatedAtMs = 0;
        MSGPACK_DEFINE(taken, updatedAtMs)
    };
    [[nodiscard]] static int64_t takenAt(const Bucket& bucket, double weight, int64_t atMs);

    std::map<std::string, Bucket> m_buckets;

public:
    MSGPACK_DEFINE(m_buckets)
};

} // namespace vanillalift::jobs
