#include <catch2/catch.hpp>

#include "node/messages_p.h"

#include <random>

using namespace vanillalift;
using namespace vanillalift::node;
using namespace std::string_literals;

namespace {

std::vector<Message> validMessages()
{
    ClientRequest submit;
    submit.verb = ClientVerb::Submit;
    submit.host = "h";
    submit.path = "/q/00000000000000aa";
    submit.job.steps.resize(2);
    HeartbeatRequest heartbeat;
    heartbeat.endpoint.id = "e";
    heartbeat.endpoint.labels = { "a", "b" };
    Reply reply;
    reply.state = JobState::Running;
    return {
        Hello { "10.0.0.1:7000", "z", "s" },
        ControllerStatus { 3, true, "10.0.0.1:7000", { "10.0.0.1:7000", "10.0.0.2:7000" } },
        RaftMessages { "bytes" },
        Call { 1, submit },
        Call { 2, heartbeat },
        Call { 3, PutWaveRequest { { 1, { "m" }, 5, 1 } } },
        CallReply { 4, reply },
    };
}

} // namespace

// Guards against a process that ends because a peer, or anyone who connects to its port, sends a message that it cannot hold:
// an array of 2^32 - 1 elements takes 100 GB once its length is believed.
TEST_CASE("a message that claims more elements than it has bytes is refused before memory is allocated for them", "[messages]")
{
    for (const auto& claim : { "\xdd\xff\xff\xff\xff"s, "\xdf\xff\xff\xff\xff"s, "\xdb\xff\xff\xff\xff"s, "\xc6\xff\xff\xff\xff"s }) {
        for (uint8_t index = 0; index < 5; index++) {
            CHECK_FALSE(decode(std::string(1, static_cast<char>(index)) + claim));
            CHECK_FALSE(decode(std::string(1, static_cast<char>(index)) + "\x01"s + claim));
        }
    }
    // Nested arrays of one element each.
    CHECK_FALSE(decode("\x01"s + std::string(1U << 20U, '\x91')));
}

TEST_CASE("a reply with an unknown status or state is refused", "[messages]")
{
    Reply reply;
    reply.status = ReplyStatus::ReplyStatusCount;
    CHECK_FALSE(decode(encode(CallReply { 1, reply })));
    reply.status = ReplyStatus::Done;
    reply.state = JobState::JobStateCount;
    CHECK_FALSE(decode(encode(CallReply { 1, reply })));
    reply.state = JobState::Cancelled;
    CHECK(decode(encode(CallReply { 1, reply })));
    ClientRequest request;
    request.verb = ClientVerb::ClientVerbCount;
    CHECK_FALSE(decode(encode(Call { 1, request })));
}

TEST_CASE("random changes of a message do not crash the decoder", "[messages]")
{
    std::mt19937_64 random(11);
    auto pick = [&](size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(random); };
    for (const auto& message : validMessages()) {
        auto good = encode(message);
        REQUIRE(decode(good));
        for (size_t n = 0; n < good.size(); n++)
            CHECK_FALSE(decode(std::string_view(good).substr(0, n)));
        for (int n = 0; n < 20000; n++) {
            auto bytes = good;
            for (auto changes = 1 + pick(4); changes > 0; changes--)
                bytes[pick(bytes.size())] = static_cast<char>(pick(256));
            auto decoded = decode(bytes);
            auto* reply = decoded ? std::get_if<CallReply>(&*decoded) : nullptr;
            if (reply && reply->reply.state)
                CHECK(*reply->reply.state < JobState::JobStateCount);
        }
    }
}
