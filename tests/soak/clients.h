#pragma once

#include "endpoint_sim.h"
#include "platform/standin/requests_p.h"

#include <random>

namespace vanillalift::soak {

/// What a client knows of one job.
struct ClientJob {
    jobs::JobSpec spec;
    /// A gateway has confirmed that the job is stored.
    bool isAccepted = false;
    /// Some attempt had no definite response, so the job may be stored.
    bool isOutcomeUnknown = false;
    /// All attempts were refused as not run, and no further ones are made.
    bool isGivenUp = false;
    bool isCallPending = false;
    uint32_t attempts = 0;
    TimePoint nextCallAt;
    TimePoint acceptedAt;
    /// Time from which the client cancels the job; the epoch for never.
    TimePoint cancelAt;
    TimePoint cancelledAt;
    jobs::JobPhase phase = jobs::JobPhase::Active;
    /// An endpoint has started one of its tasks.
    bool hasStarted = false;

    [[nodiscard]] bool isLongRunning() const { return spec.steps.front().isLongRunning; }
    [[nodiscard]] bool isFinished() const { return isGivenUp || phase != jobs::JobPhase::Active; }
};

/// Clients that submit jobs, read their states and cancel some of them through the protocol, and check that the responses are
/// consistent.
class Clients {
public:
    Clients(net::EventLoop& loop, const Clock& clock, sim::World& world, std::vector<net::Address> gateways, jobs::Queue queue, std::string key);

    /// Adds a job, which poll() submits. @param shouldCancel cancel it 200 to 4000 ms later.
    void submit(jobs::JobSpec spec, bool shouldCancel);
    /// Sends the calls that are due.
    void poll();
    /// From now on no job is given up: its submission is repeated until there is a definite response.
    void setUnlimitedAttempts() { m_hasUnlimitedAttempts = true; }
    /// Checks a start request that an endpoint has accepted.
    void checkStart(const jobs::StartRequest& order);
    [[nodiscard]] const std::map<std::string, ClientJob>& jobs() const { return m_jobs; }
    [[nodiscard]] uint64_t calls() const { return m_calls; }
    [[nodiscard]] uint64_t unanswered() const { return m_unanswered; }
    [[nodiscard]] uint64_t refused() const { return m_refused; }

private:
    void sendJob(const std::string& id, ClientJob& job);
    void readJob(const std::string& id, ClientJob& job);
    void cancel(const std::string& id, ClientJob& job);
    net::HttpChannel& pickChannel();
    void send(const std::string& id, net::HttpRequest request, std::function<void(ClientJob&, int status, const std::string& body)> handler);

    net::EventLoop& m_loop;
    const Clock& m_clock;
    sim::World& m_world;
    std::vector<net::Address> m_gateways;
    jobs::Queue m_queue;
    std::string m_key;
    std::vector<std::unique_ptr<net::HttpChannel>> m_channels;
    std::map<std::string, ClientJob> m_jobs;
    bool m_hasUnlimitedAttempts = false;
    uint64_t m_calls = 0;
    uint64_t m_unanswered = 0;
    uint64_t m_refused = 0;
};

} // namespace vanillalift::soak
