#include <catch2/catch.hpp>

#include "request_fakes.h"

#include <future>
#include <thread>

using namespace vanillalift;
using namespace vanillalift::test;

namespace {

/// Blocks attempts until it is opened.
class Gate {
public:
    void open()
    {
        std::lock_guard lock(m_mutex);
        m_isOpen = true;
        m_changed.notify_all();
    }
    void pass()
    {
        std::unique_lock lock(m_mutex);
        ++m_arrived;
        m_changed.notify_all();
        m_changed.wait(lock, [&] { return m_isOpen; });
    }
    void awaitArrivals(int n)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_arrived >= n; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_arrived = 0;
    bool m_isOpen = false;
};

struct RunnerFixture : SchedulerFixture {
    using SchedulerFixture::SchedulerFixture;

    static Request request(std::string service, std::string id, int64_t timeoutMs = 60000, std::string team = "x")
    {
        Request request { .service = std::move(service), .team = std::move(team), .id = std::move(id), .hasCallerId = true, .method = "POST", .target = "/" };
        request.deadline = BootClock::now() + milliseconds(timeoutMs);
        return request;
    }
    Outcome handle(const Request& request) { return runner.handle(request, FakeCaller {}); }
    std::future<Outcome> start(Request request, const FakeCaller& caller)
    {
        return std::async(std::launch::async, [this, request = std::move(request), &caller] { return runner.handle(request, caller); });
    }
    /// Waits until @p n requests are queued in all services together.
    void awaitQueued(int64_t n) const
    {
        auto queued = [&] {
            int64_t sum = 0;
            for (const auto& it : scheduler.serviceStats())
                sum += it.queued;
            return sum;
        };
        while (queued() != n)
            std::this_thread::yield();
    }

    SystemClock clock;
    FakeClient client;
    FakeClaims claims;
    RequestRunner runner { "e1", clock, authority, scheduler, client, claims };
};

template <typename T>
Reason reasonOf(const Outcome& outcome)
{
    REQUIRE(std::holds_alternative<T>(outcome));
    return std::get<T>(outcome).reason;
}

AttemptResult fail(const AttemptDesc& /*desc*/)
{
    return AttemptFailed { Reason::EndpointFailed, "cut" };
}

} // namespace

TEST_CASE("with concurrent resends and faults, a non-idempotent request starts at most once and a not-run outcome is always true", "[runner]")
{
    RunnerFixture fixture;
    fixture.pool.capacities["o"] = { 3, 2 };
    std::mutex mutex;
    std::map<std::string, int> starts;
    std::mt19937 faults(7);
    fixture.client.onSend = [&](const AttemptDesc& desc) -> AttemptResult {
        std::lock_guard lock(mutex);
        auto fault = faults() % 10;
        if (fault < 2)
            return AttemptNotStarted {};
        if (fault < 4)
            return AttemptNotSent { "refused" };
        ++starts[std::string(desc.requestId)];
        if (fault < 6)
            return AttemptFailed { Reason::AnswerTruncated, "cut" };
        return AttemptAnswered { { 200, {}, std::string(desc.attemptId) } };
    };
    int releases = 0;
    int falseReleases = 0;
    fixture.claims.onRelease = [&](const ClaimKey& key) {
        std::lock_guard lock(mutex);
        ++releases;
        falseReleases += starts[key.requestId];
    };
    constexpr int ids = 300;
    std::map<std::string, std::vector<Outcome>> history;
    std::vector<std::jthread> threads;
    for (unsigned thread = 0; thread < 8; ++thread) {
        threads.emplace_back([&, thread] {
            std::mt19937 generator(thread);
            for (int i = 0; i < ids; ++i) {
                auto request = RunnerFixture::request("o", std::to_string(generator() % ids));
                if (generator() % 8 == 0)
                    request.deadline = fixture.clock.now();
                auto outcome = fixture.handle(request);
                std::lock_guard lock(mutex);
                history[request.id].push_back(std::move(outcome));
            }
        });
    }
    threads.clear();
    int notRun = 0;
    for (const auto& [id, outcomes] : history) {
        CHECK(starts[id] <= 1);
        std::set<std::string> answers;
        for (const auto& it : outcomes) {
            if (const auto* answered = std::get_if<Answered>(&it))
                answers.insert(answered->body);
            notRun += std::holds_alternative<NotRun>(it) ? 1 : 0;
        }
        CHECK(answers.size() <= 1);
    }
    // A later delivery may start the request after a correct "not run", so this is checked when the claim is released.
    CHECK(falseReleases == 0);
    CHECK(notRun == releases);
    CHECK(notRun > 0);
    CHECK(fixture.pool.slotsInUse() == 0);
}

TEST_CASE("a refusal is reported as not-run only after the claim was released, and as unknown if the release is not confirmed", "[runner]")
{
    RunnerFixture fixture;
    CHECK(reasonOf<NotRun>(fixture.handle(RunnerFixture::request("o", "1"))) == Reason::NoEndpoint);
    fixture.pool.capacities["o"].ownZone = 1;
    CHECK(std::holds_alternative<Answered>(fixture.handle(RunnerFixture::request("o", "1"))));
    fixture.pool.capacities["o"].ownZone = 0;
    fixture.claims.isReleaseConfirmed = false;
    CHECK(reasonOf<Unknown>(fixture.handle(RunnerFixture::request("o", "2"))) == Reason::NoEndpoint);
}

TEST_CASE("if claims are unavailable, a request with the caller's id ends as unknown, since an earlier delivery may have run", "[runner]")
{
    RunnerFixture fixture;
    fixture.pool.capacities["o"].ownZone = 1;
    fixture.claims.isUnavailable = true;
    auto request = RunnerFixture::request("o", "1");
    CHECK(reasonOf<Unknown>(fixture.handle(request)) == Reason::ClaimsUnavailable);
    request.hasCallerId = false;
    CHECK(reasonOf<NotRun>(fixture.handle(request)) == Reason::ClaimsUnavailable);
}

TEST_CASE("the outcome is settled before the caller receives it, and a resend gets the first outcome", "[runner]")
{
    RunnerFixture fixture;
    fixture.pool.capacities["o"].ownZone = 1;
    Gate gate;
    fixture.client.onSend = [&](const AttemptDesc& desc) -> AttemptResult {
        gate.pass();
        return fail(desc);
    };
    FakeCaller caller;
    auto first = fixture.start(RunnerFixture::request("o", "1"), caller);
    gate.awaitArrivals(1);
    CHECK(reasonOf<Unknown>(fixture.handle(RunnerFixture::request("o", "1"))) == Reason::InProgress);
    // A dispatched request continues after its caller has disconnected.
    caller.close();
    gate.open();
    CHECK(reasonOf<Unknown>(first.get()) == Reason::EndpointFailed);
    CHECK(fixture.claims.settled.size() == 1);
    CHECK(reasonOf<Unknown>(fixture.handle(RunnerFixture::request("o", "1"))) == Reason::EndpointFailed);
}

TEST_CASE("an idempotent request makes no claim and is retried on another endpoint", "[runner]")
{
    RunnerFixture fixture;
    fixture.pool.capacities["a"] = { 1, 1 };
    std::vector<std::string> attempts;
    fixture.client.onSend = [&](const AttemptDesc& desc) -> AttemptResult {
        attempts.emplace_back(desc.attemptId);
        if (attempts.size() == 1)
            return fail(desc);
        return AttemptAnswered { { 200, {}, "ok" } };
    };
    CHECK(std::holds_alternative<Answered>(fixture.handle(RunnerFixture::request("a", "1"))));
    CHECK(fixture.claims.calls == 0);
    REQUIRE(attempts.size() == 2);
    CHECK(attempts[0] != attempts[1]);
    CHECK(fixture.pool.capacities["a"].ownZoneInUse + fixture.pool.capacities["a"].otherZoneInUse == 0);
    // The first attempt may still be running, so its permit is held.
    CHECK(fixture.running("x") == 1);
}

TEST_CASE("retries stay within the budget when every attempt fails", "[runner]")
{
    RunnerFixture fixture;
    fixture.pool.capacities["a"].ownZone = 4;
    fixture.authority.limitParts["x"] = 100000;
    std::atomic<int> attempts { 0 };
    fixture.client.onSend = [&](const AttemptDesc& desc) {
        ++attempts;
        return fail(desc);
    };
    constexpr int perThread = 250;
    std::atomic<int> budgetRefusals { 0 };
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&] {
            for (int i = 0; i < perThread; ++i) {
                auto outcome = fixture.handle(RunnerFixture::request("a", "1"));
                auto* unknown = std::get_if<Unknown>(&outcome);
                budgetRefusals += unknown && unknown->reason == Reason::RetryBudgetEmpty ? 1 : 0;
            }
        });
    }
    threads.clear();
    CHECK(attempts <= 4 * perThread * 1.1 + RetryBudget::maxTokens);
    CHECK(attempts > 4 * perThread);
    CHECK(budgetRefusals > 0);
}

TEST_CASE("a server error is retried for idempotent requests only, and is returned to the caller if it persists", "[runner]")
{
    RunnerFixture fixture;
    fixture.pool.capacities["a"] = { 1, 1 };
    fixture.authority.limitParts["x"] = 10;
    int attempts = 0;
    int failures = 1;
    fixture.client.onSend = [&](const AttemptDesc&) -> AttemptResult {
        return AttemptAnswered { { ++attempts <= failures ? 500 : 200, {}, "" } };
    };
    CHECK(std::get<Answered>(fixture.handle(RunnerFixture::request("a", "1"))).status == 200);
    CHECK(attempts == 2);
    attempts = 0;
    failures = 100;
    CHECK(std::get<Answered>(fixture.handle(RunnerFixture::request("a", "2"))).status == 500);
    CHECK(attempts > 1);
    attempts = 0;
    fixture.pool.capacities["o"].ownZone = 1;
    auto once = fixture.handle(RunnerFixture::request("o", "3"));
    CHECK(std::get<Answered>(once).status == 500);
    CHECK(attempts == 1);
}

TEST_CASE("an attempt that provably did not start is repeated beyond max_attempts and takes no retry token", "[runner]")
{
    RunnerFixture fixture;
    fixture.pool.capacities["o"].ownZone = 1;
    int attempts = 0;
    fixture.client.onSend = [&](const AttemptDesc&) -> AttemptResult {
        if (++attempts < 6)
            return AttemptNotStarted {};
        return AttemptAnswered { { 200, {}, "ok" } };
    };
    CHECK(std::holds_alternative<Answered>(fixture.handle(RunnerFixture::request("o", "1"))));
    CHECK(attempts == 6);
}

TEST_CASE("a request none of whose attempts started ends as not-run", "[runner]")
{
    RunnerFixture fixture;
    fixture.pool.capacities["o"].ownZone = 1;
    fixture.client.onSend = [&](const AttemptDesc&) -> AttemptResult { return AttemptNotStarted {}; };
    CHECK(reasonOf<NotRun>(fixture.handle(RunnerFixture::request("o", "1", 30))) == Reason::DeadlinePassed);
}

TEST_CASE("a request evicted from a full queue is answered immediately, not at its deadline", "[runner]")
{
    RunnerFixture fixture(1);
    fixture.pool.capacities["a"].ownZone = 1;
    Gate gate;
    fixture.client.onSend = [&](const AttemptDesc&) -> AttemptResult {
        gate.pass();
        return AttemptAnswered { { 200, {}, "ok" } };
    };
    FakeCaller caller;
    auto running = fixture.start(RunnerFixture::request("a", "1", 3600000, "y"), caller);
    gate.awaitArrivals(1);
    auto evicted = fixture.start(RunnerFixture::request("a", "2", 3600000, "y"), caller);
    fixture.awaitQueued(1);
    auto arriving = fixture.start(RunnerFixture::request("a", "3", 3600000, "x"), caller);
    // The gate is closed and the deadlines are an hour away, so only the eviction can end the request.
    CHECK(reasonOf<NotRun>(evicted.get()) == Reason::OverShare);
    gate.open();
    CHECK(std::holds_alternative<Answered>(running.get()));
    CHECK(std::holds_alternative<Answered>(arriving.get()));
}

TEST_CASE("if the lease expires while a request is queued or granted, it ends as not-run without an attempt", "[runner]")
{
    RunnerFixture fixture;
    fixture.pool.capacities["o"].ownZone = 1;
    int attempts = 0;
    fixture.client.onSend = [&](const AttemptDesc&) -> AttemptResult {
        ++attempts;
        return AttemptAnswered { { 200, {}, "ok" } };
    };
    fixture.pool.onAcquire = [&] { fixture.authority.leaseEndTime = TimePoint {}; };
    CHECK(reasonOf<NotRun>(fixture.handle(RunnerFixture::request("o", "1"))) == Reason::ConfigurationStale);
    CHECK(attempts == 0);
    CHECK(fixture.running("x") == 0);
}

TEST_CASE("the expiry thread refuses queued requests with a key when the lease ends and releases held permits when due", "[runner]")
{
    RunnerFixture fixture;
    fixture.pool.capacities["a"].ownZone = 1;
    fixture.authority.limitParts["x"] = 1;
    std::jthread expiry([&](const std::stop_token& stop) { fixture.scheduler.runExpiry(stop, fixture.clock); });
    fixture.client.onSend = fail;
    auto lost = RunnerFixture::request("o", "1", 50);
    fixture.pool.capacities["o"].ownZone = 1;
    CHECK(std::holds_alternative<Unknown>(fixture.handle(lost)));
    fixture.client.onSend = [](const AttemptDesc&) -> AttemptResult { return AttemptAnswered { { 200, {}, "ok" } }; };
    // Waits an hour unless the permit of the lost attempt is released.
    CHECK(std::holds_alternative<Answered>(fixture.handle(RunnerFixture::request("a", "2", 3600000))));
    fixture.authority.limitParts["x"] = 0;
    fixture.authority.leaseEndTime = fixture.clock.now() + milliseconds(20);
    fixture.scheduler.authorityChanged(fixture.clock.now());
    CHECK(reasonOf<NotRun>(fixture.handle(RunnerFixture::request("a", "3", 3600000))) == Reason::ConfigurationStale);
}

TEST_CASE("a queued request whose key is withdrawn is not started", "[runner]")
{
    RunnerFixture fixture;
    auto catalog = makeCatalog();
    catalog.keys = { { "k1", "x", "", "", false } };
    fixture.authority.setCatalog(catalog);
    std::atomic<int> attempts { 0 };
    fixture.client.onSend = [&](const AttemptDesc&) -> AttemptResult {
        ++attempts;
        return AttemptAnswered { { 200, {}, "" } };
    };
    auto request = RunnerFixture::request("a", "1");
    request.keyId = "k1";
    fixture.pool.capacities["a"].ownZone = 1;
    auto held = fixture.pool.acquire({ "a", false, {} }, fixture.clock.now());
    FakeCaller caller;
    auto outcome = fixture.start(request, caller);
    fixture.awaitQueued(1);
    catalog.keys.front().withdrawn = true;
    fixture.authority.setCatalog(catalog);
    fixture.pool.release(*held, AttemptVerdict::Succeeded, true, fixture.clock.now());
    fixture.runner.endpointsChanged("a");
    CHECK(reasonOf<NotRun>(outcome.get()) == Reason::KeyWithdrawn);
    CHECK(attempts == 0);
    CHECK(fixture.pool.slotsInUse() == 0);
    CHECK(fixture.running("x") == 0);
}

TEST_CASE("a queued request ends as not-run at its deadline or when its caller disconnects", "[runner]")
{
    RunnerFixture fixture;
    fixture.pool.capacities["o"].ownZone = 1;
    fixture.authority.limitParts["x"] = 0;
    CHECK(reasonOf<NotRun>(fixture.handle(RunnerFixture::request("o", "1", 20))) == Reason::DeadlinePassed);
    FakeCaller caller;
    auto waiting = fixture.start(RunnerFixture::request("o", "1", 3600000), caller);
    fixture.awaitQueued(1);
    caller.close();
    CHECK(reasonOf<NotRun>(waiting.get()) == Reason::CallerGone);
    fixture.authority.limitParts["x"] = 1;
    CHECK(std::holds_alternative<Answered>(fixture.handle(RunnerFixture::request("o", "1"))));
}
