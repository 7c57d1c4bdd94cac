#include "peer/claim_server_p.h"

#include <malloc.h>
#include <popt.h>

#include <algorithm>
#include <iostream>

using namespace vanillalift;

/// Measures the latency of claim and settle with three holders over loopback, and a holder's memory for each claim.
namespace {

/// An entry that holds claims, with its server and its connections to the others.
struct BenchEntry {
    BenchEntry(const HolderSelector& ring, size_t index, const std::map<std::string, std::string>& addresses, int port, const Clock& clock)
        : server({ "127.0.0.1", port, 32, "" })
        , transport(std::make_unique<RpcPeerTransport>(addresses, ""))
        , claims(std::make_unique<PeerClaims>(makeClaimsDesc(ring, index), ring, *transport, clock))
        , methods(*claims)
    {
        methods.addMethods(server);
    }
    static PeerClaimsDesc makeClaimsDesc(const HolderSelector& ring, size_t index)
    {
        PeerClaimsDesc desc;
        desc.holder = { ring.entries()[index].name, index + 1, 1000000, std::chrono::milliseconds(0) };
        return desc;
    }
    RpcServer server;
    std::unique_ptr<RpcPeerTransport> transport;
    std::unique_ptr<PeerClaims> claims;
    ClaimServer methods;
};

int measureLatency(int firstPort, int count)
{
    std::vector<PeerEntry> entries;
    entries.reserve(3);
    std::map<std::string, std::string> addresses;
    for (int n = 0; n < 3; ++n) {
        auto address = "127.0.0.1:" + std::to_string(firstPort + n);
        entries.push_back({ "entry-" + std::to_string(n), "zone-" + std::to_string(n), address });
        addresses[entries.back().name] = address;
    }
    HolderSelector ring(entries);
    SystemClock clock;
    std::vector<std::unique_ptr<BenchEntry>> benchEntries;
    benchEntries.reserve(entries.size());
    for (size_t n = 0; n < entries.size(); ++n) {
        benchEntries.push_back(std::make_unique<BenchEntry>(ring, n, addresses, firstPort + static_cast<int>(n), clock));
        if (!benchEntries.back()->server.start()) {
            std::cerr << "cannot bind " << entries[n].address << "\n";
            return 1;
        }
    }
    std::vector<double> micros;
    micros.reserve(static_cast<size_t>(count));
    for (int n = 0; n < count; ++n) {
        ClaimKey key { "team", "service", "request-" + std::to_string(n) };
        auto start = clock.now();
        auto result = benchEntries[0]->claims->claim(key, start + std::chrono::seconds(5), start + std::chrono::minutes(15));
        if (!std::holds_alternative<ClaimWon>(result)) {
            std::cerr << "claim " << n << " was not granted\n";
            return 1;
        }
        benchEntries[0]->claims->settle(key, Answered { 200, {}, "answer" });
        micros.push_back(std::chrono::duration<double, std::micro>(clock.now() - start).count());
    }
    std::sort(micros.begin(), micros.end());
    std::cout << "claim+settle us: p50 " << micros[micros.size() / 2] << " p99 " << micros[micros.size() * 99 / 100] << " of " << count << "\n";
    // RpcServer::stop() waits until open connections end, so all clients close theirs first.
    for (auto& it : benchEntries) {
        it->claims.reset();
        it->transport.reset();
    }
    return 0;
}

void measureMemory(int count)
{
    ClaimTable table(static_cast<size_t>(count));
    auto now = BootClock::now();
    auto before = mallinfo2().uordblks;
    for (int n = 0; n < count; ++n) {
        // 36 characters, as a UUID has.
        auto id = std::to_string(n);
        id.insert(0, 36 - id.size(), '0');
        table.claim({ "team-one", "service-one", id }, { "entry-1", 1, static_cast<uint64_t>(n) + 1 }, now + std::chrono::minutes(15), now);
    }
    std::cout << "holder's memory per claim: " << (mallinfo2().uordblks - before) / static_cast<size_t>(count) << " B of " << count << "\n";
}

} // namespace

int main(int argc, const char** argv)
{
    int count = 5000;
    int port = 24750;
    std::array<poptOption, 4> options { { { "count", 'n', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &count, 0, "number of claims", "N" },
        { "port", 'p', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &port, 0, "first of three loopback ports", "PORT" }, POPT_AUTOHELP POPT_TABLEEND } };
    auto* context = poptGetContext(nullptr, argc, argv, options.data(), 0);
    auto ec = poptGetNextOpt(context);
    poptFreeContext(context);
    if (ec != -1 || count < 1 || port < 1024 || port > 65532) {
        std::cerr << "usage: vanillalift-claim-bench [--count N] [--port PORT]\n";
        return 2;
    }
    measureMemory(count);
    return measureLatency(port, count);
}
