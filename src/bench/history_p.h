#pragma once

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Recorded histories of a load run. Times are nanoseconds of CLOCK_BOOTTIME of one machine.
namespace vanillalift::bench {

/// One call of the load generator at an entry. A resend is a call of its own with the same request id.
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
    /// "answered", "not-run", "unknown", or "lost" if the caller got no answer.
    std::string outcome;
    std::string reason;
    /// Whether the body is whole and names this request.
    bool isBodyCorrect = false;
};

/// One attempt as an endpoint saw it.
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

/// What the run promised, from run.json.
struct RunRecord {
    /// Upper limit by team.
    std::map<std::string, int64_t> limits;
    /// Share weight by team.
    std::map<std::string, double> shares;
    std::vector<LeavingRecord> leaving;
    /// Time after which a leaving endpoint gets no new work.
    int64_t leavingBoundNs = 0;
    /// Window in which the pools were full; shares are measured in it.
    int64_t fullFromNs = 0;
    int64_t fullToNs = 0;
};

struct History {
    RunRecord run;
    std::vector<CallRecord> calls;
    std::vector<AttemptRecord> attempts;
};

struct HistoryError {
    /// File, and the line for a damaged record.
    std::string location;
    std::string reason;
};

/// Reads run.json, calls.jsonl and every endpoint-*.jsonl of a folder. A missing file, a damaged or unfinished line
/// and a history without a call are errors.
/// @remarks Endpoints write a line when an attempt starts and one when it ends, so that the attempts of a killed
/// endpoint are known, and a line when they start to leave.
tl::expected<History, HistoryError> readHistory(const std::string& folder);

enum class Guarantee : uint8_t {
    AtMostOnce,
    NotRunIsTrue,
    OwnAnswer,
    UpperLimit,
    LeavingEndpoint,
    /// No call of a request got an answer, although its caller did not abandon the last one.
    FinalAnswer,
    /// Endpoints ran something that no call asked for, so that the files do not belong together.
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
    /// Quantiles of the time from the intended start to the answer, in milliseconds, over answered calls.
    double p50Ms = 0;
    double p99Ms = 0;
    double maxMs = 0;
    /// Answers a second within the full window.
    double goodput = 0;
};

/// What the requests of a team came to: the best outcome over the calls of each request.
struct TeamSummary {
    int64_t requests = 0;
    int64_t answered = 0;
    int64_t notRun = 0;
    int64_t unknown = 0;
    int64_t lost = 0;
    /// Requests that were sent again.
    int64_t resent = 0;
};

struct Summary {
    std::map<std::string, ServiceSummary> services;
    std::map<std::string, TeamSummary> teams;
    /// Part of the running time within the full window less the part owed by weight, by team.
    std::map<std::string, double> shareErrors;
};

Summary summarize(const History& history);
nlohmann::json toJson(const Summary& summary);
std::string toTable(const Summary& summary);

} // namespace vanillalift::bench
