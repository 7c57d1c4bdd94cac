#pragma once

#include "endpoint_settings_p.h"

#include <httplib.h>

#include <condition_variable>
#include <fstream>
#include <mutex>
#include <random>

namespace vanillalift::standin {

/// Fault applied to the bytes of a response when they are written.
enum class ResponseFault : uint8_t {
    None,
    Truncate,
    Exit,
    Close,
    Duplicate,
    ResponseFaultCount,
};

/// Swaps the responses of pairs of requests.
class ResponseSwapper {
public:
    /// Waits up to 200 ms for a second request and swaps the two responses; if none comes, @p response is unchanged.
    void swap(httplib::Response& response);

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    httplib::Response* m_waiting = nullptr;
};

/// Handles the stand-in's requests: slots, service time, deadline, recording and faults. Thread-safe.
class SimulatedEndpoint {
public:
    SimulatedEndpoint(const EndpointSettings& settings, const Clock& clock);

    /// @returns the fault that the server has to apply to the bytes of the response.
    ResponseFault handle(const httplib::Request& request, httplib::Response& response);

    [[nodiscard]] int64_t running() const;
    /// Writes a line to the record file that the endpoint has started to leave.
    void recordLeaving();
    /// Refuses all further requests as not started.
    void close();
    /// @returns whether no request is running and none has arrived during the last @p quietPeriod.
    [[nodiscard]] bool isQuiet(Duration quietPeriod) const;

private:
    /// Service time and faults drawn for one request.
    struct RequestPlan {
        Duration serviceTime {};
        bool isFailFast = false;
        bool isFrozen = false;
        bool isSwapped = false;
        ResponseFault responseFault = ResponseFault::None;
    };

    /// @returns false if no slot is free or the endpoint is closed.
    bool acquireSlot();
    void releaseSlot();
    RequestPlan drawPlan();
    ResponseFault run(const httplib::Request& request, httplib::Response& response);
    void record(const char* event, const httplib::Request& request, int64_t startNs, bool isFinished);
    void writeRecordLine(const nlohmann::json& line);

    EndpointSettings m_settings;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    int64_t m_running = 0;
    bool m_isClosed = false;
    TimePoint m_lastArrival;
    std::mutex m_recordMutex;
    std::ofstream m_record;
    ResponseSwapper m_responseSwapper;
};

} // namespace vanillalift::standin
