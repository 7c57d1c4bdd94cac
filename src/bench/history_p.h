#pragma once

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Recorded history of a load run. Times are in nanoseconds of CLOCK_BOOTTIME, all on one machine.
namespace vanillalift::bench {

/// One call of the load generator to an entry. A resend is a separate call with the same request id.
struct CallRecord {
    std::string call;
    std::string request;
    std::string entry;
    std::string team;
    std::string service;
    bool idempotent = false;
    int64_t intendedNs = 0;
    int64_t startNs = 0;
    int64_t endNs = 0;
    int status = 0;
    /// "answered", "not-run", "unknown", or "lost" if the caller got no response.
    std::string outcome;
    std::string reason;
    /// Whether the response body is complete and contains the id of this request.
    bool isBodyCorrect = false;
};

/// One attempt as recorded by an endpoint.
struct AttemptRecord {
    std::string request;
    std::string attempt;
    std::string team;
    std::string method;
    int64_t startNs = 0;
    int64_t endNs = 0;
    bool isFinished = false;
    std::string instance;
    std::string service;
};

struct LeavingRecord {
    std::string instance;
    int64_t atNs = 0;
};

/// Limits, shares and time bounds that the run is checked against, from run.json.
struct RunRecord {
    /// Upper limit of concurrent requests by team.
    std::map<std::string, int64_t> limits;
    /// Share weight by team.
    std::map<std::string, double> shares;
    std::vector<LeavingRecord> leaving;
    /// Time after the start of leaving from which an endpoint must get no new attempts.
    int64_t leavingBoundNs = 0;
    /// Window in which the pools were saturated; shares are measured in it.
    int64_t fullFromNs = 0;
    int64_t fullToNs = 0;
};

struct History {
    RunRecord run;
    std::vector<CallRecord> calls;
    std::vector<AttemptRecord> attempts;
};

struct HistoryError {
    /// File, with the line number if a record is malformed.
    std::string location;
    std::string reason;
};

/// Reads run.json, calls.jsonl and every endpoint-*.jsonl of a folder. A missing file, a malformed or incomplete line
/// and a history without calls are errors.
/// @remarks Endpoints write one line when an attempt starts and one when it ends, so that the attempts of a killed
/// endpoint are recorded, and one line when they start to leave.
tl::expected<History, HistoryError> readHistory(const std::string& folder);

enum class Guarantee : uint8_t {
    /// A non-idempotent request ran at most once.
    AtMostOnce,
    /// A request reported as not run did not run.
    NotRunIsTrue,
    /// Each caller got the response to its own request.
    OwnAnswer,
    /// No team exceeded its upper limit.
    UpperLimit,
    /// No leaving endpoint got an attempt after leavingBoundNs.
    LeavingEndpoint,
    /// At least one call of a request got a response, unless its caller abandoned the last call.
    FinalAnswer,
    /// Endpoints ran only requests of recorded calls; otherwise the files are of different runs.
    FilesMatch,
    GuaranteeCount,
};

std::string_view guaranteeName(Guarantee guarantee);

struct Violation {
    Guarantee guarantee = Guarantee::AtMostOnce;
    std::string detail;
};

std::vector<Violation> checkHistory(const History& history);

struct ServiceSummary {
    int64_t calls = 0;
    int64_t answered = 0;
    /// Quantiles of the time from the intended start to the response, in milliseconds, over answered calls.
    double p50Ms = 0;
    double p99Ms = 0;
    double maxMs = 0;
    /// Responses per second with a status below 500 within the saturated window.
    double goodput = 0;
};

/// Number of requests of a team by outcome. A request counts with the best outcome of its calls.
struct TeamSummary {
    int64_t requests = 0;
    int64_t answered = 0;
    int64_t notRun = 0;
    int64_t unknown = 0;
    int64_t lost = 0;
    /// Requests that were sent more than once.
    int64_t resent = 0;
};

struct Summary {
    std::map<std::string, ServiceSummary> services;
    std::map<std::string, TeamSummary> teams;
    /// By team: fraction of the total running time within the saturated window, minus the fraction that its share entitles it to.
    std::map<std::string, double> shareErrors;
};

Summary summarize(const History& history);
nlohmann::json toJson(const Summary& summary);
std::string toTable(const Summary& summary);

} // namespace vanillalift::bench
