#include "peer/claim_server_p.h"

#include <catch2/catch.hpp>

using namespace vanillalift;

namespace {

constexpr int firstPort = 24710;
constexpr const char* token = "claim-test";

struct Entry {
    Entry(const HolderSelector& selector, size_t index, const std::map<std::string, std::string>& addresses, const Clock& clock)
        : server({ "127.0.0.1", firstPort + static_cast<int>(index), 16, token })
        , transport(std::make_unique<RpcPeerTransport>(addresses, token))
        , claims(std::make_unique<PeerClaims>(makeDesc(selector, index), selector, *transport, clock))
        , methods(*claims)
    {
        methods.addMethods(server);
    }
    static PeerClaimsDesc makeDesc(const HolderSelector& selector, size_t index)
    {
        PeerClaimsDesc desc;
        desc.holder = { selector.entries()[index].name, index + 1, 1000, std::chrono::milliseconds(0) };
        return desc;
    }
    RpcServer server;
    std::unique_ptr<RpcPeerTransport> transport;
    std::unique_ptr<PeerClaims> claims;
    ClaimServer methods;
};

} // namespace

TEST_CASE("over TCP connections, a resend through another entry gets the first response, and a released key can be claimed again", "[claims]")
{
    std::vector<PeerEntry> entries;
    entries.reserve(3);
    std::map<std::string, std::string> addresses;
    for (int n = 0; n < 3; ++n) {
        auto address = "127.0.0.1:" + std::to_string(firstPort + n);
        entries.push_back({ "entry-" + std::to_string(n), "zone-" + std::to_string(n), address });
        addresses[entries.back().name] = address;
    }
    HolderSelector selector(entries);
    SystemClock clock;
    std::vector<std::unique_ptr<Entry>> site;
    site.reserve(3);
    for (size_t n = 0; n < 3; ++n) {
        site.push_back(std::make_unique<Entry>(selector, n, addresses, clock));
        REQUIRE(site.back()->server.start());
    }
    auto now = clock.now();
    auto deadline = now + std::chrono::seconds(20);
    auto retainUntil = now + std::chrono::minutes(5);
    ClaimKey key { "team", "service", "a" };
    REQUIRE(std::holds_alternative<ClaimWon>(site[0]->claims->claim(key, deadline, retainUntil)));
    CHECK(std::holds_alternative<ClaimInProgress>(site[1]->claims->claim(key, clock.now() + std::chrono::milliseconds(100), retainUntil)));
    CHECK(site[0]->claims->release(key));
    REQUIRE(std::holds_alternative<ClaimWon>(site[1]->claims->claim(key, deadline, retainUntil)));
    std::thread settler([&] { site[1]->claims->settle(key, Answered { 200, { { "Content-Type", "x" } }, std::string("\xff\0answer", 8) }); });
    auto result = site[2]->claims->claim(key, deadline, retainUntil);
    settler.join();
    REQUIRE(std::holds_alternative<ClaimSettled>(result));
    auto outcome = std::get<ClaimSettled>(result).outcome;
    REQUIRE(std::holds_alternative<Answered>(outcome));
    CHECK(std::get<Answered>(outcome).body == std::string("\xff\0answer", 8));
    // A server's stop() waits for open connections, so all clients close theirs first.
    for (auto& it : site) {
        it->claims.reset();
        it->transport.reset();
    }
}
