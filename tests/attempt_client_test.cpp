#include <catch2/catch.hpp>

#include "endpoint/http_attempt_client_p.h"
#include "raw_server.h"

#include <vanillalift/config.h>

using namespace vanillalift;

namespace {

struct Client {
    SystemClock clock;
    HttpAttemptClient client { clock };
    std::vector<Header> headers { { "X-Extra", "kept" }, { "Transfer-Encoding", "chunked" }, { "Vanillalift-Attempt-Id", "forged" } };
    int64_t connections = 0;

    AttemptResult send(const RawServer& server, const std::string& id, int64_t timeoutMs = 20000, std::string_view method = "POST")
    {
        auto address = server.address();
        AttemptDesc desc { address, 1, id, "request-" + id, "blue", method, "/count?a=%20b", &headers, "body", clock.now() + std::chrono::milliseconds(timeoutMs) };
        desc.connections = connections;
        return client.send(desc);
    }
};

/// Sends one attempt to a server that writes @p answer, where %ID% stands for the header line with the right id.
AttemptResult resultOf(std::string answer, std::string_view method = "POST", bool keepsOpen = true)
{
    RawServer server([&](RawConnection& it, int) {
        if (!it.readRequest())
            return;
        auto at = answer.find("%ID%");
        it.write(at == std::string::npos ? answer : answer.substr(0, at) + it.attemptIdHeader() + answer.substr(at + 4));
        if (keepsOpen)
            it.waitForClose();
    });
    Client client;
    auto result = client.send(server, "a1", 20000, method);
    CHECK(server.received() > 0);
    CHECK_FALSE(std::holds_alternative<AttemptNotSent>(result));
    if (std::holds_alternative<AttemptFailed>(result))
        CHECK(client.client.idleConnections(server.address()) == 0);
    return result;
}

Reason failureOf(const AttemptResult& result)
{
    REQUIRE(std::holds_alternative<AttemptFailed>(result));
    return std::get<AttemptFailed>(result).reason;
}

std::string bodyOf(const AttemptResult& result)
{
    REQUIRE(std::holds_alternative<AttemptAnswered>(result));
    return std::get<AttemptAnswered>(result).answer.body;
}

/// Answers every request of a connection.
void answerAll(RawConnection& it, int /*number*/)
{
    while (it.readRequest())
        it.answer("ok");
}

} // namespace

TEST_CASE("forged, hop-by-hop or added headers would change the request on its way", "[attempt]")
{
    std::string seen;
    RawServer server([&](RawConnection& it, int) {
        it.readRequest();
        seen = it.request();
        it.answer("ok");
    });
    Client client;
    CHECK(bodyOf(client.send(server, "a1")) == "ok");
    CHECK(seen.rfind("POST /count?a=%20b HTTP/1.1\r\n", 0) == 0);
    CHECK(seen.find("X-Extra: kept\r\n") != std::string::npos);
    CHECK(seen.find("Vanillalift-Attempt-Id: a1\r\n") != std::string::npos);
    CHECK(seen.find("forged") == std::string::npos);
    CHECK(seen.find("chunked") == std::string::npos);
    CHECK(seen.find("Accept-Encoding") == std::string::npos);
    CHECK(seen.substr(seen.find("\r\n\r\n")) == "\r\n\r\nbody");
}

TEST_CASE("connections that are not reused exhaust the endpoint's connections", "[attempt]")
{
    RawServer server(answerAll);
    Client client;
    for (int i = 0; i < 5; ++i)
        CHECK(bodyOf(client.send(server, "a" + std::to_string(i))) == "ok");
    CHECK(server.connections() == 1);
    client.client.endpointGone(server.address(), 1);
    CHECK(client.client.idleConnections(server.address()) == 0);
}

TEST_CASE("a connection checked in after its endpoint is gone would stay open for ever", "[attempt]")
{
    Client client;
    std::string address;
    RawServer server([&](RawConnection& it, int) {
        it.readRequest();
        client.client.endpointGone(address, 1);
        it.answer("ok");
        it.waitForClose();
    });
    address = server.address();
    CHECK(bodyOf(client.send(server, "a1")) == "ok");
    CHECK(client.client.idleConnections(address) == 0);
}

TEST_CASE("truncated answers are never delivered", "[attempt]")
{
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Content-Length: 10\r\n\r\nhalf", "POST", false)) == Reason::AnswerTruncated);
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "POST", false)) == Reason::AnswerTruncated);
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\n%ID%\r\nno end", "POST", false)) == Reason::AnswerTruncated);
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\nVanilla", "POST", false)) == Reason::AnswerTruncated);
}

TEST_CASE("answers of other attempts are never delivered", "[attempt]")
{
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\nVanillalift-Attempt-Id: a2\r\nContent-Length: 2\r\n\r\nok")) == Reason::AnswerCrossed);
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")) == Reason::AnswerCrossed);
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Vanillalift-Attempt-Id: a2\r\nContent-Length: 2\r\n\r\nok")) == Reason::AnswerCrossed);
}

TEST_CASE("malformed, contradicting or oversized answers are failures instead of crashes or hangs", "[attempt]")
{
    CHECK(failureOf(resultOf("nonsense\r\n\r\n")) == Reason::EndpointFailed);
    CHECK(failureOf(resultOf("HTTP/1.1 200 " + std::string(200000, 'x'))) == Reason::EndpointFailed);
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Content-Length: -1\r\n\r\n")) == Reason::EndpointFailed);
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Content-Length: 2\r\nContent-Length: 3\r\n\r\nokk")) == Reason::EndpointFailed);
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok")) == Reason::EndpointFailed);
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Content-Length: " + std::to_string(config::maxBodyBytes + 1) + "\r\n\r\n")) == Reason::EndpointFailed);
    auto chunk = "500001\r\n" + std::string(0x500001, 'x') + "\r\n0\r\n\r\n";
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Transfer-Encoding: chunked\r\n\r\n" + chunk)) == Reason::EndpointFailed);
    CHECK(failureOf(resultOf("HTTP/1.1 103 Early Hints\r\n%ID%Content-Length: 0\r\n\r\n")) == Reason::EndpointFailed);
}

TEST_CASE("answers without a body are whole, and redirects are passed on", "[attempt]")
{
    CHECK(bodyOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Content-Length: 10\r\n\r\n", "HEAD")).empty());
    CHECK(bodyOf(resultOf("HTTP/1.1 204 No Content\r\n%ID%\r\n")).empty());
    CHECK(bodyOf(resultOf("HTTP/1.1 304 Not Modified\r\n%ID%\r\n", "GET")).empty());
    CHECK(bodyOf(resultOf("HTTP/1.1 302 Found\r\n%ID%Location: http://127.0.0.1:1/\r\nContent-Length: 2\r\n\r\nok", "GET")) == "ok");
    CHECK(bodyOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")) == "ok");
    CHECK(bodyOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok")) == "ok");
}

TEST_CASE("a refusal counts as not started only with the id of this attempt", "[attempt]")
{
    auto refusal = [](const std::string& id) { return "HTTP/1.1 503 Busy\r\n%ID%Vanillalift-Not-Started: " + id + "\r\nContent-Length: 4\r\n\r\nbusy"; };
    CHECK(std::holds_alternative<AttemptNotStarted>(resultOf(refusal("a1"))));
    CHECK(bodyOf(resultOf(refusal("a0"))) == "busy");
}

TEST_CASE("an answer that arrives twice is not taken for the answer to the next request", "[attempt]")
{
    RawServer server([](RawConnection& it, int) {
        while (it.readRequest()) {
            it.answer("ok");
            it.answer("ok");
        }
    });
    Client client;
    for (int i = 0; i < 20; ++i) {
        auto result = client.send(server, "a" + std::to_string(i));
        // The second copy may arrive after the next request was written; then its id gives it away.
        if (std::holds_alternative<AttemptFailed>(result))
            CHECK(failureOf(result) == Reason::AnswerCrossed);
        else
            CHECK(bodyOf(result) == "ok");
    }
}

TEST_CASE("a slow endpoint cannot pass the deadline byte by byte", "[attempt]")
{
    std::atomic<int> bytes { 0 };
    std::atomic<bool> isOver { false };
    RawServer server([&](RawConnection& it, int) {
        it.readRequest();
        it.write(it.head("200 OK", 1000));
        for (; bytes < 1000 && !isOver; ++bytes) {
            it.write("x");
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    });
    Client client;
    auto result = client.send(server, "a1", 200);
    CHECK(bytes < 1000);
    isOver = true;
    CHECK(failureOf(result) == Reason::DeadlinePassed);
}

TEST_CASE("an endpoint that never answers ends at the deadline as possibly run", "[attempt]")
{
    RawServer server([](RawConnection& it, int) { it.waitForClose(); });
    Client client;
    CHECK(failureOf(client.send(server, "a1", 100)) == Reason::DeadlinePassed);
}

TEST_CASE("a request is sent once when the connection is closed without an answer", "[attempt]")
{
    RawServer server([](RawConnection& it, int) { it.readRequest(); });
    Client client;
    CHECK(failureOf(client.send(server, "a1")) == Reason::EndpointFailed);
    CHECK(server.connections() == 1);
}

TEST_CASE("a request on a reused connection is not sent again once it was written", "[attempt]")
{
    RawServer server([](RawConnection& it, int) {
        it.readRequest();
        it.answer("ok");
        it.readRequest();
    });
    Client client;
    CHECK(bodyOf(client.send(server, "a1")) == "ok");
    CHECK(failureOf(client.send(server, "a2")) == Reason::EndpointFailed);
    CHECK(server.connections() == 1);
}

TEST_CASE("a kept connection that the endpoint has closed costs no failed attempt", "[attempt]")
{
    RawServer server([](RawConnection& it, int) {
        it.readRequest();
        it.answer("ok");
    });
    Client client;
    for (int i = 0; i < 3; ++i) {
        CHECK(bodyOf(client.send(server, "a" + std::to_string(i))) == "ok");
        while (server.closed() != i + 1)
            std::this_thread::yield();
    }
    CHECK(server.connections() == 3);
}

TEST_CASE("not sent is reported only if the endpoint received nothing", "[attempt]")
{
    Client client;
    std::string address;
    {
        RawServer gone(answerAll);
        address = gone.address();
        CHECK(std::holds_alternative<AttemptNotSent>(client.send(gone, "a1", 0)));
        CHECK(gone.received() == 0);
    }
    AttemptDesc desc { address, 1, "a1", "r1", "blue", "GET", "/", &client.headers, "", client.clock.now() + std::chrono::seconds(5) };
    CHECK(std::holds_alternative<AttemptNotSent>(client.client.send(desc)));
    desc.address = "nowhere";
    CHECK(std::holds_alternative<AttemptNotSent>(client.client.send(desc)));
}

TEST_CASE("attempts beyond the connection part are not sent instead of taking other entries' connections", "[attempt]")
{
    std::atomic<bool> mayAnswer { false };
    RawServer server([&](RawConnection& it, int) {
        it.readRequest();
        mayAnswer.wait(false);
        it.answer("ok");
    });
    Client client;
    client.connections = 1;
    std::string first;
    std::thread holder([&] { first = bodyOf(client.send(server, "a1")); });
    while (server.received() == 0)
        std::this_thread::yield();
    CHECK(std::holds_alternative<AttemptNotSent>(client.send(server, "a2")));
    mayAnswer = true;
    mayAnswer.notify_all();
    holder.join();
    CHECK(first == "ok");
    CHECK(server.connections() == 1);
}

TEST_CASE("concurrent attempts over one pool get their own answers, each sent once", "[attempt]")
{
    std::mutex mutex;
    std::vector<std::string> ran;
    RawServer server([&](RawConnection& it, int number) {
        for (int n = 0; it.readRequest(); ++n) {
            auto id = it.header("Vanillalift-Attempt-Id");
            {
                std::lock_guard lock(mutex);
                ran.push_back(id);
            }
            if ((number + n) % 7 == 6)
                return;
            it.answer(id);
        }
    });
    Client client;
    std::atomic<int> wrong { 0 };
    std::atomic<size_t> started { 0 };
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int t = 0; t < 8; ++t) {
        threads.emplace_back([&, t] {
            for (int i = 0; i < 50; ++i) {
                auto id = std::to_string(t) + "-" + std::to_string(i);
                auto result = client.send(server, id);
                auto* answered = std::get_if<AttemptAnswered>(&result);
                started += std::holds_alternative<AttemptNotSent>(result) ? 0 : 1;
                wrong += answered && answered->answer.body != id ? 1 : 0;
            }
        });
    }
    for (auto& it : threads)
        it.join();
    CHECK(wrong == 0);
    std::sort(ran.begin(), ran.end());
    CHECK(std::adjacent_find(ran.begin(), ran.end()) == ran.end());
    CHECK(ran.size() <= started);
}
