#pragma once

#include "endpoint_settings_p.h"

#include <httplib.h>

#include <condition_variable>
#include <fstream>
#include <mutex>
#include <random>

namespace vanillalift::standin {

/// What happens to the bytes of an answer when they are written.
enum class ResponseFault : uint8_t {
    None,
    Truncate,
    Die,
    Close,
    Twice,
    ResponseFaultCount,
};

/// Swaps the answers of pairs of requests.
class ResponseSwapper {
public:
    /// Waits for another request for a short time and swaps the two answers; without another one nothing changes.
    void swap(httplib::Response& response);

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    httplib::Response* m_waiting = nullptr;
};

/// Runs the endpoint's requests: slots, service time, deadline, record, faults. Thread-safe.
class SimulatedEndpoint {
public:
    SimulatedEndpoint(const EndpointSettings& settings, const Clock& clock);

    /// @returns what the server has to do with the answer's bytes.
    ResponseFault handle(const httplib::Request& request, httplib::Response& response);

    [[nodiscard]] int64_t running() const;
    /// Records that the endpoint has started to leave.
    void recordLeaving();
    /// From now on each request is refused as not started.
    void close();
    /// @returns whether nothing runs and nothing has arrived since @p quiet ago.
    [[nodiscard]] bool isQuiet(Duration quiet) const;

private:
    struct Plan {
        Duration length {};
        bool failsFast = false;
        bool freezes = false;
        bool crosses = false;
        ResponseFault write = ResponseFault::None;
    };

    bool start();
    void finish();
    Plan plan();
    ResponseFault run(const httplib::Request& request, httplib::Response& response);
    void record(const char* event, const httplib::Request& request, int64_t startNs, bool isFinished);
    void write(const nlohmann::json& line);

    EndpointSettings m_settings;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    int64_t m_running = 0;
    bool m_isClosed = false;
    TimePoint m_lastArrival;
    std::mutex m_recordMutex;
    std::ofstream m_record;
    ResponseSwapper m_exchange;
};

} // namespace vanillalift::standin
