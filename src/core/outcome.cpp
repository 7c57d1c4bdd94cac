#include <vanillalift/outcome.h>

#include <array>

namespace vanillalift {

namespace {

    struct ReasonInfo {
        std::string_view name;
        int status;
    };

    constexpr std::array<ReasonInfo, static_cast<size_t>(Reason::ReasonCount)> reasonInfos { {
        { "malformed-header", 400 },
        { "malformed-id", 400 },
        { "malformed-timeout", 400 },
        { "payload-too-large", 413 },
        { "service-unknown", 404 },
        { "key-missing", 401 },
        { "key-unknown", 401 },
        { "key-withdrawn", 401 },
        { "team-not-allowed", 403 },
        { "queue-full", 429 },
        { "over-share", 429 },
        { "deadline-unreachable", 429 },
        { "connection-limit", 429 },
        { "no-endpoint", 503 },
        { "shutting-down", 503 },
        { "configuration-stale", 503 },
        { "claims-unavailable", 503 },
        { "retry-budget-empty", 503 },
        { "endpoint-failed", 502 },
        { "answer-truncated", 502 },
        { "answer-crossed", 502 },
        { "deadline-passed", 504 },
        { "caller-gone", 499 },
        { "in-progress", 409 },
        { "already-run", 409 },
        { "internal-error", 500 },
    } };

} // namespace

std::string_view reasonName(Reason reason)
{
    return reasonInfos.at(static_cast<size_t>(reason)).name;
}

int reasonStatus(Reason reason)
{
    return reasonInfos.at(static_cast<size_t>(reason)).status;
}

std::string_view outcomeName(const Outcome& outcome)
{
    constexpr std::array<std::string_view, std::variant_size_v<Outcome>> names { "answered", "not-run", "unknown" };
    return names.at(outcome.index());
}

} // namespace vanillalift
