#include "claim_network.h"

#include <catch2/catch.hpp>

using namespace vanillalift;
using namespace vanillalift::test;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::minutes retention { 5 };

/// Events of one key, in the order in which they occurred.
struct KeyHistory {
    /// Wins for which release() has not been called yet.
    int openWins = 0;
    int maxOpenWins = 0;
    std::vector<std::string> runs;
    std::vector<std::string> reported;
};

class History {
public:
    void recordWin(const ClaimKey& key)
    {
        std::lock_guard lock(m_mutex);
        auto& it = m_keys[key];
        it.maxOpenWins = std::max(it.maxOpenWins, ++it.openWins);
        ++m_wins;
    }
    void recordRelease(const ClaimKey& key)
    {
        std::lock_guard lock(m_mutex);
        --m_keys[key].openWins;
    }
    /// @returns the response body of the run.
    std::string recordRun(const ClaimKey& key)
    {
        std::lock_guard lock(m_mutex);
        auto& runs = m_keys[key].runs;
        runs.push_back(key.requestId + "/" + std::to_string(runs.size()));
        return runs.back();
    }
    void recordOutcome(const ClaimKey& key, const Outcome& outcome)
    {
        std::lock_guard lock(m_mutex);
        if (const auto* answered = std::get_if<Answered>(&outcome)) {
            m_keys[key].reported.push_back(answered->body);
            ++m_answers;
        }
    }
    /// @returns one message for each violation: a second run, two winners at once, or a response that is not that of the run.
    std::vector<std::string> faults() const
    {
        std::vector<std::string> faults;
        for (const auto& [key, it] : m_keys) {
            if (it.runs.size() > 1)
                faults.push_back(key.requestId + " ran " + std::to_string(it.runs.size()) + " times");
            if (it.maxOpenWins > 1)
                faults.push_back(key.requestId + " was won " + std::to_string(it.maxOpenWins) + " times at once");
            for (const auto& body : it.reported) {
                if (it.runs.empty() || body != it.runs.front())
                    faults.push_back(key.requestId + " was reported as " + body);
            }
        }
        return faults;
    }
    [[nodiscard]] int wins() const { return m_wins; }
    [[nodiscard]] int answers() const { return m_answers; }

private:
    std::mutex m_mutex;
    std::map<ClaimKey, KeyHistory> m_keys;
    int m_wins = 0;
    int m_answers = 0;
};

/// Delivers a request to an entry: claims it and, if the claim is won, runs the request or releases the claim.
void receive(Site& site, History& history, size_t entry, const ClaimKey& key)
{
    auto process = site.process(entry);
    auto now = BootClock::now();
    auto result = process->claims.claim(key, now + milliseconds(100), now + retention);
    if (process->transport.isCrashed)
        return;
    if (const auto* settled = std::get_if<ClaimSettled>(&result))
        history.recordOutcome(key, settled->outcome);
    if (!std::holds_alternative<ClaimWon>(result))
        return;
    history.recordWin(key);
    if (site.chance(30)) {
        history.recordRelease(key);
        process->claims.release(key);
        return;
    }
    auto body = history.recordRun(key);
    std::this_thread::sleep_for(milliseconds(site.randomBelow(4)));
    process->claims.settle(key, Answered { 200, {}, body });
}

/// Restarts entries at random. The deliveries set the pace, so that the history does not depend on the machine's speed.
void restartRandomEntries(Site& site, size_t entryCount, const std::atomic<int>& deliveries, std::atomic<int>& restarts, const std::atomic<bool>& isDone)
{
    // Recovery takes longer than some of these intervals, so that a holder copies from one that is itself recovering.
    constexpr int maxDeliveriesBetween = 600;
    int nextAt = 0;
    while (!isDone) {
        if (deliveries >= nextAt) {
            site.restart(static_cast<size_t>(site.randomBelow(static_cast<int>(entryCount))));
            ++restarts;
            nextAt = deliveries + site.randomBelow(maxDeliveriesBetween);
        }
        std::this_thread::sleep_for(milliseconds(1));
    }
}

/// @returns the number of restarts.
int runHistory(History& history, const NetworkDesc& network, bool isRestarting)
{
    constexpr size_t entryCount = 5;
    constexpr int threadCount = 8;
    constexpr int deliveriesPerThread = 150;
    Site site(network, entryCount, retention);
    std::atomic<bool> isDone { false };
    std::atomic<int> deliveries { 0 };
    std::atomic<int> restarts { 0 };
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&] {
            for (int n = 0; n < deliveriesPerThread; ++n) {
                ClaimKey key { "team", "service", std::to_string(n / 10 * 10 + site.randomBelow(20)) };
                receive(site, history, static_cast<size_t>(site.randomBelow(entryCount)), key);
                ++deliveries;
            }
        });
    }
    std::thread restarter([&] {
        if (isRestarting)
            restartRandomEntries(site, entryCount, deliveries, restarts, isDone);
    });
    for (auto& it : threads)
        it.join();
    isDone = true;
    restarter.join();
    return restarts;
}

} // namespace

TEST_CASE("no request runs twice when messages are lost, late, doubled and reordered", "[claims]")
{
    auto seed = GENERATE(1U, 2U, 3U);
    History history;
    runHistory(history, { seed }, false);
    CAPTURE(seed);
    auto faults = history.faults();
    CAPTURE(faults);
    CHECK(faults.empty());
    CHECK(history.wins() > 50);
    CHECK(history.answers() > 50);
}

TEST_CASE("no request runs twice when holders and claiming entries crash and restart in the middle", "[claims]")
{
    auto seed = GENERATE(11U, 12U, 13U, 14U);
    History history;
    auto restarts = runHistory(history, { seed }, true);
    CAPTURE(seed);
    auto faults = history.faults();
    CAPTURE(faults);
    CHECK(faults.empty());
    CHECK(history.wins() > 20);
    CHECK(restarts >= 2);
}
