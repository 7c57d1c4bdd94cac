#include "history_p.h"

#include <algorithm>
#include <array>

namespace vanillalift::bench {

namespace {

    struct RequestRecords {
        std::vector<const CallRecord*> calls;
        std::vector<const AttemptRecord*> attempts;
    };
    using Requests = std::map<std::string, RequestRecords>;

    bool isOutcomeUnknown(const CallRecord& call) { return call.outcome == "lost" || call.outcome == "unknown"; }

    /// @returns whether the attempt may result from a delivery of @p other that the outcome of the refused call does not
    /// cover. A lost call may be delivered at any time after its start, also after its caller gave up.
    bool mayBelongTo(const AttemptRecord& attempt, const CallRecord& refused, const CallRecord& other)
    {
        if (&other == &refused || other.outcome == "not-run" || other.startNs > attempt.startNs)
            return false;
        if (!isOutcomeUnknown(other) && other.endNs < attempt.startNs)
            return false;
        return refused.idempotent || other.outcome == "lost" || other.endNs >= refused.startNs;
    }

    /// @returns whether the attempt proves that the outcome "not-run" of @p refused is wrong. For a non-idempotent request this
    /// outcome covers its own and all earlier deliveries of the request id, for an idempotent one only its own delivery.
    bool contradicts(const CallRecord& refused, const AttemptRecord& attempt, const RequestRecords& records)
    {
        if (attempt.startNs < refused.startNs)
            return !refused.idempotent;
        return std::none_of(records.calls.begin(), records.calls.end(), [&](const auto* it) { return mayBelongTo(attempt, refused, *it); });
    }

    void checkNotRun(const std::string& request, const RequestRecords& records, std::vector<Violation>& violations)
    {
        for (const auto* call : records.calls) {
            if (call->outcome != "not-run")
                continue;
            for (const auto* attempt : records.attempts) {
                if (contradicts(*call, *attempt, records)) {
                    violations.push_back({ Guarantee::NotRunIsTrue, "call " + call->call + " of request " + request + ", but attempt " + attempt->attempt + " ran" });
                    break;
                }
            }
        }
    }

    /// A request is lost if none of its calls got a response. A caller that gave up expects none, and a caller that sends the
    /// request again after a response has already got one.
    void checkLost(const std::string& request, const RequestRecords& records, std::vector<Violation>& violations)
    {
        bool isAnswered = std::any_of(records.calls.begin(), records.calls.end(), [](const auto* it) { return it->outcome != "lost"; });
        const auto* last = *std::max_element(records.calls.begin(), records.calls.end(), [](const auto* a, const auto* b) { return a->startNs < b->startNs; });
        if (!isAnswered && last->reason != "abandoned")
            violations.push_back({ Guarantee::FinalAnswer, "call " + last->call + " of request " + request + ": " + last->reason });
    }

    void checkRequests(const Requests& requests, std::vector<Violation>& violations)
    {
        for (const auto& [request, records] : requests) {
            if (records.calls.empty()) {
                violations.push_back({ Guarantee::FilesMatch, "request " + request + " was run without a recorded call" });
                continue;
            }
            if (!records.calls.front()->idempotent && records.attempts.size() > 1)
                violations.push_back({ Guarantee::AtMostOnce, "request " + request + " ran " + std::to_string(records.attempts.size()) + " times" });
            checkNotRun(request, records, violations);
            checkLost(request, records, violations);
            for (const auto* call : records.calls) {
                if (call->outcome == "answered" && !call->isBodyCorrect)
                    violations.push_back({ Guarantee::OwnAnswer, "call " + call->call + " of request " + request });
            }
        }
    }

    void checkLimits(const History& history, std::vector<Violation>& violations)
    {
        // At equal times ends sort first, because an end frees the slot for the start.
        std::map<std::string, std::vector<std::pair<int64_t, int>>> events;
        for (const auto& it : history.attempts) {
            events[it.team].emplace_back(it.startNs, 1);
            events[it.team].emplace_back(std::max(it.endNs, it.startNs + 1), -1);
        }
        for (auto& [team, list] : events) {
            auto limit = history.run.limits.find(team);
            if (limit == history.run.limits.end()) {
                // Requests without a key, to a service that is open to all, belong to no team.
                if (!team.empty())
                    violations.push_back({ Guarantee::FilesMatch, "team " + team + " has no limit in run.json" });
                continue;
            }
            std::sort(list.begin(), list.end());
            int64_t running = 0;
            int64_t peak = 0;
            for (const auto& [at, change] : list)
                peak = std::max(peak, running += change);
            if (peak > limit->second)
                violations.push_back({ Guarantee::UpperLimit, "team " + team + " had " + std::to_string(peak) + " running, limit " + std::to_string(limit->second) });
        }
    }

    void checkLeaving(const History& history, std::vector<Violation>& violations)
    {
        for (const auto& leaving : history.run.leaving) {
            for (const auto& it : history.attempts) {
                if (it.instance == leaving.instance && it.startNs > leaving.atNs + history.run.leavingBoundNs)
                    violations.push_back({ Guarantee::LeavingEndpoint, "instance " + it.instance + " got attempt " + it.attempt });
            }
        }
    }

} // namespace

std::string_view guaranteeName(Guarantee guarantee)
{
    constexpr std::array<std::string_view, static_cast<size_t>(Guarantee::GuaranteeCount)> names { "at-most-once", "not-run-is-true",
        "own-answer", "upper-limit", "leaving-endpoint", "final-answer", "files-match" };
    return names.at(static_cast<size_t>(guarantee));
}

std::vector<Violation> checkHistory(const History& history)
{
    Requests requests;
    for (const auto& it : history.calls)
        requests[it.request].calls.push_back(&it);
    for (const auto& it : history.attempts)
        requests[it.request].attempts.push_back(&it);
    std::vector<Violation> violations;
    checkRequests(requests, violations);
    checkLimits(history, violations);
    checkLeaving(history, violations);
    return violations;
}

} // namespace vanillalift::bench
