#pragma once

#include "peer/claim_server_p.h"

#include <functional>
#include <queue>
#include <random>
#include <shared_mutex>

/// Entries of a site in one process, connected by a network that loses, delays, doubles and reorders messages.
namespace vanillalift::test {

struct NetworkDesc {
    uint64_t seed = 1;
    /// Percentages of calls.
    int lostRequests = 8;
    int lostReplies = 8;
    int delayed = 10;
    int doubled = 10;
    int longestDelayMs = 8;
};

class Site;

/// The network as one process of an entry sees it. A crashed process sends nothing.
class Wire final : public PeerTransport {
public:
    explicit Wire(Site& site)
        : m_site(site)
    {
    }
    RpcResult call(const std::string& peer, const std::string& method, const nlohmann::json& params, TimePoint deadline) override;

    std::atomic<bool> isCrashed { false };

private:
    Site& m_site;
};

/// One process of an entry, from a start to a crash.
struct Process {
    Process(Site& site, PeerClaimsDesc desc, const HolderRing& ring, const Clock& clock)
        : wire(site)
        , claims(std::move(desc), ring, wire, clock)
        , server(claims)
    {
    }
    Wire wire;
    PeerClaims claims;
    ClaimServer server;
};

class Site {
public:
    Site(NetworkDesc desc, size_t entryCount, std::chrono::milliseconds recoveryTime)
        : m_desc(desc)
        , m_recoveryTime(recoveryTime)
        , m_random(desc.seed)
        , m_ring(makeRing(entryCount))
        , m_current(entryCount)
        , m_late([this] { deliverLate(); })
    {
        for (size_t n = 0; n < entryCount; ++n)
            start(n, std::chrono::milliseconds(0));
    }
    ~Site()
    {
        for (auto& it : m_all)
            it->wire.isCrashed = true;
        m_isStopping = true;
        m_late.join();
        std::vector<std::shared_ptr<Process>> ended;
        std::unique_lock lock(m_mutex);
        ended.swap(m_all);
        for (auto& it : m_current)
            it.reset();
        lock.unlock();
        ended.clear();
    }
    Site(const Site&) = delete;
    Site& operator=(const Site&) = delete;

    std::shared_ptr<Process> process(size_t entry)
    {
        std::shared_lock lock(m_mutex);
        return m_current[entry];
    }
    /// Ends the entry's process without a farewell and starts the next one with an empty table.
    void restart(size_t entry)
    {
        process(entry)->wire.isCrashed = true;
        start(entry, m_recoveryTime);
    }
    [[nodiscard]] const HolderRing& ring() const { return m_ring; }

    RpcResult carry(const Wire& sender, const std::string& peer, const std::string& method, const nlohmann::json& params)
    {
        if (sender.isCrashed || chance(m_desc.lostRequests))
            return lost();
        if (chance(m_desc.delayed))
            std::this_thread::sleep_for(std::chrono::milliseconds(draw(m_desc.longestDelayMs)));
        if (chance(m_desc.doubled))
            postLate(peer, method, params);
        if (sender.isCrashed)
            return lost();
        auto reply = deliver(peer, method, params);
        if (chance(m_desc.lostReplies) || sender.isCrashed)
            return lost();
        if (chance(m_desc.delayed))
            std::this_thread::sleep_for(std::chrono::milliseconds(draw(m_desc.longestDelayMs)));
        return reply;
    }
    int draw(int bound)
    {
        std::lock_guard lock(m_randomMutex);
        return std::uniform_int_distribution<int>(0, bound - 1)(m_random);
    }
    bool chance(int percent) { return draw(100) < percent; }

private:
    struct Late {
        TimePoint at;
        std::string peer;
        std::string method;
        nlohmann::json params;
        bool operator<(const Late& other) const { return at > other.at; }
    };
    static RpcResult lost() { return tl::unexpected(RpcError { RpcErrorCode::NoResponse, "lost" }); }
    static HolderRing makeRing(size_t entryCount)
    {
        std::vector<PeerEntry> entries;
        entries.reserve(entryCount);
        for (size_t n = 0; n < entryCount; ++n)
            entries.push_back({ "entry-" + std::to_string(n), "zone-" + std::to_string(n % 3), "" });
        return HolderRing(entries);
    }
    void start(size_t entry, std::chrono::milliseconds recoveryTime)
    {
        PeerClaimsDesc desc;
        desc.holder = { m_ring.entries()[entry].name, ++m_lastIncarnation, 10000, recoveryTime };
        desc.callTimeout = std::chrono::milliseconds(50);
        desc.retryMin = std::chrono::milliseconds(1);
        desc.retryMax = std::chrono::milliseconds(4);
        desc.askMax = std::chrono::milliseconds(8);
        auto process = std::make_shared<Process>(*this, desc, m_ring, m_clock);
        std::unique_lock lock(m_mutex);
        m_all.push_back(process);
        m_current[entry] = process;
    }
    RpcResult deliver(const std::string& peer, const std::string& method, const nlohmann::json& params)
    {
        auto target = process(m_ring.find(peer));
        if (!target || target->wire.isCrashed)
            return lost();
        auto reply = target->server.call(method, params);
        return target->wire.isCrashed ? lost() : reply;
    }
    void postLate(const std::string& peer, const std::string& method, const nlohmann::json& params)
    {
        auto at = BootClock::now() + std::chrono::milliseconds(draw(m_desc.longestDelayMs * 5));
        std::lock_guard lock(m_lateMutex);
        m_lateMessages.push({ at, peer, method, params });
    }
    void deliverLate()
    {
        while (!m_isStopping) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            std::unique_lock lock(m_lateMutex);
            while (!m_lateMessages.empty() && m_lateMessages.top().at <= BootClock::now()) {
                auto message = m_lateMessages.top();
                m_lateMessages.pop();
                lock.unlock();
                [[maybe_unused]] auto reply = deliver(message.peer, message.method, message.params);
                lock.lock();
            }
        }
    }

    NetworkDesc m_desc;
    std::chrono::milliseconds m_recoveryTime;
    SystemClock m_clock;
    std::mutex m_randomMutex;
    std::mt19937_64 m_random;
    HolderRing m_ring;
    std::atomic<uint64_t> m_lastIncarnation { 0 };
    std::shared_mutex m_mutex;
    std::vector<std::shared_ptr<Process>> m_all;
    std::vector<std::shared_ptr<Process>> m_current;
    std::mutex m_lateMutex;
    std::priority_queue<Late> m_lateMessages;
    std::atomic<bool> m_isStopping { false };
    std::thread m_late;
};

inline RpcResult Wire::call(const std::string& peer, const std::string& method, const nlohmann::json& params, TimePoint /*deadline*/)
{
    return m_site.carry(*this, peer, method, params);
}

} // namespace vanillalift::test
