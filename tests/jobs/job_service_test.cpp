#include <catch2/catch.hpp>

#include "endpoint_sim.h"
#include "node/job_service_p.h"

using namespace vanillalift;
using namespace vanillalift::sim;
using node::ClientRequest;
using node::ClientVerb;
using node::Reply;
using node::ReplyStatus;

namespace {

/// The request handler of a leader, with its contact to the other controllers under the test's control.
struct ServiceFixture {
    ServiceFixture()
        : site(3, 2)
        , log(site.world.clock, -1, { 0, 0, 0 })
        , batcher(loop, site.world.clock, [](const std::string&) { return 1; })
        , service({ [this] { return hasLeaderAuthority; }, [this] { return isSoleLeader; }, [](const node::JoinRequest&) {} }, site.leader.store, *site.leader.dispatcher, batcher, site.world.clock, log)
    {
        auto catalog = site.leader.store.catalog();
        catalog.version = 2;
        REQUIRE_FALSE(catalog.queues.empty());
        queue = catalog.queues.front();
        queue.isPublic = true;
        catalog.queues.front() = queue;
        site.leader.propose(PutCatalog { catalog });
        site.run(milliseconds(200));
    }

    ReplyStatus send(node::Request request)
    {
        std::optional<Reply> reply;
        service.handle(std::move(request), [&](const Reply& it) { reply = it; });
        REQUIRE(reply);
        return reply->status;
    }

    ReplyStatus send(ClientVerb verb, const std::string& id)
    {
        ClientRequest request;
        request.verb = verb;
        request.host = queue.host;
        request.path = queue.pathPrefix + id;
        return send(request);
    }

    Site site;
    EventLog log;
    net::EventLoop loop;
    node::CommandBatcher batcher;
    Queue queue;
    bool hasLeaderAuthority = true;
    bool isSoleLeader = true;
    node::JobService service;
};

} // namespace

// Guards against a job that its client takes for cancelled, or for lost, because a leader that was replaced less than a second
// ago does not know it: the newer leader has accepted it and runs it.
TEST_CASE("a leader that may have been replaced does not report a job as unknown", "[service]")
{
    ServiceFixture f;
    CHECK(f.send(ClientVerb::Read, "00000000000000aa") == ReplyStatus::NoSuchJob);
    CHECK(f.send(ClientVerb::Cancel, "00000000000000aa") == ReplyStatus::NoSuchJob);
    CHECK(f.send(node::ReadWaveRequest { 7 }) == ReplyStatus::NoSuchWave);
    f.isSoleLeader = false;
    CHECK(f.send(ClientVerb::Read, "00000000000000aa") == ReplyStatus::NotLeader);
    CHECK(f.send(ClientVerb::Cancel, "00000000000000aa") == ReplyStatus::NotLeader);
    CHECK(f.send(node::ReadWaveRequest { 7 }) == ReplyStatus::NotLeader);
    f.hasLeaderAuthority = false;
    CHECK(f.send(ClientVerb::Read, "00000000000000aa") == ReplyStatus::NotLeader);
}
