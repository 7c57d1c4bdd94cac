#include "peer/claim_server_p.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace vanillalift;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::minutes retention { 5 };

class ManualClock final : public Clock {
public:
    [[nodiscard]] TimePoint now() const override { return m_now; }
    void advance(Duration by) { m_now += by; }

private:
    TimePoint m_now { std::chrono::hours(1) };
};

HolderSelector selectorOf(size_t count)
{
    std::vector<PeerEntry> entries;
    entries.reserve(count);
    for (size_t n = 0; n < count; ++n)
        entries.push_back({ "entry-" + std::to_string(n), "zone-" + std::to_string(n), "" });
    return HolderSelector(entries);
}

/// Holders without claiming entries, called directly.
struct HolderFixture {
    explicit HolderFixture(size_t count)
        : selector(selectorOf(count))
        , holders(count)
    {
        for (size_t n = 0; n < count; ++n)
            start(n, milliseconds(0));
    }
    void start(size_t n, milliseconds recoveryTime)
    {
        ClaimHolderDesc desc { selector.entries()[n].name, ++lastIncarnation, 100, recoveryTime };
        holders[n] = std::make_unique<ClaimHolder>(desc, selector, clock);
    }
    void restart(size_t n) { start(n, retention); }
    void recover(size_t n)
    {
        holders[n]->recover([this](const std::string& peer, const nlohmann::json& params) -> std::optional<nlohmann::json> {
            return isPartitioned ? std::nullopt : std::optional(holders[selector.find(peer)]->copyClaims(params));
        });
    }
    ClaimVerdict claim(size_t n, const ClaimAttempt& attempt)
    {
        auto message = holders[n]->makeMessage({ "team", "service", "request" }, attempt, clock.now() + retention);
        return holders[n]->claim(message).at("verdict").get<ClaimVerdict>();
    }

    ManualClock clock;
    HolderSelector selector;
    uint64_t lastIncarnation = 0;
    bool isPartitioned = false;
    std::vector<std::unique_ptr<ClaimHolder>> holders;
};

const ClaimAttempt attemptA { "entry-a", 1, 1 };
const ClaimAttempt attemptB { "entry-b", 1, 1 };

} // namespace

TEST_CASE("a restarted holder votes only after copying its peers' claims, and then knows the claims that it had lost", "[claims]")
{
    auto count = GENERATE(2U, 3U);
    HolderFixture site(count);
    CHECK(site.claim(0, attemptA) == ClaimVerdict::Granted);
    CHECK(site.claim(1, attemptA) == ClaimVerdict::Granted);
    site.restart(0);
    site.isPartitioned = true;
    site.recover(0);
    CHECK(site.claim(0, attemptB) == ClaimVerdict::Recovering);
    site.isPartitioned = false;
    site.recover(0);
    CHECK(site.holders[0]->isRecovered());
    CHECK(site.claim(0, attemptB) == ClaimVerdict::Held);
}

TEST_CASE("two holders that restart together do not recover from each other's incomplete claim tables", "[claims]")
{
    HolderFixture site(3);
    site.claim(0, attemptA);
    site.claim(1, attemptA);
    site.restart(0);
    site.restart(1);
    for (int n = 0; n < 3; ++n) {
        site.recover(0);
        site.recover(1);
    }
    CHECK(site.claim(0, attemptB) == ClaimVerdict::Recovering);
    CHECK(site.claim(1, attemptB) == ClaimVerdict::Recovering);
    site.clock.advance(retention);
    CHECK(site.claim(0, attemptB) == ClaimVerdict::Granted);
}

TEST_CASE("two of four holders that restart together keep voting on keys that only one of them holds", "[claims]")
{
    HolderFixture site(4);
    site.restart(0);
    site.restart(1);
    for (int n = 0; n < 3; ++n) {
        site.recover(0);
        site.recover(1);
    }
    bool hasRestartedVote = false;
    for (int n = 0; n < 40; ++n) {
        ClaimKey key { "team", "service", std::to_string(n) };
        auto holders = site.selector.holders(key);
        bool isHeldByBoth = std::count(holders.begin(), holders.end(), 0U) + std::count(holders.begin(), holders.end(), 1U) == 2;
        for (auto it : holders) {
            auto reply = site.holders[it]->claim(site.holders[it]->makeMessage(key, attemptA, site.clock.now() + retention));
            bool isRestarted = it < 2;
            CHECK((reply.at("verdict") == ClaimVerdict::Granted) == !(isHeldByBoth && isRestarted));
            hasRestartedVote = hasRestartedVote || (isRestarted && !isHeldByBoth);
        }
    }
    CHECK(hasRestartedVote);
}

TEST_CASE("when all entries restart together, none votes before the longest claim has expired", "[claims]")
{
    auto count = GENERATE(1U, 2U, 3U);
    HolderFixture site(count);
    for (size_t n = 0; n < count; ++n)
        site.restart(n);
    for (size_t n = 0; n < count; ++n)
        site.recover(n);
    site.clock.advance(retention - std::chrono::nanoseconds(1));
    for (size_t n = 0; n < count; ++n)
        CHECK(site.claim(n, attemptA) == ClaimVerdict::Recovering);
    site.clock.advance(std::chrono::nanoseconds(1));
    for (size_t n = 0; n < count; ++n) {
        CHECK(site.holders[n]->isRecovered());
        CHECK(site.claim(n, attemptA) == ClaimVerdict::Granted);
    }
}

TEST_CASE("a rolling restart that waits until each entry has recovered loses no claim", "[claims]")
{
    HolderFixture site(3);
    site.claim(0, attemptA);
    site.claim(1, attemptA);
    for (size_t n = 0; n < 3; ++n) {
        site.restart(n);
        site.recover(n);
        REQUIRE(site.holders[n]->isRecovered());
    }
    for (size_t n = 0; n < 3; ++n)
        CHECK(site.claim(n, attemptB) == ClaimVerdict::Held);
}

namespace {

/// Restarts entry-1 after its vote and before the vote of entry-2. The claiming entry, entry-0, is not a holder of the key.
class RestartBetweenVotes final : public PeerTransport {
public:
    explicit RestartBetweenVotes(HolderFixture& site)
        : m_site(site)
    {
    }
    RpcResult call(const std::string& peer, const std::string& method, const nlohmann::json& params, TimePoint /*deadline*/) override
    {
        std::lock_guard lock(m_mutex);
        if (method != "claim" || peer == "entry-3")
            return tl::unexpected(RpcError { RpcErrorCode::NoResponse, "lost" });
        if (peer == "entry-1")
            return m_firstVote = vote(1, params);
        vote(1, params);
        if (!m_isRestarted) {
            m_site.restart(1);
            m_site.recover(1);
            m_isRestarted = true;
        }
        return vote(2, params);
    }

private:
    nlohmann::json vote(size_t n, const nlohmann::json& params)
    {
        if (n == 1 && !m_firstVote.is_null())
            return m_firstVote;
        auto reply = m_site.holders[n]->claim(params);
        if (n == 1)
            m_firstVote = reply;
        return reply;
    }
    HolderFixture& m_site;
    std::mutex m_mutex;
    bool m_isRestarted = false;
    nlohmann::json m_firstVote;
};

} // namespace

TEST_CASE("a vote that its holder lost in a restart is not counted together with a vote granted after the copy", "[claims]")
{
    HolderFixture site(4);
    int n = 0;
    ClaimKey key { "team", "service", "0" };
    while (site.selector.holders(key).size() != 3 || std::ranges::count(site.selector.holders(key), 0U) != 0)
        key.requestId = std::to_string(++n);
    RestartBetweenVotes transport(site);
    SystemClock clock;
    PeerClaimsDesc desc;
    desc.holder = { "entry-0", 1, 100, milliseconds(0) };
    desc.callTimeout = milliseconds(2000);
    auto now = clock.now();
    {
        PeerClaims claims(desc, selectorOf(4), transport, clock);
        CHECK_FALSE(std::holds_alternative<ClaimWon>(claims.claim(key, now + milliseconds(500), now + retention)));
    }
    CHECK(site.holders[1]->isRecovered());
}
