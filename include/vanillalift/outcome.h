#pragma once

#include <vanillalift/clock.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace vanillalift {

/// Why the system wrote a response itself instead of passing on an endpoint's answer.
enum class Reason : uint8_t {
    MalformedHeader,
    MalformedId,
    MalformedTimeout,
    PayloadTooLarge,
    ServiceUnknown,
    KeyMissing,
    KeyUnknown,
    KeyWithdrawn,
    TeamNotAllowed,
    QueueFull,
    OverShare,
    DeadlineUnreachable,
    ConnectionLimit,
    NoEndpoint,
    ShuttingDown,
    ConfigurationStale,
    ClaimsUnavailable,
    RetryBudgetEmpty,
    EndpointFailed,
    AnswerTruncated,
    AnswerCrossed,
    DeadlinePassed,
    CallerGone,
    InProgress,
    AlreadyRun,
    InternalError,
    ReasonCount,
};

/// @returns the fixed word for the reason as it appears in responses and metrics, e.g. "queue-full".
std::string_view reasonName(Reason reason);

/// @returns the HTTP status that goes with the reason.
int reasonStatus(Reason reason);

using Header = std::pair<std::string, std::string>;

/// The endpoint's whole answer, matched to the request.
struct Answered {
    int status = 0;
    std::vector<Header> headers;
    std::string body;
};

/// No attempt under this request id has run or will run because of this receipt.
struct NotRun {
    Reason reason = Reason::InternalError;
    std::string detail;
    /// When it is worth trying again, or the epoch of the clock if trying again cannot help.
    TimePoint retryAt {};
};

/// The request may have run.
struct Unknown {
    Reason reason = Reason::InternalError;
    std::string detail;
    TimePoint retryAt {};
};

using Outcome = std::variant<Answered, NotRun, Unknown>;

/// @returns the value of the Vanillalift-Outcome header: "answered", "not-run" or "unknown".
std::string_view outcomeName(const Outcome& outcome);

} // namespace vanillalift
