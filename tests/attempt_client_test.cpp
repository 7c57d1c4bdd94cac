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
    int64_t maxConnections = 0;

    AttemptResult send(const RawServer& server, const std::string& id, int64_t timeoutMs = 20000, std::string_view method = "POST")
    {
        auto address = server.address();
        AttemptDesc desc { address, 1, id, "request-" + id, "blue", method, "/count?a=%20b", &headers, "body", clock.now() + std::chrono::milliseconds(timeoutMs) };
        desc.maxConnections = maxConnections;
        return client.send(desc);
    }
};

/// Sends one attempt to a server that writes @p response, with %ID% replaced by the header line that has the attempt's id.
AttemptResult resultOf(std::string response, std::string_view method = "POST", bool keepsOpen = true)
{
    RawServer server([&](RawConnection& it, int) {
        if (!it.readRequest())
            return;
        auto at = response.find("%ID%");
        it.write(at == std::string::npos ? response : response.substr(0, at) + it.attemptIdHeader() + response.substr(at + 4));
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

/// Responds to every request on a connection.
void respondToAll(RawConnection& it, int /*number*/)
{
    while (it.readRequest())
        it.answer("ok");
}

} // namespace

TEST_CASE("the caller's forged and hop-by-hop headers are not forwarded, and the request is not changed otherwise", "[attempt]")
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

TEST_CASE("connections are reused, so that successive attempts do not exhaust the endpoint's connections", "[attempt]")
{
    RawServer server(respondToAll);
    Client client;
    for (int i = 0; i < 5; ++i)
        CHECK(bodyOf(client.send(server, "a" + std::to_string(i))) == "ok");
    CHECK(server.connections() == 1);
    client.client.endpointRemoved(server.address(), 1);
    CHECK(client.client.idleConnections(server.address()) == 0);
}

TEST_CASE("a connection that is returned after its endpoint was removed is closed", "[attempt]")
{
    Client client;
    std::string address;
    RawServer server([&](RawConnection& it, int) {
        it.readRequest();
        client.client.endpointRemoved(address, 1);
        it.answer("ok");
        it.waitForClose();
    });
    address = server.address();
    CHECK(bodyOf(client.send(server, "a1")) == "ok");
    CHECK(client.client.idleConnections(address) == 0);
}

TEST_CASE("truncated responses are never passed on", "[attempt]")
{
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Content-Length: 10\r\n\r\nhalf", "POST", false)) == Reason::AnswerTruncated);
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "POST", false)) == Reason::AnswerTruncated);
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\n%ID%\r\nno end", "POST", false)) == Reason::AnswerTruncated);
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\nVanilla", "POST", false)) == Reason::AnswerTruncated);
}

TEST_CASE("responses to other attempts are never passed on", "[attempt]")
{
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\nVanillalift-Attempt-Id: a2\r\nContent-Length: 2\r\n\r\nok")) == Reason::AnswerCrossed);
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")) == Reason::AnswerCrossed);
    CHECK(failureOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Vanillalift-Attempt-Id: a2\r\nContent-Length: 2\r\n\r\nok")) == Reason::AnswerCrossed);
}

TEST_CASE("malformed, contradictory or oversized responses are reported as failures and cause no crash or hang", "[attempt]")
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

TEST_CASE("responses without a body are complete, and redirects are passed on", "[attempt]")
{
    CHECK(bodyOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Content-Length: 10\r\n\r\n", "HEAD")).empty());
    CHECK(bodyOf(resultOf("HTTP/1.1 204 No Content\r\n%ID%\r\n")).empty());
    CHECK(bodyOf(resultOf("HTTP/1.1 304 Not Modified\r\n%ID%\r\n", "GET")).empty());
    CHECK(bodyOf(resultOf("HTTP/1.1 302 Found\r\n%ID%Location: http://127.0.0.1:1/\r\nContent-Length: 2\r\n\r\nok", "GET")) == "ok");
    CHECK(bodyOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")) == "ok");
    CHECK(bodyOf(resultOf("HTTP/1.1 200 OK\r\n%ID%Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok")) == "ok");
}

TEST_CASE("a rejection counts as not started only if it carries the id of this attempt", "[attempt]")
{
    auto rejection = [](const std::string& id) { return "HTTP/1.1 503 Busy\r\n%ID%Vanillalift-Not-Started: " + id + "\r\nContent-Length: 4\r\n\r\nbusy"; };
    CHECK(std::holds_alternative<AttemptNotStarted>(resultOf(rejection("a1"))));
    CHECK(bodyOf(resultOf(rejection("a0"))) == "busy");
}

TEST_CASE("a duplicate response is not taken for the response to the next request", "[attempt]")
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
        // The duplicate may arrive after the next request was written. It then has the id of another attempt.
        if (std::holds_alternative<AttemptFailed>(result))
            CHECK(failureOf(result) == Reason::AnswerCrossed);
        else
            CHECK(bodyOf(result) == "ok");
    }
}

TEST_CASE("an endpoint that sends its response byte by byte cannot exceed the deadline", "[attempt]")
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

TEST_CASE("an attempt without a response ends at the deadline and counts as possibly executed", "[attempt]")
{
    RawServer server([](RawConnection& it, int) { it.waitForClose(); });
    Client client;
    CHECK(failureOf(client.send(server, "a1", 100)) == Reason::DeadlinePassed);
}

TEST_CASE("a request is sent once when the connection is closed without a response", "[attempt]")
{
    RawServer server([](RawConnection& it, int) { it.readRequest(); });
    Client client;
    CHECK(failureOf(client.send(server, "a1")) == Reason::EndpointFailed);
    CHECK(server.connections() == 1);
}

TEST_CASE("a request on a reused connection is not sent again after it was written", "[attempt]")
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

TEST_CASE("a kept-alive connection that the endpoint has closed does not fail the next attempt", "[attempt]")
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

TEST_CASE("an attempt is reported as not sent only if the endpoint received nothing", "[attempt]")
{
    Client client;
    std::string address;
    {
        RawServer stoppedServer(respondToAll);
        address = stoppedServer.address();
        CHECK(std::holds_alternative<AttemptNotSent>(client.send(stoppedServer, "a1", 0)));
        CHECK(stoppedServer.received() == 0);
    }
    AttemptDesc desc { address, 1, "a1", "r1", "blue", "GET", "/", &client.headers, "", client.clock.now() + std::chrono::seconds(5) };
    CHECK(std::holds_alternative<AttemptNotSent>(client.client.send(desc)));
    desc.address = "nowhere";
    CHECK(std::holds_alternative<AttemptNotSent>(client.client.send(desc)));
}

TEST_CASE("attempts beyond the entry's share of the connections are not sent, so that other entries keep theirs", "[attempt]")
{
    std::atomic<bool> mayAnswer { false };
    RawServer server([&](RawConnection& it, int) {
        it.readRequest();
        mayAnswer.wait(false);
        it.answer("ok");
    });
    Client client;
    client.maxConnections = 1;
    std::string first;
    std::thread firstAttempt([&] { first = bodyOf(client.send(server, "a1")); });
    while (server.received() == 0)
        std::this_thread::yield();
    CHECK(std::holds_alternative<AttemptNotSent>(client.send(server, "a2")));
    mayAnswer = true;
    mayAnswer.notify_all();
    firstAttempt.join();
    CHECK(first == "ok");
    CHECK(server.connections() == 1);
}

TEST_CASE("concurrent attempts over one connection pool receive their own responses, and each is sent once", "[attempt]")
{
    std::mutex mutex;
    std::vector<std::string> executedIds;
    RawServer server([&](RawConnection& it, int number) {
        for (int n = 0; it.readRequest(); ++n) {
            auto id = it.header("Vanillalift-Attempt-Id");
            {
                std::lock_guard lock(mutex);
                executedIds.push_back(id);
            }
            if ((number + n) % 7 == 6)
                return;
            it.answer(id);
        }
    });
    Client client;
    std::atomic<int> mismatches { 0 };
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
                mismatches += answered && answered->answer.body != id ? 1 : 0;
            }
        });
    }
    for (auto& it : threads)
        it.join();
    CHECK(mismatches == 0);
    std::sort(executedIds.begin(), executedIds.end());
    CHECK(std::adjacent_find(executedIds.begin(), executedIds.end()) == executedIds.end());
    CHECK(executedIds.size() <= started);
}
