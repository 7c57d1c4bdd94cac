#pragma once

#include "peer/claim_server_p.h"

#include <functional>
#include <queue>
#include <random>
#include <shared_mutex>

/// Entries of a site in one process, connected by a network that loses, delays, duplicates and reorders messages.
namespace vanillalift::test {

struct NetworkDesc {
    uint64_t seed = 1;
    /// Probabilities for each call.
    int requestLossPercent = 8;
    int replyLossPercent = 8;
    int delayPercent = 10;
    int duplicationPercent = 10;
    int maxDelayMs = 8;
};

class Site;

/// The network connection of one entry process. A crashed process sends nothing.
class ProcessTransport final : public PeerTransport {
public:
    explicit ProcessTransport(Site& site)
        : m_site(site)
    {
    }
    RpcResult call(const std::string& peer, const std::string& method, const nlohmann::json& params, TimePoint deadline) override;

    std::atomic<bool> isCrashed { false };

private:
    Site& m_site;
};

/// One process of an entry, from its start to its crash.
struct EntryProcess {
    EntryProcess(Site& site, PeerClaimsDesc desc, const HolderSelector& selector, const Clock& clock)
        : transport(site)
        , claims(std::move(desc), selector, transport, clock)
        , server(claims)
    {
    }
    ProcessTransport transport;
    PeerClaims claims;
    ClaimServer server;
};

class Site {
public:
    Site(NetworkDesc desc, size_t entryCount, std::chrono::milliseconds recoveryTime)
        : m_desc(desc)
        , m_recoveryTime(recoveryTime)
        , m_random(desc.seed)
        , m_selector(makeSelector(entryCount))
        , m_currentProcesses(entryCount)
        , m_deliveryThread([this] { deliverDelayed(); })
    {
        for (size_t n = 0; n < entryCount; ++n)
            start(n, std::chrono::milliseconds(0));
    }
    ~Site()
    {
        for (auto& it : m_allProcesses)
            it->transport.isCrashed = true;
        m_isStopping = true;
        m_deliveryThread.join();
        std::vector<std::shared_ptr<EntryProcess>> ended;
        std::unique_lock lock(m_mutex);
        ended.swap(m_allProcesses);
        for (auto& it : m_currentProcesses)
            it.reset();
        lock.unlock();
        ended.clear();
    }
    Site(const Site&) = delete;
    Site& operator=(const Site&) = delete;

    std::shared_ptr<EntryProcess> process(size_t entry)
    {
        std::shared_lock lock(m_mutex);
        return m_currentProcesses[entry];
    }
    /// Crashes the entry's process and starts a new one with an empty claim table.
    void restart(size_t entry)
    {
        process(entry)->transport.isCrashed = true;
        start(entry, m_recoveryTime);
    }
    [[nodiscard]] const HolderSelector& selector() const { return m_selector; }

    RpcResult transmit(const ProcessTransport& sender, const std::string& peer, const std::string& method, const nlohmann::json& params)
    {
        if (sender.isCrashed || chance(m_desc.requestLossPercent))
            return lost();
        if (chance(m_desc.delayPercent))
            std::this_thread::sleep_for(std::chrono::milliseconds(randomBelow(m_desc.maxDelayMs)));
        if (chance(m_desc.duplicationPercent))
            postDelayed(peer, method, params);
        if (sender.isCrashed)
            return lost();
        auto reply = deliver(peer, method, params);
        if (chance(m_desc.replyLossPercent) || sender.isCrashed)
            return lost();
        if (chance(m_desc.delayPercent))
            std::this_thread::sleep_for(std::chrono::milliseconds(randomBelow(m_desc.maxDelayMs)));
        return reply;
    }
    int randomBelow(int bound)
    {
        std::lock_guard lock(m_randomMutex);
        return std::uniform_int_distribution<int>(0, bound - 1)(m_random);
    }
    bool chance(int percent) { return randomBelow(100) < percent; }

private:
    struct DelayedMessage {
        TimePoint at;
        std::string peer;
        std::string method;
        nlohmann::json params;
        bool operator<(const DelayedMessage& other) const { return at > other.at; }
    };
    static RpcResult lost() { return tl::unexpected(RpcError { RpcErrorCode::NoResponse, "lost" }); }
    static HolderSelector makeSelector(size_t entryCount)
    {
        std::vector<PeerEntry> entries;
        entries.reserve(entryCount);
        for (size_t n = 0; n < entryCount; ++n)
            entries.push_back({ "entry-" + std::to_string(n), "zone-" + std::to_string(n % 3), "" });
        return HolderSelector(entries);
    }
    void start(size_t entry, std::chrono::milliseconds recoveryTime)
    {
        PeerClaimsDesc desc;
        desc.holder = { m_selector.entries()[entry].name, ++m_lastIncarnation, 10000, recoveryTime };
        desc.callTimeout = std::chrono::milliseconds(50);
        desc.minRetryDelay = std::chrono::milliseconds(1);
        desc.maxRetryDelay = std::chrono::milliseconds(4);
        desc.maxPollInterval = std::chrono::milliseconds(8);
        auto process = std::make_shared<EntryProcess>(*this, desc, m_selector, m_clock);
        std::unique_lock lock(m_mutex);
        m_allProcesses.push_back(process);
        m_currentProcesses[entry] = process;
    }
    RpcResult deliver(const std::string& peer, const std::string& method, const nlohmann::json& params)
    {
        auto target = process(m_selector.find(peer));
        if (!target || target->transport.isCrashed)
            return lost();
        auto reply = target->server.call(method, params);
        return target->transport.isCrashed ? lost() : reply;
    }
    void postDelayed(const std::string& peer, const std::string& method, const nlohmann::json& params)
    {
        auto at = BootClock::now() + std::chrono::milliseconds(randomBelow(m_desc.maxDelayMs * 5));
        std::lock_guard lock(m_delayedMutex);
        m_delayedMessages.push({ at, peer, method, params });
    }
    void deliverDelayed()
    {
        while (!m_isStopping) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            std::unique_lock lock(m_delayedMutex);
            while (!m_delayedMessages.empty() && m_delayedMessages.top().at <= BootClock::now()) {
                auto message = m_delayedMessages.top();
                m_delayedMessages.pop();
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
    HolderSelector m_selector;
    std::atomic<uint64_t> m_lastIncarnation { 0 };
    std::shared_mutex m_mutex;
    std::vector<std::shared_ptr<EntryProcess>> m_allProcesses;
    std::vector<std::shared_ptr<EntryProcess>> m_currentProcesses;
    std::mutex m_delayedMutex;
    std::priority_queue<DelayedMessage> m_delayedMessages;
    std::atomic<bool> m_isStopping { false };
    std::thread m_deliveryThread;
};

inline RpcResult ProcessTransport::call(const std::string& peer, const std::string& method, const nlohmann::json& params, TimePoint /*deadline*/)
{
    return m_site.transmit(*this, peer, method, params);
}

} // namespace vanillalift::test
