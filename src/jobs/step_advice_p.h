#pragma once

#include <vanillalift/clock.h>
#include <vanillalift/endpoint_link.h>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace vanillalift::jobs {

/// Answers of the advice service about the endpoints that may run one step, and the choice of those to ask about next. A request names
/// a limited number of endpoints, and a pool may have more.
class StepAdvice {
public:
    /// One incarnation of an endpoint, as a request for advice names it.
    struct Subject {
        std::string endpoint;
        int64_t startedAtMs = 0;
    };
    /// An endpoint that the step could use.
    struct Candidate {
        std::string_view endpoint;
        int64_t startedAtMs = 0;
        /// A task of the step fits there now.
        bool hasRoom = false;
        int64_t freeCpu = 0;
    };

    /// @returns candidates without an answer that still holds: first those with room, among them those allowed before, then those
    /// never asked about, then those denied longest ago.
    [[nodiscard]] std::vector<Subject> selectForRequest(std::span<const Candidate> candidates, size_t maxCount, TimePoint now) const;
    /// Records the answer to a request.
    /// @param allowed the endpoints that may run the step, with their tickets.
    /// @param validity how long the answer holds from now on.
    void record(std::span<const Subject> asked, std::span<const Advice> allowed, TimePoint now, Duration validity);
    /// Forgets the answer about an endpoint that refused its ticket.
    void forget(const std::string& endpoint) { m_answers.erase(endpoint); }
    /// @returns ids of the endpoints with a valid ticket.
    [[nodiscard]] std::vector<std::string> allowedEndpoints(TimePoint now) const;
    /// @returns the endpoint's ticket; empty if it has none.
    [[nodiscard]] std::string ticketOf(const std::string& endpoint) const;

    TimePoint nextRequestAt;

private:
    struct Answer {
        /// Empty if the endpoint may not run the step.
        std::string ticket;
        int64_t startedAtMs = 0;
        TimePoint answeredAt;
        TimePoint validUntil;
    };

    std::map<std::string, Answer> m_answers;
};

} // namespace vanillalift::jobs
