#include <catch2/catch.hpp>

#include "node/heartbeat_cache_p.h"

using namespace vanillalift;
using namespace vanillalift::node;
using std::chrono::seconds;

namespace {

HeartbeatRequest heartbeatOf(const std::string& id, int64_t startedAtMs, uint64_t sequence)
{
    HeartbeatRequest request;
    request.endpoint.id = id;
    request.endpoint.startedAtMs = startedAtMs;
    request.sequence = sequence;
    return request;
}

} // namespace

TEST_CASE("a heartbeat that arrives late does not replace a newer one that is kept for the next leader", "[heartbeats]")
{
    HeartbeatCache cache;
    TimePoint now(seconds(100));
    cache.add(heartbeatOf("a", 1, 5), now, 1);
    cache.add(heartbeatOf("a", 1, 4), now + seconds(1), 1);
    CHECK(cache.all().at("a").request.sequence == 5);
    CHECK(cache.all().at("a").receivedAt == now);
    cache.add(heartbeatOf("a", 2, 1), now + seconds(2), 1);
    CHECK(cache.all().at("a").request.endpoint.startedAtMs == 2);
}

TEST_CASE("heartbeats of endpoints that have left or are silent are not kept", "[heartbeats]")
{
    HeartbeatCache cache;
    TimePoint now(seconds(100));
    cache.add(heartbeatOf("a", 1, 1), now, 1);
    cache.add(heartbeatOf("b", 1, 1), now + seconds(2), 1);
    cache.add(heartbeatOf("c", 1, 1), now + seconds(2), 1);
    cache.remove("c");
    cache.prune(now + seconds(1));
    CHECK(cache.all().size() == 1);
    CHECK(cache.all().contains("b"));
}

// Guards against endpoints that a new leader does not use because their records had not arrived when their heartbeats were repeated.
TEST_CASE("each heartbeat is sent once to the leader of a term, and those that are not sent are passed again", "[heartbeats]")
{
    HeartbeatCache cache;
    TimePoint now(seconds(100));
    cache.add(heartbeatOf("a", 1, 1), now, 1);
    cache.add(heartbeatOf("b", 1, 1), now, 1);
    std::vector<std::string> sent;
    bool isRecorded = false;
    auto send = [&](const HeartbeatRequest& request) {
        if (request.endpoint.id == "b" && !isRecorded)
            return false;
        sent.push_back(request.endpoint.id);
        return true;
    };
    CHECK(cache.sendOnce(1, send) == 0);
    CHECK(cache.sendOnce(2, send) == 1);
    CHECK(cache.sendOnce(2, send) == 0);
    isRecorded = true;
    CHECK(cache.sendOnce(2, send) == 1);
    CHECK(sent == std::vector<std::string> { "a", "b" });
}
