#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

/// Linearizability check of concurrent operations on one register.
namespace vanillalift::raft {

/// One client operation on a register. Times are values of an event counter.
struct RegisterOperation {
    bool isWrite = false;
    /// An operation with an unknown outcome has no end, and may or may not have taken effect.
    bool hasKnownOutcome = false;
    uint64_t value = 0;
    uint64_t start = 0;
    uint64_t end = UINT64_MAX;
};

/// @returns whether some sequential order of the operations that respects their times yields all results.
inline bool isLinearizable(const std::vector<RegisterOperation>& history)
{
    std::set<std::pair<uint64_t, uint64_t>> seen;
    std::function<bool(uint64_t, uint64_t)> search = [&](uint64_t done, uint64_t value) {
        if (!seen.insert({ done, value }).second)
            return false;
        uint64_t firstEnd = UINT64_MAX;
        for (size_t n = 0; n < history.size(); n++) {
            if ((done >> n & 1U) == 0 && history[n].hasKnownOutcome)
                firstEnd = std::min(firstEnd, history[n].end);
        }
        if (firstEnd == UINT64_MAX)
            return true;
        for (size_t n = 0; n < history.size(); n++) {
            const auto& it = history[n];
            bool isCandidate = (done >> n & 1U) == 0 && it.start <= firstEnd && (it.isWrite || (it.hasKnownOutcome && it.value == value));
            if (isCandidate && search(done | uint64_t { 1 } << n, it.isWrite ? it.value : value))
                return true;
        }
        return false;
    };
    return search(0, 0);
}

} // namespace vanillalift::raft
