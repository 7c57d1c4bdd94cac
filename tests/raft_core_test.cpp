#include <catch2/catch.hpp>

#include "replica/raft_core_p.h"

#include <vanillalift/config.h>

#include <nlohmann/json.hpp>

using namespace vanillalift;
using namespace vanillalift::raft;

namespace {

using std::chrono::milliseconds;

const ReplicaMembers threeMembers { { "a", "sa", true }, { "b", "sb", true }, { "c", "sc", true } };

/// One core; the test sends the messages of its peers.
struct Fixture {
    explicit Fixture(RecoveredState recovered = { "sa", {}, { 0, 0, threeMembers }, {} })
        : core({ .name = "a" }, std::move(recovered), now)
    {
    }

    Actions step(Input input)
    {
        auto actions = core.step(std::move(input), now);
        bool persists = std::any_of(actions.begin(), actions.end(), [](const auto& it) { return std::holds_alternative<Persist>(it); });
        if (!persists)
            return actions;
        auto more = step(Persisted { core.lastIndex() });
        actions.insert(actions.end(), more.begin(), more.end());
        return actions;
    }

    Actions receive(const std::string& from, uint64_t term, MessageBody body, const std::string& storage = "")
    {
        return step(Message { from, storage.empty() ? "s" + from : storage, "a", term, std::move(body) });
    }

    Actions wait(milliseconds time)
    {
        now += time;
        return step(Tick {});
    }

    uint64_t elect()
    {
        wait(milliseconds(301));
        auto term = core.status().term;
        receive("b", term, VoteReply { true, true, term + 1 });
        receive("b", term + 1, VoteReply { false, true, term + 1 });
        REQUIRE(core.status().role == ReplicaRole::Leader);
        return term + 1;
    }

    TimePoint now { std::chrono::seconds(1000) };
    RaftCore core;
};

template <typename T>
std::vector<T> bodies(const Actions& actions)
{
    std::vector<T> found;
    for (const auto& it : actions) {
        const auto* send = std::get_if<Send>(&it);
        if (send && std::holds_alternative<T>(send->message.body))
            found.push_back(std::get<T>(send->message.body));
    }
    return found;
}

template <typename T>
size_t count(const Actions& actions)
{
    return static_cast<size_t>(std::count_if(actions.begin(), actions.end(), [](const auto& it) { return std::holds_alternative<T>(it); }));
}

std::optional<ProposeErrorCode> errorFor(const Actions& actions, uint64_t id)
{
    for (const auto& it : actions) {
        const auto* respond = std::get_if<Respond>(&it);
        if (respond && respond->id == id && std::holds_alternative<ProposeError>(respond->response))
            return std::get<ProposeError>(respond->response).code;
    }
    return std::nullopt;
}

} // namespace

// Guards against the case of figure 8 of the Raft paper: an entry of an earlier term is stored by a majority and still
// overwritten.
TEST_CASE("an entry of an earlier term is committed only with one of the current term", "[raft]")
{
    Fixture f({ "sa", { 2, "" }, { 0, 0, threeMembers }, { { 1, 2, EntryKind::Command, "old" } } });
    auto term = f.elect();
    auto actions = f.receive("b", term, AppendReply { 1, true, 1 });
    CHECK(count<Apply>(actions) == 0);
    CHECK(f.core.status().commitIndex == 0);
    actions = f.receive("b", term, AppendReply { 2, true, 2 });
    CHECK(count<Apply>(actions) == 2);
}

// Guards against a replica that lost its disk and votes twice in one term, once per storage id.
TEST_CASE("a request for another storage id gets no vote, and a vote from one is not counted", "[raft]")
{
    Fixture f;
    CHECK(f.receive("b", 5, VoteRequest { false, 9, 4, "lost" }).empty());
    CHECK(f.core.status().term == 0);
    f.wait(milliseconds(301));
    f.receive("b", 0, VoteReply { true, true, 1 }, "new");
    CHECK(f.core.status().role == ReplicaRole::PreCandidate);
    f.receive("b", 0, VoteReply { true, true, 1 });
    CHECK(f.core.status().role == ReplicaRole::Candidate);
}

// Guards against a replica with an empty disk becoming a candidate.
TEST_CASE("a replica that is not a voter under its storage id never starts an election", "[raft]")
{
    Fixture f({ "new", {}, { 0, 0, threeMembers }, {} });
    CHECK(f.wait(milliseconds(1000)).empty());
    CHECK(f.core.status().role == ReplicaRole::Follower);
}

// Guards against a replica that rejoins after a partition and deposes a healthy leader.
TEST_CASE("a pre-vote is rejected while there is contact with a leader", "[raft]")
{
    Fixture f;
    f.receive("b", 1, AppendRequest { 1 });
    auto replies = bodies<VoteReply>(f.receive("c", 2, VoteRequest { true, 9, 1, "sa" }));
    REQUIRE(replies.size() == 1);
    CHECK_FALSE(replies[0].granted);
    CHECK(f.core.status().term == 1);
    f.now += milliseconds(151);
    replies = bodies<VoteReply>(f.receive("c", 2, VoteRequest { true, 9, 1, "sa" }));
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].granted);
}

// Guards against a vote for a candidate that lacks entries, and two votes in one term, also across a restart.
TEST_CASE("a vote is durable, granted once per term, and only for an up-to-date log", "[raft]")
{
    Fixture f({ "sa", { 2, "" }, { 0, 0, threeMembers }, { { 1, 2, EntryKind::Command, "x" } } });
    CHECK_FALSE(bodies<VoteReply>(f.receive("b", 3, VoteRequest { false, 0, 0, "sa" })).at(0).granted);
    auto actions = f.receive("b", 3, VoteRequest { false, 1, 2, "sa" });
    REQUIRE(std::holds_alternative<Persist>(actions.at(0)));
    CHECK(std::get<Persist>(actions[0]).hardState->vote == "b");
    CHECK(bodies<VoteReply>(actions).at(0).granted);
    CHECK_FALSE(bodies<VoteReply>(f.receive("c", 3, VoteRequest { false, 5, 2, "sa" })).at(0).granted);
}

// Guards against reporting a proposal as failed that the next leader may still commit.
TEST_CASE("a proposal of a leader that steps down is reported with an unknown outcome", "[raft]")
{
    Fixture f;
    f.elect();
    CHECK_FALSE(errorFor(f.step(Propose { 7, "x" }), 7));
    CHECK(errorFor(f.receive("b", 9, AppendRequest { 1 }), 7) == ProposeErrorCode::OutcomeUnknown);
    CHECK(errorFor(f.step(Propose { 8, "x" }), 8) == ProposeErrorCode::NotLeader);
}

// Guards against an entry too large for any message, and unbounded growth of the log while no majority answers.
TEST_CASE("a proposal that is too large, or one too many, is rejected and not written", "[raft]")
{
    Fixture f;
    f.elect();
    CHECK(errorFor(f.step(Propose { 1, std::string(config::maxCommandBytes + 1, 'x') }), 1) == ProposeErrorCode::TooLarge);
    CHECK(f.core.lastIndex() == 1);
    for (uint64_t n = 2; n <= 10000; n++)
        f.step(Propose { n, "x" });
    CHECK(errorFor(f.step(Propose { 10001, "x" }), 10001) == ProposeErrorCode::Overloaded);
    CHECK(f.core.lastIndex() == 10000);
}

// Guards against a partitioned leader that keeps accepting proposals and serving reads.
TEST_CASE("a leader without contact with a majority steps down", "[raft]")
{
    Fixture f;
    auto term = f.elect();
    f.step(Propose { 7, "x" });
    f.now += milliseconds(100);
    f.receive("b", term, AppendReply { 1, true, 0 });
    f.wait(milliseconds(100));
    CHECK(f.core.status().role == ReplicaRole::Leader);
    auto actions = f.wait(milliseconds(60));
    CHECK(f.core.status().role == ReplicaRole::Follower);
    CHECK(errorFor(actions, 7) == ProposeErrorCode::OutcomeUnknown);
}

// Guards against a stale read: an acknowledgement of a message sent before the read does not confirm leadership for it.
TEST_CASE("a read waits for a majority's answer to a message sent after it", "[raft]")
{
    Fixture f;
    auto term = f.elect();
    f.receive("b", term, AppendReply { 1, true, 1 });
    f.step(Propose { 1, "x" });
    f.step(ReadIndex { 2 });
    auto actions = f.receive("b", term, AppendReply { 3, true, 2 });
    CHECK(count<Respond>(actions) == 0);
    auto next = bodies<AppendRequest>(actions);
    REQUIRE(next.size() == 1);
    CHECK(count<Respond>(f.receive("b", term, AppendReply { next[0].sequence, true, 2 })) == 1);
}

// Guards against a delayed, reordered append that truncates entries acknowledged in the meantime.
TEST_CASE("a delayed duplicate of an append changes nothing", "[raft]")
{
    Fixture f;
    std::vector<LogEntry> entries { { 1, 1, EntryKind::Command, "x" }, { 2, 1, EntryKind::Command, "y" } };
    f.receive("b", 1, AppendRequest { 2, 0, 0, 0, entries });
    entries.pop_back();
    auto actions = f.receive("b", 1, AppendRequest { 1, 0, 0, 0, entries });
    CHECK(f.core.lastIndex() == 2);
    CHECK(count<Persist>(actions) == 0);
    CHECK(bodies<AppendReply>(actions).at(0).matchIndex == 1);
}

// Guards against one round trip per conflicting entry after a long partition.
TEST_CASE("backtracking skips a whole term at once", "[raft]")
{
    std::vector<LogEntry> own;
    for (uint64_t n = 1; n <= 500; n++)
        own.push_back({ n, n <= 10 ? 1U : 2U, EntryKind::Command, "x" });
    Fixture f({ "sa", { 4, "" }, { 0, 0, threeMembers }, own });
    auto reply = bodies<AppendReply>(f.receive("b", 4, AppendRequest { 1, 400, 3, 0, {} })).at(0);
    CHECK_FALSE(reply.success);
    CHECK(reply.conflictTerm == 2);
    CHECK(reply.conflictIndex == 11);
    reply = bodies<AppendReply>(f.receive("b", 4, AppendRequest { 2, 900, 3, 0, {} })).at(0);
    CHECK(reply.conflictIndex == 501);
}

// Guards against disjoint majorities, and against a replacement that has not caught up.
TEST_CASE("membership changes are made one at a time, and a replacement has to have caught up", "[raft]")
{
    Fixture f;
    auto term = f.elect();
    CHECK(errorFor(f.step(RemoveMember { 1, "c" }), 1) == ProposeErrorCode::ChangeInProgress);
    f.receive("b", term, AppendReply { 1, true, 1 });
    CHECK(errorFor(f.step(ReplaceMember { 2, "c", "new" }), 2) == ProposeErrorCode::NotCaughtUp);
    CHECK(errorFor(f.step(RemoveMember { 3, "a" }), 3) == ProposeErrorCode::MemberInvalid);
    f.receive("c", term, AppendReply { 2, true, 1 }, "new");
    CHECK_FALSE(errorFor(f.step(ReplaceMember { 4, "c", "new" }), 4));
    CHECK(errorFor(f.step(RemoveMember { 5, "b" }), 5) == ProposeErrorCode::ChangeInProgress);
    CHECK(f.core.status().members == ReplicaMembers { { "a", "sa", true }, { "b", "sb", true }, { "c", "new", false } });
    // The learner's acknowledgement does not commit the change; the voter's does, and then the learner is promoted.
    f.receive("c", term, AppendReply { 9, true, 2 }, "new");
    CHECK(f.core.status().commitIndex == 1);
    f.receive("b", term, AppendReply { 9, true, 2 });
    CHECK(f.core.status().commitIndex == 2);
    CHECK(f.core.status().members.at(2).isVoter);
}

// Guards against messages queuing up for a slow peer.
TEST_CASE("one append at a time is outstanding for a peer, and an unreachable one gets no entries", "[raft]")
{
    Fixture f;
    auto term = f.elect();
    CHECK(bodies<AppendRequest>(f.step(Propose { 1, "x" })).empty());
    f.receive("b", term, AppendReply { 1, true, 1 });
    f.now += milliseconds(160);
    f.receive("b", term, AppendReply { 2, true, 1 });
    size_t entries = 0;
    for (const auto& it : f.wait(milliseconds(1))) {
        const auto* send = std::get_if<Send>(&it);
        if (send && send->message.to == "c")
            entries += std::get<AppendRequest>(send->message.body).entries.size();
    }
    CHECK(entries == 0);
}

// Guards against a candidate that restarts and votes for another candidate in the term in which it voted for itself.
TEST_CASE("a candidate's own vote is durable before it requests votes", "[raft]")
{
    Fixture f;
    f.wait(milliseconds(301));
    auto actions = f.receive("b", 0, VoteReply { true, true, 1 });
    REQUIRE(std::holds_alternative<Persist>(actions.at(0)));
    CHECK(std::get<Persist>(actions[0]).hardState->vote == "a");
    CHECK(std::get<Persist>(actions[0]).hardState->term == 1);
    CHECK(std::all_of(actions.begin() + 1, actions.end(), [](const auto& it) { return std::get<Send>(it).afterPersist; }));
}

// Guards against conflicting entries of a deposed leader that survive a snapshot, and mixed chunks of two leaders.
TEST_CASE("a snapshot replaces a conflicting log, and its chunks come from one leader", "[raft]")
{
    std::vector<LogEntry> own { { 1, 1, EntryKind::NoOp, "" }, { 2, 1, EntryKind::NoOp, "" }, { 3, 1, EntryKind::NoOp, "" } };
    Fixture f({ "sa", { 1, "" }, { 0, 0, threeMembers }, own });
    f.receive("b", 2, SnapshotChunk { 1, 2, 2, threeMembers, 0, "old", false });
    auto actions = f.receive("c", 3, SnapshotChunk { 1, 2, 2, threeMembers, 3, "tail", true });
    CHECK(count<Restore>(actions) == 0);
    CHECK(bodies<SnapshotReply>(actions).at(0).nextOffset == 0);
    f.receive("c", 3, SnapshotChunk { 2, 2, 2, threeMembers, 0, "new", false });
    f.receive("c", 3, SnapshotChunk { 2, 2, 2, threeMembers, 0, "new", false });
    CHECK(count<Restore>(f.receive("c", 3, SnapshotChunk { 3, 2, 2, threeMembers, 3, "er", true })) == 1);
    CHECK(f.core.lastIndex() == 2);
    CHECK(*f.core.snapshot().data == "newer");
}

// Guards against a configuration that stays in use although its entry was overwritten.
TEST_CASE("overwriting a membership entry restores the configuration before it", "[raft]")
{
    ReplicaMembers other { { "a", "sa", true } };
    Fixture f({ "sa", { 1, "" }, { 0, 0, threeMembers }, { { 1, 1, EntryKind::Members, encodeMembers(other) } } });
    CHECK(f.core.status().members == other);
    f.receive("b", 2, AppendRequest { 1, 0, 0, 0, { { 1, 2, EntryKind::NoOp, "" } } });
    CHECK(f.core.status().members == threeMembers);
}

// Guards against encoding errors that lose or change a field between replicas.
TEST_CASE("messages keep their content when encoded and decoded, and malformed bytes are rejected", "[raft]")
{
    std::string raw("\0\xFFx", 3);
    Message append { "a", "s", "b", 3, AppendRequest { 1, 2, 3, 4, { { 5, 6, EntryKind::Command, raw } } } };
    Message chunk { "a", "s", "b", 3, SnapshotChunk { 1, 2, 3, threeMembers, 4, raw, true } };
    auto bytes = encodeMessages({ append, chunk });
    auto decoded = decodeMessages(bytes);
    REQUIRE(decoded);
    CHECK(encodeMessages(*decoded) == bytes);
    CHECK(std::get<AppendRequest>(decoded->at(0).body).entries.at(0).data == raw);
    CHECK(std::get<SnapshotChunk>(decoded->at(1).body).members == threeMembers);
    CHECK_FALSE(decodeMessages(bytes.substr(0, bytes.size() - 1)));
    CHECK_FALSE(decodeMessages("x"));
}

// Guards against an upgrade after which replicas cannot read each other's messages, or their stored data.
TEST_CASE("messages and entries have the bytes that earlier versions write", "[raft]")
{
    using nlohmann::json;
    auto asText = [](const std::vector<uint8_t>& bytes) { return std::string(bytes.begin(), bytes.end()); };
    for (uint64_t n : { uint64_t { 0 }, uint64_t { 23 }, uint64_t { 24 }, uint64_t { 255 }, uint64_t { 256 }, uint64_t { 65535 }, uint64_t { 65536 }, uint64_t { 0xFFFFFFFF }, uint64_t { 0x100000000 }, UINT64_MAX }) {
        std::string raw(std::min<uint64_t>(n, 70000), '\xFE');
        auto binary = json::binary({ raw.begin(), raw.end() });
        auto entry = json::array({ n, 1, 1, binary });
        auto members = json::array({ json::array({ "a", "s", true }), json::array({ "b", "", false }) });
        std::vector<Message> messages {
            { "a", "s", "b", n, VoteRequest { true, n, 2, "t" } },
            { "a", "s", "b", n, VoteReply { false, true, n } },
            { "a", "s", "b", n, AppendRequest { 1, n, 3, 4, { { n, 1, EntryKind::Command, raw }, { n, 1, EntryKind::Command, raw } } } },
            { "a", "s", "b", n, AppendReply { n, true, 2, 3, 4 } },
            { "a", "s", "b", n, SnapshotChunk { 1, 2, n, { { "a", "s", true }, { "b", "", false } }, 4, raw, false } },
            { "a", "s", "b", n, SnapshotReply { 1, n, 3, true } },
            { "a", "s", "b", n, TimeoutNow {} },
        };
        std::vector<json> bodies {
            json::array({ true, n, 2, "t" }),
            json::array({ false, true, n }),
            json::array({ 1, n, 3, 4, json::array({ entry, entry }) }),
            json::array({ n, true, 2, 3, 4 }),
            json::array({ 1, 2, n, members, 4, binary, false }),
            json::array({ 1, n, 3, true }),
            json::array(),
        };
        auto expected = json::array();
        for (size_t kind = 0; kind < bodies.size(); kind++)
            expected.push_back(json::array({ "a", "s", "b", n, kind, bodies[kind] }));
        auto bytes = asText(json::to_cbor(expected));
        CHECK((encodeMessages(messages) == bytes));
        auto decoded = decodeMessages(bytes);
        REQUIRE(decoded);
        CHECK((encodeMessages(*decoded) == bytes));

        bytes = asText(json::to_cbor(entry));
        CHECK((encodeEntry({ n, 1, EntryKind::Command, raw }) == bytes));
        CHECK((decodeEntry(bytes) == LogEntry { n, 1, EntryKind::Command, raw }));
        Snapshot snapshot { n, 2, { { "a", "s", true }, { "b", "", false } }, std::make_shared<std::string>(raw) };
        bytes = asText(json::to_cbor(json::array({ n, 2, members, binary })));
        CHECK((encodeSnapshot(snapshot) == bytes));
        REQUIRE(decodeSnapshot(bytes));
        CHECK((encodeSnapshot(*decodeSnapshot(bytes)) == bytes));
    }
}

// Guards against reading past the end of a message, and against accepting an item of the wrong kind.
TEST_CASE("messages with missing items or items of another kind are rejected, those with additional items are read", "[raft]")
{
    using nlohmann::json;
    auto read = [](const json& body) {
        auto bytes = json::to_cbor(json::array({ json::array({ "a", "s", "b", 1, 3, body }) }));
        return decodeMessages({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
    };
    CHECK(read(json::array({ 1, true, 2, 3, 4 })));
    CHECK(read(json::array({ 1, true, 2, 3, 4, "newer", json::array({ 1 }) })));
    CHECK_FALSE(read(json::array({ 1, true, 2, 3 })));
    CHECK_FALSE(read(json::array({ "1", true, 2, 3, 4 })));
    CHECK_FALSE(read(json::array({ 1, true, -2, 3, 4 })));
    CHECK_FALSE(read(json::array({ 1, true, 2, nullptr, 4 })));
    CHECK_FALSE(read(json::object({ { "round", 1 } })));
    CHECK_FALSE(read(1));
}

// Guards against two replicas that stop at once and pass the leadership to each other.
TEST_CASE("a replica that is leaving is no candidate, and transfers its leadership to none that it is to avoid", "[raft]")
{
    auto targets = [](const Actions& actions) {
        std::vector<std::string> names;
        for (const auto& it : actions) {
            const auto* send = std::get_if<Send>(&it);
            if (send && std::holds_alternative<TimeoutNow>(send->message.body))
                names.push_back(send->message.to);
        }
        return names;
    };
    Fixture leader;
    auto term = leader.elect();
    auto index = leader.core.lastIndex();
    leader.receive("b", term, AppendReply { 1, true, index, 0, 0 });
    leader.receive("c", term, AppendReply { 1, true, index, 0, 0 });
    CHECK(targets(leader.step(TransferLeadership { { "b", "c" }, true })).empty());
    CHECK(leader.core.status().role == ReplicaRole::Leader);
    CHECK(targets(leader.step(TransferLeadership { { "b" }, true })) == std::vector<std::string> { "c" });

    Fixture follower;
    follower.step(TransferLeadership { {}, true });
    follower.wait(milliseconds(10000));
    follower.receive("b", follower.core.status().term, TimeoutNow {});
    CHECK(follower.core.status().role == ReplicaRole::Follower);
}
