#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "caller/caller_server_p.h"
#include "raw_client.h"

#include <future>
#include <random>

using namespace vanillalift;

namespace {

class FakeHandler final : public RequestHandler {
public:
    MAKE_MOCK2(handle, Outcome(const Request&, const CallerConnection&), override);
};

class FakeAuthority final : public Authority {
public:
    [[nodiscard]] CatalogPtr catalog() const override { return current; }
    [[nodiscard]] TimePoint leaseEnd() const override { return end; }
    [[nodiscard]] int64_t limitPart(std::string_view /*team*/, TimePoint /*now*/) const override { return 1; }

    CatalogPtr current;
    TimePoint end = TimePoint::max();
};

CatalogPtr makeCatalog()
{
    Catalog catalog;
    catalog.profiles = { { .name = "keyed", .idempotent = true, .timeoutMs = 3000 }, { .name = "once", .timeoutMs = 3000 },
        { .name = "open", .idempotent = true, .timeoutMs = 3000, .openToAll = true, .isolationPeriodMs = 60000 } };
    catalog.services = { { "quote", "keyed", { "bench" } }, { "status", "open", {} }, { "ticket", "once", { "bench" } } };
    catalog.teams = { { "bench", 1, 8 }, { "shops", 1, 8 } };
    catalog.keys = { { "k1", "bench", "aa", *hashKeySecret("aa", "bench-secret"), false }, { "k2", "shops", "bb", *hashKeySecret("bb", "shops-secret"), false },
        { "k3", "bench", "cc", *hashKeySecret("cc", "old-secret"), true } };
    return std::make_shared<const Catalog>(std::move(catalog));
}

struct Fixture {
    explicit Fixture(uint64_t maxBodyBytes = 1000)
    {
        authority.current = makeCatalog();
        server = std::make_unique<CallerServer>(CallerServerDesc { "entry-1", { .address = "127.0.0.1", .maxActiveRequests = 4, .maxBodyBytes = maxBodyBytes } },
            clock, authority, handler, metrics, decisions, burns);
        REQUIRE(server->start());
    }

    std::string roundTrip(const std::string& request) const { return RawClient(server->port()).roundTrip(request); }
    /// Sends a POST with the given header lines and checks the refusal.
    void checkRefusal(const std::string& target, const std::string& headers, int status, std::string_view reason, std::string_view outcome = "not-run") const
    {
        INFO(target << " " << headers);
        auto response = roundTrip("POST " + target + " HTTP/1.1\r\n" + headers + "Content-Length: 0\r\n\r\n");
        CHECK(response.rfind("HTTP/1.1 " + std::to_string(status), 0) == 0);
        CHECK(response.find("Vanillalift-Reason: " + std::string(reason) + "\r\n") != std::string::npos);
        CHECK(response.find("Vanillalift-Outcome: " + std::string(outcome) + "\r\n") != std::string::npos);
        CHECK(response.find("-secret") == std::string::npos);
        bool isRetryable = status == 429 || status == 503 || status == 504;
        CHECK((response.find("Retry-After: ") != std::string::npos) == isRetryable);
    }

    SystemClock clock;
    FakeAuthority authority;
    FakeHandler handler;
    Metrics metrics;
    DecisionLog decisions;
    BurnLog burns;
    std::unique_ptr<CallerServer> server;
};

const std::string goodKey = "Authorization: Bearer k1.bench-secret\r\n";
const std::string someId = "Vanillalift-Request-Id: id-1\r\n";

} // namespace

TEST_CASE("a request reaches the handler as the caller sent it, without key and hop-by-hop headers", "[caller]")
{
    Fixture it;
    Request seen;
    REQUIRE_CALL(it.handler, handle(trompeloeil::_, trompeloeil::_)).LR_SIDE_EFFECT(seen = _1).RETURN(Answered { 201, { { "X-A", "b" }, { "X-Bad", "a\r\nX-Forged: 1" }, { "Content-Encoding", "gzip" } }, "whole" });
    auto response = it.roundTrip("POST /s/ticket/a%20b?x=%41 HTTP/1.1\r\nAuthorization: bearer k1.bench-secret\r\nvanillalift-request-id: id%201\r\nVanillalift-Timeout-Ms: 500\r\n"
                                 "X-Custom: 100%25\r\nX-Hop: 1\r\nConnection: keep-alive, X-Hop\r\nRange: bytes=0-1\r\nAccept-Encoding: gzip\r\n"
                                 "Content-Type: application/x-www-form-urlencoded\r\nContent-Length: 3\r\n\r\na=1");
    CHECK(seen.service == "ticket");
    CHECK(seen.team == "bench");
    CHECK(seen.id == "id%201");
    CHECK(seen.hasCallerId);
    CHECK(seen.target == "/a%20b?x=%41");
    CHECK(seen.body == "a=1");
    std::vector<Header> expected { { "X-Custom", "100%25" }, { "Range", "bytes=0-1" }, { "Accept-Encoding", "gzip" }, { "Content-Type", "application/x-www-form-urlencoded" } };
    CHECK(seen.headers == expected);
    CHECK(response.rfind("HTTP/1.1 201", 0) == 0);
    CHECK(response.find("Vanillalift-Outcome: answered\r\n") != std::string::npos);
    CHECK(response.find("Content-Encoding: gzip\r\n") != std::string::npos);
    CHECK(response.find("X-Forged") == std::string::npos);
    CHECK(response.substr(response.size() - 5) == "whole");
}

TEST_CASE("each malformed, duplicated or rejected header is refused with its own reason", "[caller]")
{
    Fixture it;
    it.checkRefusal("/s/quote/", "", 401, "key-missing");
    it.checkRefusal("/s/quote/", "Authorization: Bearer k1.wrong-secret\r\n", 401, "key-unknown");
    it.checkRefusal("/s/quote/", "Authorization: Bearer k1\r\n", 401, "key-unknown");
    it.checkRefusal("/s/quote/", "Authorization: Bearer k3.old-secret\r\n", 401, "key-withdrawn");
    it.checkRefusal("/s/quote/", "Authorization: Bearer k2.shops-secret\r\n", 403, "team-not-allowed");
    it.checkRefusal("/s/quote/", "Authorization: Basic basic-secret\r\n", 400, "malformed-header");
    it.checkRefusal("/s/quote/", goodKey + goodKey, 400, "malformed-header");
    it.checkRefusal("/s/none/", goodKey, 404, "service-unknown");
    it.checkRefusal("/other", goodKey, 404, "service-unknown");
    it.checkRefusal("/s/quote/", goodKey + "Vanillalift-Request-Id: a b\r\n", 400, "malformed-id");
    it.checkRefusal("/s/quote/", goodKey + "Vanillalift-Request-Id: " + std::string(129, 'a') + "\r\n", 400, "malformed-id");
    it.checkRefusal("/s/quote/", goodKey + someId + someId, 400, "malformed-id");
    for (const char* timeout : { "", "0", "-5", "+5", "1.5", "5s", "99999999999999999999" })
        it.checkRefusal("/s/quote/", goodKey + "Vanillalift-Timeout-Ms: " + timeout + "\r\n", 400, "malformed-timeout");
    it.checkRefusal("/s/quote/", goodKey + "Vanillalift-Timeout-Ms: 5\r\nVanillalift-Timeout-Ms: 6\r\n", 400, "malformed-timeout");
    it.checkRefusal("/s/quote/", goodKey + "Content-Length: 0\r\n", 400, "malformed-header");
    it.checkRefusal("/s/quote/", goodKey + "Transfer-Encoding: chunked\r\n", 400, "malformed-header");
    it.checkRefusal("/s/quote/", "no colon\r\n", 400, "malformed-header");
    it.checkRefusal("/s/quote/", "X: 1\r\n folded\r\n", 400, "malformed-header");
    it.checkRefusal("/s/quote/" + std::string(9000, 'a'), goodKey, 400, "malformed-header");
    it.checkRefusal("/s/quote/", "X: " + std::string(20000, 'a') + "\r\n", 400, "malformed-header");
}

TEST_CASE("a refusal before the claim never reports not-run for an id that may have run earlier", "[caller]")
{
    Fixture it;
    it.checkRefusal("/s/ticket/", someId, 401, "key-missing", "unknown");
    it.checkRefusal("/s/ticket/", "", 401, "key-missing", "not-run");
    it.checkRefusal("/s/ticket/", someId + "bad line\r\n", 400, "malformed-header", "unknown");
    it.checkRefusal("/s/quote/", someId + "bad line\r\n", 400, "malformed-header", "not-run");
    it.checkRefusal("/s/none/", someId, 404, "service-unknown", "unknown");
    it.server->beginShutdown();
    it.checkRefusal("/s/ticket/", goodKey + someId, 503, "shutting-down", "unknown");
    it.checkRefusal("/s/quote/", goodKey + someId, 503, "shutting-down", "not-run");
}

TEST_CASE("an oversized body is refused, whether sent with a Content-Length or chunked", "[caller]")
{
    Fixture it(100);
    auto byLength = it.roundTrip("POST /s/quote/ HTTP/1.1\r\n" + goodKey + "Content-Length: 101\r\n\r\n");
    CHECK(byLength.find("Vanillalift-Reason: payload-too-large") != std::string::npos);
    auto byChunks = it.roundTrip("POST /s/quote/ HTTP/1.1\r\n" + goodKey + "Transfer-Encoding: chunked\r\n\r\nff\r\n" + std::string(255, 'a') + "\r\n0\r\n\r\n");
    CHECK(byChunks.find("Vanillalift-Reason: payload-too-large") != std::string::npos);
}

TEST_CASE("without a lease services that need a key stop and open services continue for isolated_ms", "[caller]")
{
    Fixture it;
    it.authority.end = it.clock.now();
    it.checkRefusal("/s/quote/", goodKey, 503, "configuration-stale");
    std::string team = "unset";
    {
        REQUIRE_CALL(it.handler, handle(trompeloeil::_, trompeloeil::_)).LR_SIDE_EFFECT(team = _1.team).RETURN(Answered { 200, {}, "up" });
        CHECK(it.roundTrip("GET /s/status HTTP/1.1\r\n" + goodKey + "\r\n").find("\r\n\r\nup") != std::string::npos);
    }
    CHECK(team.empty());
    it.authority.end = it.clock.now() - std::chrono::milliseconds(60001);
    it.checkRefusal("/s/status/", "", 503, "configuration-stale");
    it.authority.current = nullptr;
    it.checkRefusal("/s/status/", "", 503, "configuration-stale");
}

TEST_CASE("generated ids differ between two starts of one entry", "[caller]")
{
    FakeAuthority authority;
    authority.current = makeCatalog();
    auto head = parseHttpHead("GET /s/status HTTP/1.1\r\n\r\n", 0);
    RequestParser first(authority, "entry-1");
    RequestParser second(authority, "entry-1");
    auto now = BootClock::now();
    auto a = first.parse(head, now);
    auto b = first.parse(head, now);
    auto c = second.parse(head, now);
    REQUIRE((a && b && c));
    CHECK(a->id != b->id);
    CHECK(a->id != c->id);
    CHECK_FALSE(a->hasCallerId);
}

TEST_CASE("each method is forwarded or refused without hanging", "[caller]")
{
    Fixture it;
    {
        REQUIRE_CALL(it.handler, handle(trompeloeil::_, trompeloeil::_)).WITH(_1.method == "OPTIONS").RETURN(Answered { 204, {}, "" });
        CHECK(it.roundTrip("OPTIONS /s/status/x HTTP/1.1\r\n\r\n").rfind("HTTP/1.1 204", 0) == 0);
    }
    {
        REQUIRE_CALL(it.handler, handle(trompeloeil::_, trompeloeil::_)).WITH(_1.method == "HEAD").RETURN(Answered { 200, {}, "" });
        CHECK(it.roundTrip("HEAD /s/status/x HTTP/1.1\r\n\r\n").rfind("HTTP/1.1 200", 0) == 0);
    }
    for (const char* method : { "TRACE", "CONNECT", "PRI", "BREW" })
        CHECK(it.roundTrip(std::string(method) + " /s/status/x HTTP/1.1\r\n\r\n").rfind("HTTP/1.1 400", 0) == 0);
    CHECK(it.roundTrip("GET /s/status/x HTTP/1.1\r\nContent-Length: 5\r\n\r\nGET /").rfind("HTTP/1.1 400", 0) == 0);
}

TEST_CASE("the handler is notified that its caller has disconnected, and not after it has returned", "[caller]")
{
    Fixture it;
    auto calls = std::make_shared<std::atomic<int>>(0);
    auto waitForClose = [&](const CallerConnection& caller) {
        std::promise<void> gone;
        caller.onClose([&gone, calls] {
            ++*calls;
            gone.set_value();
        });
        gone.get_future().wait();
        return Outcome(NotRun { Reason::CallerGone, "the caller has gone", {} });
    };
    REQUIRE_CALL(it.handler, handle(trompeloeil::_, trompeloeil::_)).LR_RETURN(waitForClose(_2));
    RawClient client(it.server->port());
    client.send("GET /s/status HTTP/1.1\r\n\r\n");
    client.shutdownSend();
    CHECK(client.readResponse().find("Vanillalift-Reason: caller-gone") != std::string::npos);
    it.server->stop();
    CHECK(*calls == 1);
}

TEST_CASE("refusals are counted and logged without the key", "[caller]")
{
    Fixture it;
    it.checkRefusal("/s/quote/", "Authorization: Bearer k2.shops-secret\r\n", 403, "team-not-allowed");
    auto decisions = it.decisions.latest("shops");
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0]["reason"] == "team-not-allowed");
    CHECK(decisions[0]["numbers"].contains("waited_ms"));
    CHECK(it.decisions.latest("bench").empty());
    CHECK(decisions.dump().find("secret") == std::string::npos);
    CHECK(it.metrics.serialize().find(R"(vanillalift_requests_total{outcome="not-run",reason="team-not-allowed",service="quote",team="shops"} 1)") != std::string::npos);
}

TEST_CASE("a handler that throws gives the outcome unknown and keeps the server alive", "[caller]")
{
    Fixture it;
    {
        REQUIRE_CALL(it.handler, handle(trompeloeil::_, trompeloeil::_)).THROW(std::runtime_error("fault"));
        auto response = it.roundTrip("GET /s/status HTTP/1.1\r\n\r\n");
        CHECK(response.find("Vanillalift-Outcome: unknown") != std::string::npos);
        CHECK(response.find("EXCEPTION_WHAT") == std::string::npos);
    }
    it.checkRefusal("/s/none/", "", 404, "service-unknown");
}

TEST_CASE("each randomly corrupted request is refused or answered, and the server stays up", "[caller]")
{
    Fixture it;
    ALLOW_CALL(it.handler, handle(trompeloeil::_, trompeloeil::_)).RETURN(Answered { 200, {}, "ok" });
    const std::string whole = "POST /s/quote/x HTTP/1.1\r\nHost: a\r\n" + goodKey + someId + "Vanillalift-Timeout-Ms: 100\r\nContent-Length: 4\r\n\r\nbody";
    std::mt19937 random(1);
    for (int n = 0; n < 300; ++n) {
        auto text = whole;
        for (auto corruptions = 1 + random() % 4; corruptions > 0; --corruptions) {
            auto at = random() % text.size();
            switch (random() % 3) {
            case 0:
                text[at] = static_cast<char>(random());
                break;
            case 1:
                text.erase(at, 1 + random() % 8);
                break;
            default:
                text.insert(at, 1 + random() % 8, static_cast<char>(random()));
                break;
            }
            if (text.empty())
                break;
        }
        RawClient client(it.server->port());
        client.send(text);
        client.shutdownSend();
        auto response = client.readResponse();
        INFO("case " << n << ": " << text);
        CHECK((response.empty() || response.find("Vanillalift-Outcome: ") != std::string::npos));
    }
    CHECK(it.roundTrip(whole).rfind("HTTP/1.1 200", 0) == 0);
}
