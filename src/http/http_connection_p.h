#pragma once

#include "http_head_p.h"

#include <vanillalift/request.h>

#include <httplib.h>

#include <condition_variable>
#include <mutex>

namespace vanillalift {

enum class HeadState : uint8_t {
    Complete,
    Incomplete,
    TooLarge,
    Closed,
    HeadStateCount,
};

/// One caller's socket: the stream that cpp-httplib reads and writes, and the watch on the caller's departure.
/// @remarks Input and output belong to the thread that serves the connection. The close callback is thread-safe.
class HttpConnection final : public httplib::Stream, public CallerConnection {
public:
    /// @param epoll set in which the socket is registered, without events, under @p id.
    HttpConnection(int socket, int epoll, uint64_t id);
    ~HttpConnection() override;
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /// Reads what has arrived, without waiting.
    HeadState readHead();
    /// @returns the input read so far from the start of the request.
    [[nodiscard]] std::string_view input() const { return m_input; }
    /// Makes the head that readHead() found the one that the stream delivers.
    void beginRequest(HttpHead head, uint64_t maxBodyBytes, TimePoint bodyDeadline);
    [[nodiscard]] const HttpHead& head() const { return m_head; }
    /// @returns whether the request's body was left unread in part.
    [[nodiscard]] bool hasUnreadBody() const { return m_remainingBodyBytes > 0 && !m_head.isChunked; }
    /// @returns whether a chunked body went past the bound.
    [[nodiscard]] bool isBodyTooLarge() const { return m_isBodyTooLarge; }
    /// Sends without waiting for room. @returns whether all was sent.
    bool trySend(std::string_view text);
    void discardInput();
    /// @returns whether input waits in the socket.
    [[nodiscard]] bool hasPendingInput() const;
    [[nodiscard]] uint64_t id() const { return m_id; }
    /// Asks the epoll set for one report of @p events.
    void watch(uint32_t events) const;

    /// Calls and clears the close callback.
    void reportClosed();
    /// Clears the callback. When it returns, the callback is not running and will not be called.
    void clearCloseCallback() const;

    [[nodiscard]] bool isClosed() const override;
    void onClose(std::function<void()> callback) const override;

    [[nodiscard]] bool is_readable() const override { return true; }
    [[nodiscard]] bool is_writable() const override { return true; }
    ssize_t read(char* ptr, size_t size) override;
    ssize_t write(const char* ptr, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    [[nodiscard]] socket_t socket() const override { return m_socket; }

    /// End of the wait of a parked connection; guarded by the server's lock.
    TimePoint waitDeadline {};
    /// End of the time for the whole head, or the epoch before its first byte; belongs to the serving thread.
    TimePoint headDeadline {};

private:
    ssize_t readBody(char* ptr, size_t size);
    [[nodiscard]] bool waitFor(short events, TimePoint deadline) const;

    int m_socket;
    int m_epollFd;
    uint64_t m_id;
    std::string m_input;
    HttpHead m_head;
    std::string m_httplibHead;
    size_t m_httplibHeadOffset = 0;
    uint64_t m_remainingBodyBytes = 0;
    TimePoint m_bodyDeadline {};
    bool m_isBodyTooLarge = false;

    mutable std::mutex m_callbackMutex;
    mutable std::function<void()> m_callback;
    mutable std::condition_variable m_callbackDone;
    bool m_isCallbackRunning = false;
};

} // namespace vanillalift
