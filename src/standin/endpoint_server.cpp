#include "endpoint_server_p.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace vanillalift::standin {

namespace {

    constexpr int pollTimeoutMs = 100;
    /// Set by the request handler; applied to the response that the same thread writes next.
    thread_local ResponseFault pendingResponseFault = ResponseFault::None;

    /// Reads from the socket and buffers all output, so that a fault can be applied to the complete response.
    class BufferingStream final : public httplib::Stream {
    public:
        explicit BufferingStream(socket_t sock)
            : m_sock(sock)
        {
        }

        [[nodiscard]] bool is_readable() const override { return true; } // NOLINT(readability-identifier-naming)
        [[nodiscard]] bool is_writable() const override { return true; } // NOLINT(readability-identifier-naming)
        ssize_t read(char* ptr, size_t size) override
        {
            if (m_inputBegin == m_inputEnd) {
                auto n = recv(m_sock, m_inputBuffer.data(), m_inputBuffer.size(), 0);
                if (n <= 0)
                    return n;
                m_inputBegin = 0;
                m_inputEnd = static_cast<size_t>(n);
            }
            auto n = std::min(size, m_inputEnd - m_inputBegin);
            std::copy_n(m_inputBuffer.data() + m_inputBegin, n, ptr);
            m_inputBegin += n;
            return static_cast<ssize_t>(n);
        }
        ssize_t write(const char* ptr, size_t size) override
        {
            m_output.append(ptr, size);
            return static_cast<ssize_t>(size);
        }
        void get_remote_ip_and_port(std::string& /*ip*/, int& /*port*/) const override { } // NOLINT(readability-identifier-naming)
        void get_local_ip_and_port(std::string& /*ip*/, int& /*port*/) const override { } // NOLINT(readability-identifier-naming)
        [[nodiscard]] socket_t socket() const override { return m_sock; }

        [[nodiscard]] bool hasBufferedInput() const { return m_inputBegin != m_inputEnd; }
        std::string takeOutput() { return std::exchange(m_output, {}); }

    private:
        socket_t m_sock;
        std::string m_output;
        size_t m_inputBegin = 0;
        size_t m_inputEnd = 0;
        std::array<char, 8192> m_inputBuffer {};
    };

    bool sendAll(socket_t sock, std::string_view bytes)
    {
        while (!bytes.empty()) {
            auto n = send(sock, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR)
                continue;
            if (n < 0)
                return false;
            bytes.remove_prefix(static_cast<size_t>(n));
        }
        return true;
    }

    /// @returns whether the connection stays open.
    bool writeResponse(socket_t sock, const std::string& response, ResponseFault fault)
    {
        auto truncated = std::string_view(response).substr(0, response.size() - 1 - response.size() / 4);
        switch (fault) {
        case ResponseFault::Truncate:
            sendAll(sock, truncated);
            return false;
        case ResponseFault::Exit:
            sendAll(sock, truncated);
            _exit(1);
        case ResponseFault::Close:
            return false;
        case ResponseFault::Duplicate:
            return sendAll(sock, response + response);
        default:
            return sendAll(sock, response);
        }
    }

    /// @returns whether there is input to read, or the peer closed the connection, within pollTimeoutMs.
    bool waitUntilReadable(socket_t sock)
    {
        pollfd fd { sock, POLLIN, 0 };
        return poll(&fd, 1, pollTimeoutMs) > 0;
    }

} // namespace

EndpointServer::EndpointServer(SimulatedEndpoint& endpoint, int64_t connections)
    : m_endpoint(endpoint)
{
    set_tcp_nodelay(true);
    new_task_queue = [connections] { return new httplib::ThreadPool(static_cast<size_t>(connections)); };
    auto handler = [this](const httplib::Request& request, httplib::Response& response) { pendingResponseFault = m_endpoint.handle(request, response); };
    Get(".*", handler);
    Post(".*", handler);
    Put(".*", handler);
    Patch(".*", handler);
    Delete(".*", handler);
    Options(".*", handler);
}

bool EndpointServer::process_and_close_socket(socket_t sock)
{
    BufferingStream stream(sock);
    bool isOpen = true;
    // is_running() stays true until all connection threads have ended, whereas stop() resets the socket immediately.
    while (isOpen && svr_sock_ != INVALID_SOCKET) {
        if (!stream.hasBufferedInput() && !waitUntilReadable(sock))
            continue;
        bool isClosed = false;
        pendingResponseFault = ResponseFault::None;
        isOpen = process_request(stream, false, isClosed, nullptr) && !isClosed;
        auto response = stream.takeOutput();
        if (!response.empty())
            isOpen = writeResponse(sock, response, pendingResponseFault) && isOpen;
    }
    shutdown(sock, SHUT_RDWR);
    ::close(sock);
    return true;
}

} // namespace vanillalift::standin
