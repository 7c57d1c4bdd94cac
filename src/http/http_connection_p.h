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

/// One caller's connection: the stream that cpp-httplib reads and writes, and detection of the caller's disconnect.
/// @remarks Input and output may be used on the thread that serves the connection only. The close callback is thread-safe.
class HttpConnection final : public httplib::Stream, public CallerConnection {
public:
    /// @param epoll descriptor of the epoll set in which the socket is registered under @p id, initially without events.
    HttpConnection(int socket, int epoll, uint64_t id);
    ~HttpConnection() override;
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /// Reads input up to the end of the head, without blocking.
    HeadState readHead();
    /// @returns the input read so far, from the start of the request.
    [[nodiscard]] std::string_view input() const { return m_input; }
    /// Starts a request after readHead() has returned Complete: read() then delivers @p head and the body to cpp-httplib.
    /// @param bodyDeadline when reads of the body fail.
    void beginRequest(HttpHead head, uint64_t maxBodyBytes, TimePoint bodyDeadline);
    [[nodiscard]] const HttpHead& head() const { return m_head; }
    /// @returns whether part of a body with a Content-Length has not been read.
    [[nodiscard]] bool hasUnreadBody() const { return m_remainingBodyBytes > 0 && !m_head.isChunked; }
    /// @returns whether a chunked body exceeded the size limit.
    [[nodiscard]] bool isBodyTooLarge() const { return m_isBodyTooLarge; }
    /// Sends without blocking. @returns whether the whole text was sent.
    bool trySend(std::string_view text);
    /// Reads and discards a bounded amount of input, without blocking.
    void discardInput();
    /// @returns whether the socket has unread input or has been closed by the caller.
    [[nodiscard]] bool hasPendingInput() const;
    [[nodiscard]] uint64_t id() const { return m_id; }
    /// Arms the epoll set to report @p events once.
    void watch(uint32_t events) const;

    /// Calls and clears the close callback.
    void reportClosed();
    /// Clears the close callback. Once this returns, the callback is not running and will not be called.
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

    /// When a connection that waits in the epoll set expires. Guarded by the server's lock.
    TimePoint waitDeadline {};
    /// When the whole head must have arrived; the epoch until its first byte. Used by the serving thread only.
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
