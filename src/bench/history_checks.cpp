#include "history_p.h"

#include <algorithm>
#include <array>

namespace vanillalift::bench {

namespace {

    struct RequestView {
        std::vector<const CallRecord*> calls;
        std::vector<const AttemptRecord*> attempts;
    };
    using Requests = std::map<std::string, RequestView>;

    bool isWithoutAnswer(const CallRecord& call) { return call.outcome == "lost" || call.outcome == "unknown"; }

    /// @returns whether the attempt may have been made for a receipt of @p other instead of that of the refused call, or
    /// of one before it. The receipt of a lost call may be later than its caller's end, at any time after its start.
    bool isMadeForOther(const AttemptRecord& attempt, const CallRecord& refused, const CallRecord& other)
    {
        if (&other == &refused || other.outcome == "not-run" || other.startNs > attempt.startNs)
            return false;
        if (!isWithoutAnswer(other) && other.endNs < attempt.startNs)
            return false;
        return refused.idempotent || other.outcome == "lost" || other.endNs >= refused.startNs;
    }

    /// The refusal of a non-idempotent request speaks for its own and all earlier receipts of the id, that of an
    /// idempotent one for its own receipt.
    bool isRefuted(const CallRecord& refused, const AttemptRecord& attempt, const RequestView& view)
    {
        if (attempt.startNs < refused.startNs)
            return !refused.idempotent;
        return std::none_of(view.calls.begin(), view.calls.end(), [&](const auto* it) { return isMadeForOther(attempt, refused, *it); });
    }

    void checkNotRun(const std::string& request, const RequestView& view, std::vector<Violation>& violations)
    {
        for (const auto* call : view.calls) {
            if (call->outcome != "not-run")
                continue;
            for (const auto* attempt : view.attempts) {
                if (isRefuted(*call, *attempt, view)) {
                    violations.push_back({ Guarantee::NotRunIsTrue, "call " + call->call + " of request " + request + ", but attempt " + attempt->attempt + " ran" });
                    break;
                }
            }
        }
    }

    /// A request is lost if no entry ever answered its caller. A caller that gave up expects no answer, and one that
    /// asks again after an answer has got one.
    void checkLost(const std::string& request, const RequestView& view, std::vector<Violation>& violations)
    {
        bool isAnswered = std::any_of(view.calls.begin(), view.calls.end(), [](const auto* it) { return it->outcome != "lost"; });
        const auto* last = *std::max_element(view.calls.begin(), view.calls.end(), [](const auto* a, const auto* b) { return a->startNs < b->startNs; });
        if (!isAnswered && last->reason != "abandoned")
            violations.push_back({ Guarantee::FinalAnswer, "call " + last->call + " of request " + request + ": " + last->reason });
    }

    void checkRequests(const Requests& requests, std::vector<Violation>& violations)
    {
        for (const auto& [request, view] : requests) {
            if (view.calls.empty()) {
                violations.push_back({ Guarantee::FilesMatch, "request " + request + " was run but never called" });
                continue;
            }
            if (!view.calls.front()->idempotent && view.attempts.size() > 1)
                violations.push_back({ Guarantee::AtMostOnce, "request " + request + " ran " + std::to_string(view.attempts.size()) + " times" });
            checkNotRun(request, view, violations);
            checkLost(request, view, violations);
            for (const auto* call : view.calls) {
                if (call->outcome == "answered" && !call->isBodyCorrect)
                    violations.push_back({ Guarantee::OwnAnswer, "call " + call->call + " of request " + request });
            }
        }
    }

    void checkLimits(const History& history, std::vector<Violation>& violations)
    {
        // At equal times ends come first, since an end frees the place for the start.
        std::map<std::string, std::vector<std::pair<int64_t, int>>> events;
        for (const auto& it : history.attempts) {
            events[it.team].emplace_back(it.startNs, 1);
            events[it.team].emplace_back(std::max(it.endNs, it.startNs + 1), -1);
        }
        for (auto& [team, list] : events) {
            auto limit = history.run.limits.find(team);
            if (limit == history.run.limits.end()) {
                // Requests without a key to a service that is open to all belong to no team.
                if (!team.empty())
                    violations.push_back({ Guarantee::FilesMatch, "team " + team + " has no limit in run.json" });
                continue;
            }
            std::sort(list.begin(), list.end());
            int64_t running = 0;
            int64_t most = 0;
            for (const auto& [at, change] : list)
                most = std::max(most, running += change);
            if (most > limit->second)
                violations.push_back({ Guarantee::UpperLimit, "team " + team + " had " + std::to_string(most) + " running, limit " + std::to_string(limit->second) });
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
