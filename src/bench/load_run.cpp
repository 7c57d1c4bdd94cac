#include "load_p.h"

#include <vanillalift/request.h>

#include <httplib.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <random>
#include <thread>

namespace vanillalift::bench {

namespace {

    using std::chrono::milliseconds;

    /// Time that a caller waits beyond the timeout that it sent.
    constexpr milliseconds responseGrace { 1000 };
    constexpr milliseconds connectTimeout { 500 };
    constexpr std::chrono::seconds startDelay { 1 };
    constexpr milliseconds readinessCheckInterval { 50 };

    int64_t nowNs() { return BootClock::now().time_since_epoch().count(); }

    /// @returns whether the response of the stand-in is complete and belongs to this request.
    bool isCorrectBody(const std::string& body, const std::string& request, size_t sentBytes)
    {
        auto value = nlohmann::json::parse(body, nullptr, false);
        return value.is_object() && value.value("request", "") == request && value.value("bytes", size_t { 0 }) == sentBytes;
    }

    /// Polls the readiness of each entry in a separate thread.
    class ReadinessMonitor {
    public:
        explicit ReadinessMonitor(const std::vector<LoadTarget>& targets)
            : m_isReady(targets.size())
        {
            for (size_t n = 0; n < targets.size(); ++n) {
                m_isReady[n] = true;
                if (!targets[n].admin.empty())
                    m_threads.emplace_back([this, n, admin = targets[n].admin](const std::stop_token& stop) { pollReadiness(stop, n, admin); });
            }
        }

        /// @returns the first ready entry from @p target on, or @p target if none is ready.
        [[nodiscard]] size_t findReadyEntry(size_t target) const
        {
            for (size_t n = 0; n < m_isReady.size(); ++n) {
                if (m_isReady[(target + n) % m_isReady.size()])
                    return (target + n) % m_isReady.size();
            }
            return target;
        }

    private:
        void pollReadiness(const std::stop_token& stop, size_t n, const std::string& admin)
        {
            httplib::Client client("http://" + admin);
            client.set_connection_timeout(connectTimeout);
            client.set_read_timeout(connectTimeout);
            while (!stop.stop_requested()) {
                auto result = client.Get("/readyz");
                m_isReady[n] = result && result->status == 200;
                std::this_thread::sleep_for(readinessCheckInterval);
            }
        }

        std::vector<std::atomic<bool>> m_isReady;
        std::vector<std::jthread> m_threads;
    };

    /// A caller with its connections, random generator and call records. Used by one thread.
    class Caller {
    public:
        Caller(const LoadSettings& settings, const ReadinessMonitor& readiness, uint64_t seed)
            : m_settings(settings)
            , m_readiness(readiness)
            , m_seed(seed)
        {
            for (const auto& it : settings.entries) {
                auto& client = m_clients.emplace_back(std::make_unique<httplib::Client>("http://" + it.address));
                client->set_keep_alive(true);
                client->set_tcp_nodelay(true);
                client->set_connection_timeout(connectTimeout);
            }
        }

        /// Sends one request, and resends it with the set probability while its outcome is unknown.
        void send(const PlannedRequest& planned, uint64_t index, int64_t intendedNs)
        {
            // Random choices depend only on the seed and the request, not on the thread that sends it.
            m_random.seed(m_seed * 1000003 + index);
            auto request = "r" + std::to_string(m_seed) + "-" + std::to_string(index);
            auto target = m_readiness.findReadyEntry(std::uniform_int_distribution<size_t>(0, m_settings.entries.size() - 1)(m_random));
            for (int64_t n = 0;; ++n) {
                call(planned, request, n, target, intendedNs);
                const auto& record = m_calls.back();
                // Like a load balancer, sends a call whose connection was refused to the next entry.
                bool isRefused = record.reason == "connect";
                bool isOutcomeUnknown = record.outcome == "lost" || record.outcome == "unknown";
                if (n >= m_settings.maxResends || !isOutcomeUnknown || (!isRefused && !happens(m_settings.resend)))
                    return;
                target = m_readiness.findReadyEntry((target + 1) % m_settings.entries.size());
                intendedNs = record.endNs;
            }
        }

        [[nodiscard]] std::vector<CallRecord>& calls() { return m_calls; }

    private:
        bool happens(double probability) { return std::bernoulli_distribution(probability)(m_random); }

        void call(const PlannedRequest& planned, const std::string& request, int64_t n, size_t target, int64_t intendedNs)
        {
            const auto& service = m_settings.services[planned.service];
            const auto& team = m_settings.teams[planned.team];
            CallRecord record { request + "." + std::to_string(n), request, m_settings.entries[target].name, service.isOpen ? "" : team.name, service.name, service.idempotent, intendedNs };
            httplib::Headers headers { { header::requestId, request }, { header::timeoutMs, std::to_string(m_settings.timeoutMs) } };
            if (m_settings.isDirect)
                headers.insert({ { header::attemptId, record.call }, { header::team, record.team } });
            if (!service.isOpen)
                headers.emplace("Authorization", "Bearer " + team.key);
            bool isAbandoned = happens(m_settings.abandon);
            auto wait = isAbandoned ? milliseconds(std::uniform_int_distribution<int64_t>(1, m_settings.abandonMs)(m_random)) : milliseconds(m_settings.timeoutMs) + responseGrace;
            auto& client = *m_clients[target];
            client.set_read_timeout(wait);
            std::string body(service.idempotent ? 0 : static_cast<size_t>(m_settings.bodyBytes), 'x');
            auto path = "/s/" + service.name + "/item";
            record.startNs = nowNs();
            auto result = service.idempotent ? client.Get(path, headers) : client.Post(path, headers, body, "application/octet-stream");
            record.endNs = nowNs();
            if (result)
                recordResponse(*result, body.size(), record);
            else
                recordLoss(result.error(), isAbandoned, client, record);
            m_calls.push_back(std::move(record));
        }

        void recordResponse(const httplib::Response& response, size_t sentBytes, CallRecord& record) const
        {
            record.status = response.status;
            record.outcome = m_settings.isDirect ? "answered" : response.get_header_value(header::outcome);
            record.reason = response.get_header_value(header::reason);
            record.isBodyCorrect = record.outcome == "answered" && isCorrectBody(response.body, record.request, sentBytes);
        }

        static void recordLoss(httplib::Error error, bool isAbandoned, httplib::Client& client, CallRecord& record)
        {
            client.stop();
            record.outcome = "lost";
            record.reason = httplib::to_string(error);
            if (error == httplib::Error::Connection)
                record.reason = "connect";
            else if (isAbandoned)
                record.reason = "abandoned";
        }

        const LoadSettings& m_settings;
        const ReadinessMonitor& m_readiness;
        uint64_t m_seed;
        std::mt19937_64 m_random;
        std::vector<std::unique_ptr<httplib::Client>> m_clients;
        std::vector<CallRecord> m_calls;
    };

    void runOpen(const std::vector<PlannedRequest>& plan, TimePoint start, std::atomic<uint64_t>& next, Caller& caller)
    {
        for (auto index = next++; index < plan.size(); index = next++) {
            auto at = start + plan[index].at;
            std::this_thread::sleep_for(at - BootClock::now());
            caller.send(plan[index], index, at.time_since_epoch().count());
        }
    }

    void runClosed(const LoadSettings& settings, TimePoint start, std::atomic<uint64_t>& next, Caller& caller)
    {
        auto end = start + std::chrono::nanoseconds(static_cast<int64_t>(settings.seconds * 1e9));
        std::this_thread::sleep_for(start - BootClock::now());
        for (auto index = next++; BootClock::now() < end && (settings.requests == 0 || index < static_cast<uint64_t>(settings.requests)); index = next++) {
            PlannedRequest planned { {}, index % settings.services.size(), (index / settings.services.size()) % settings.teams.size() };
            caller.send(planned, index, nowNs());
        }
    }

    RunRecord makeRunRecord(const LoadSettings& settings, TimePoint start)
    {
        RunRecord run;
        for (const auto& it : settings.teams) {
            run.limits[it.name] = it.limit;
            run.shares[it.name] = it.share;
        }
        run.leavingBoundNs = settings.leavingBoundMs * 1000000;
        // In the waves shape the pools are not saturated all the time, so there is no window to measure shares in.
        run.fullToNs = run.fullFromNs = start.time_since_epoch().count();
        if (settings.shape != LoadShape::Waves) {
            run.fullFromNs += static_cast<int64_t>(settings.warmUpSeconds * 1e9);
            run.fullToNs += static_cast<int64_t>(settings.seconds * 1e9);
        }
        return run;
    }

    nlohmann::json toJson(const CallRecord& it)
    {
        return { { "call", it.call }, { "request", it.request }, { "entry", it.entry }, { "team", it.team }, { "service", it.service }, { "idempotent", it.idempotent },
            { "intended_ns", it.intendedNs }, { "start_ns", it.startNs }, { "end_ns", it.endNs }, { "status", it.status }, { "outcome", it.outcome },
            { "reason", it.reason }, { "body_right", it.isBodyCorrect } };
    }

} // namespace

History runLoad(const LoadSettings& settings, uint64_t seed)
{
    auto plan = settings.shape == LoadShape::Closed ? std::vector<PlannedRequest>() : planRequests(settings, seed);
    ReadinessMonitor readiness(settings.entries);
    std::vector<std::unique_ptr<Caller>> callers;
    callers.reserve(static_cast<size_t>(settings.callers));
    for (int64_t n = 0; n < settings.callers; ++n)
        callers.push_back(std::make_unique<Caller>(settings, readiness, seed));
    auto start = BootClock::now() + startDelay;
    std::atomic<uint64_t> next { 0 };
    std::vector<std::thread> threads;
    threads.reserve(callers.size());
    for (auto& it : callers) {
        threads.emplace_back([&settings, &plan, &next, &caller = *it, start] {
            if (settings.shape == LoadShape::Closed)
                runClosed(settings, start, next, caller);
            else
                runOpen(plan, start, next, caller);
        });
    }
    for (auto& it : threads)
        it.join();
    History history;
    history.run = makeRunRecord(settings, start);
    for (auto& it : callers)
        std::move(it->calls().begin(), it->calls().end(), std::back_inserter(history.calls));
    return history;
}

bool writeHistory(const History& history, const std::string& folder)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    const auto& run = history.run;
    std::ofstream runFile(folder + "/run.json");
    runFile << nlohmann::json { { "limits", run.limits }, { "shares", run.shares }, { "leaving", nlohmann::json::array() }, { "leaving_bound_ns", run.leavingBoundNs },
        { "full_from_ns", run.fullFromNs }, { "full_to_ns", run.fullToNs } }
            << "\n";
    std::ofstream callsFile(folder + "/calls.jsonl");
    for (const auto& it : history.calls)
        callsFile << toJson(it) << "\n";
    return runFile.flush() && callsFile.flush();
}

} // namespace vanillalift::bench
