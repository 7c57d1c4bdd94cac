#pragma once

#include "http_memory_p.h"
#include "stream_p.h"

#include <vanillalift/call_stats.h>

#include <http_parser.h>

#include <array>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace vanillalift::net {

struct HttpHeader {
    std::string name;
    std::string value;
};
using HttpHeaders = std::vector<HttpHeader>;

/// @returns the value of the first header with this name (compared case-insensitively), or an empty view.
std::string_view headerValue(const HttpHeaders& headers, std::string_view name);

/// HEAD requests reach the handlers as GET; the server omits the bodies of their responses.
struct HttpRequest {
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/// @param allowed methods separated by commas.
inline HttpResponse methodNotAllowed(std::string_view allowed) { return { 405, { { "Allow", std::string(allowed) } }, {} }; }

/// Why a request got no response, which tells whether it can have run.
enum class HttpFailure : uint8_t {
    /// No byte of the request was written, so it has not run.
    NotSent,
    /// The connection was refused: no process listens at the address. Nothing was written.
    Refused,
    /// At least one byte was written, so the request may have run or may still run.
    Unknown,
    HttpFailureCount,
};

/// Incremental parser for one direction of an HTTP/1.1 connection.
class HttpParser {
public:
    enum class Kind : uint8_t { Request,
        Response,
        KindCount };
    struct Limits {
        size_t headBytes = 0;
        size_t bodyBytes = 0;
    };

    HttpParser(Kind kind, Limits limits);

    /// Parses up to the end of one message.
    /// @returns the number of bytes consumed.
    size_t feed(std::string_view bytes);
    /// Ends the input: a response without a length is then complete.
    void feedEnd();
    /// Valid in a body: whether its sender waits for an interim response (RFC 9110, 10.1.1).
    [[nodiscard]] bool expectsContinue() const;
    [[nodiscard]] bool isVersion10() const { return m_parser.http_major == 1 && m_parser.http_minor == 0; }
    /// @returns whether a message has begun and is not complete.
    [[nodiscard]] bool isInMessage() const { return m_hasBegun && !m_isComplete; }
    [[nodiscard]] bool hasMessage() const { return m_isComplete; }
    [[nodiscard]] bool hasFailed() const { return m_hasFailed; }
    /// Valid if hasFailed(): whether the message exceeds the limits.
    [[nodiscard]] bool isTooLarge() const { return m_isTooLarge; }
    [[nodiscard]] bool shouldKeepAlive() const { return m_shouldKeepAlive; }
    /// @returns whether the head is complete and the body is not.
    [[nodiscard]] bool isInBody() const { return m_isInBody && !m_isComplete; }
    /// Memory of the message so far, in bytes.
    [[nodiscard]] size_t heldBytes() const { return m_headBytes + m_headers.capacity() * sizeof(HttpHeader) + m_body.capacity(); }
    HttpRequest takeRequest();
    HttpResponse takeResponse();

private:
    /// @returns whether the head of a request has a valid target and host, after moving the host of an absolute target into the headers.
    bool resolveTarget();
    static const http_parser_settings& settings();
    void reset();

    Limits m_limits;
    http_parser m_parser {};
    bool m_hasBegun = false;
    bool m_isInBody = false;
    bool m_isComplete = false;
    bool m_hasFailed = false;
    bool m_isTooLarge = false;
    bool m_shouldKeepAlive = true;
    bool m_isInValue = false;
    size_t m_headBytes = 0;
    std::string m_method;
    std::string m_target;
    HttpHeaders m_headers;
    std::string m_body;
};

/// Counters of an HttpServer.
struct HttpServerStats {
    /// Connections answered with 503 at once because too many were open.
    uint64_t refusedConnections = 0;
    /// Idle connections closed in favour of new ones.
    uint64_t evictedConnections = 0;
    /// Failed attempts to accept a connection, for example for lack of descriptors.
    uint64_t failedAccepts = 0;
    /// Requests whose connection closed before their response was written.
    uint64_t abandonedRequests = 0;
    /// Requests that were not complete in time, answered with 408.
    uint64_t lateRequests = 0;
    /// Connections ended because the memory for incomplete requests and unread responses was used up.
    uint64_t shedConnections = 0;
    /// Messages that could not be parsed or exceeded the limits.
    uint64_t malformedRequests = 0;
};

/// HTTP/1.1 server with keep-alive connections. Requests on one connection are handled one at a time.
class HttpServer {
public:
    /// Sends the response to one request, at most once. Does nothing if the connection has closed.
    using Respond = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Respond)>;

    /// @param memory shared by all servers of the process.
    HttpServer(EventLoop& loop, const Clock& clock, HttpMemory& memory, const Address& address, size_t maxBodyBytes, size_t maxConnections, Handler handler, Duration listenRetryInterval = config::listenRetryInterval);
    ~HttpServer();

    [[nodiscard]] bool isOpen() const { return m_listener.isOpen(); }
    /// Closes each connection after its next response, which carries "Connection: close", unless further requests have been read from it.
    void startDraining() { m_isDraining = true; }
    /// Accepts the connections that are already established, and closes the listening socket; open connections stay.
    void stopAccepting() { m_listener.close(); }
    /// Ends the sending direction of the connections that carry no request. Requests that have arrived are handled first, those that have
    /// arrived in part are refused with 503, and those that arrive later count as abandoned.
    void endIdleConnections();
    /// Number of connections with a request in progress, response bytes not yet handed to the kernel, or unparsed input.
    [[nodiscard]] size_t openRequests() const;
    [[nodiscard]] size_t openConnections() const { return m_connections.size(); }
    [[nodiscard]] const HttpServerStats& stats() const { return m_stats; }

private:
    struct Connection;
    /// What a connection is waiting for. The connections of a stage are in the order of their deadlines.
    enum class Stage : uint8_t {
        /// The next request.
        Idle,
        /// The rest of a request's head, or of its body.
        Head,
        Body,
        /// The response to a request.
        Handling,
        /// The end of input, after the last response.
        Lingering,
        StageCount,
    };
    static constexpr std::array expiringStages { Stage::Head, Stage::Body, Stage::Lingering };
    /// By stage, zero for none. An idle connection stays open after its time, but may be closed in favour of another one.
    static const std::array<Duration, static_cast<size_t>(Stage::StageCount)> timeLimits;
    void enter(Connection& connection, Stage stage);
    void armTimer();
    void handleTimer();
    void handleWritten(uint64_t id);
    bool handleAcceptFailure();
    /// Closes the connection that has been idle longest.
    /// @returns whether there was one.
    bool evictIdle();
    void accept(evutil_socket_t fd);
    size_t receive(uint64_t id, std::string_view bytes);
    void respond(uint64_t id, uint64_t request, const HttpResponse& response);
    void handleInputEnd(uint64_t id);
    void expire(uint64_t id);
    void reclaim(uint64_t id);
    void refuse(uint64_t id, const HttpResponse& response);
    void drop(uint64_t id);

    EventLoop& m_loop;
    const Clock& m_clock;
    HttpMemory& m_memory;
    size_t m_maxBodyBytes;
    size_t m_maxConnections;
    Handler m_handler;
    std::unordered_map<uint64_t, std::unique_ptr<Connection>> m_connections;
    std::array<std::list<uint64_t>, static_cast<size_t>(Stage::StageCount)> m_stages;
    uint64_t m_lastId = 0;
    HttpServerStats m_stats;
    bool m_isDraining = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    Timer m_timer;
    Listener m_listener;
};

using HttpResult = std::variant<HttpResponse, HttpFailure>;

/// Sends requests to one address over one keep-alive connection, in order and one at a time.
class HttpChannel;

/// Bounds the connections of a group of channels, which leaves descriptors for the rest of the process. A channel that needs another one
/// closes the connection that has been idle longest; if all are in use, its requests wait for one until their send deadlines.
class ConnectionBudget {
public:
    ConnectionBudget(EventLoop& loop, const Clock& clock, size_t limit);

    /// Reserves a connection.
    /// @returns false if all are in use; startNext() of the channel is then called once one is not.
    bool acquire(HttpChannel& channel);
    /// The channel has closed its connection.
    void release(HttpChannel& channel);
    /// The channel has no request for its open connection.
    void addIdle(HttpChannel& channel);
    void removeIdle(HttpChannel& channel);
    /// Forgets a channel that is destroyed.
    void remove(HttpChannel& channel);
    [[nodiscard]] size_t open() const { return m_open; }

private:
    void wakeWaiting();
    void serveWaiting();

    const Clock& m_clock;
    size_t m_limit;
    size_t m_open = 0;
    /// Longest idle first.
    std::list<HttpChannel*> m_idle;
    std::unordered_map<HttpChannel*, std::list<HttpChannel*>::iterator> m_idlePositions;
    std::list<HttpChannel*> m_waiting;
    Timer m_timer;
};

class HttpChannel {
public:
    using Handler = std::function<void(HttpResult)>;

    /// @param stats counters, which channels may share, or nullptr.
    /// @param budget bound on the connections of several channels, or nullptr.
    HttpChannel(EventLoop& loop, const Clock& clock, const Address& address, CallStats* stats = nullptr, ConnectionBudget* budget = nullptr);
    ~HttpChannel();

    /// @param deadline when the request fails if it has no response. If it has been sent by then, the connection is closed.
    void send(HttpRequest request, TimePoint deadline, Handler handler) { send(std::move(request), deadline, deadline, std::move(handler)); }
    /// @param sendDeadline when the request fails as NotSent if it still waits for its connection or for earlier requests, for
    /// example because the sender may not be the leader any longer.
    void send(HttpRequest request, TimePoint sendDeadline, TimePoint deadline, Handler handler);
    /// Number of queued requests, including the one in flight.
    [[nodiscard]] size_t pending() const { return m_queue.size(); }
    /// @returns whether the current connection is open and has delivered a response before.
    [[nodiscard]] bool hasReceivedResponse() const { return m_hasReceivedResponse && m_stream && m_stream->isConnected(); }
    /// Number of connections opened so far, including failed attempts.
    [[nodiscard]] uint64_t connections() const { return m_connectionCount; }

    /// Sends the next request unless one is in flight; opens a connection if there is none.
    void startNext();
    /// Closes the connection of a channel without requests.
    void closeIdle();

private:
    struct PendingRequest {
        std::string head;
        std::string body;
        TimePoint sendDeadline;
        TimePoint deadline;
        Handler handler;
    };

    void closeStream();
    void writeNextRequest();
    size_t receive(std::string_view bytes);
    void fail(HttpFailure failure);
    void handleClosed(StreamCloseReason end);
    void handleTimer();
    void countExpired(Duration delay);
    void armTimer();
    void finish(HttpResult result);

    EventLoop& m_loop;
    const Clock& m_clock;
    Address m_address;
    CallStats* m_stats;
    ConnectionBudget* m_budget;
    std::deque<PendingRequest> m_queue;
    bool m_isInFlight = false;
    bool m_hasReceivedResponse = false;
    uint64_t m_connectionCount = 0;
    HttpParser m_parser;
    std::unique_ptr<Stream> m_stream;
    /// The last closed stream, kept alive until its callbacks have returned.
    std::unique_ptr<Stream> m_closedStream;
    Timer m_timer;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

/// Pool of channels to one address. Requests are queued only when all channels are busy.
class HttpChannelPool {
public:
    /// @param stats, budget see HttpChannel.
    HttpChannelPool(EventLoop& loop, const Clock& clock, const Address& address, size_t maxChannels, CallStats* stats = nullptr, ConnectionBudget* budget = nullptr);

    void send(HttpRequest request, TimePoint deadline, HttpChannel::Handler handler) { send(std::move(request), deadline, deadline, std::move(handler)); }
    void send(HttpRequest request, TimePoint sendDeadline, TimePoint deadline, HttpChannel::Handler handler);

private:
    HttpChannel& leastLoaded();

    EventLoop& m_loop;
    const Clock& m_clock;
    Address m_address;
    size_t m_maxChannels;
    CallStats* m_stats;
    ConnectionBudget* m_budget;
    std::vector<std::unique_ptr<HttpChannel>> m_channels;
};

} // namespace vanillalift::net
