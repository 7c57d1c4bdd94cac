#include "endpoint_server_p.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace vanillalift::standin {

namespace {

    constexpr int pollMs = 100;
    /// Set by the handler for the answer that the same thread writes next.
    thread_local ResponseFault writeFaultOfThread = ResponseFault::None;

    /// Reads from the socket and collects what is written, so that the answer can be damaged as a whole.
    class CollectingStream final : public httplib::Stream {
    public:
        explicit CollectingStream(socket_t sock)
            : m_sock(sock)
        {
        }

        [[nodiscard]] bool is_readable() const override { return true; } // NOLINT(readability-identifier-naming)
        [[nodiscard]] bool is_writable() const override { return true; } // NOLINT(readability-identifier-naming)
        ssize_t read(char* ptr, size_t size) override
        {
            if (m_begin == m_filled) {
                auto n = recv(m_sock, m_buffer.data(), m_buffer.size(), 0);
                if (n <= 0)
                    return n;
                m_begin = 0;
                m_filled = static_cast<size_t>(n);
            }
            auto n = std::min(size, m_filled - m_begin);
            std::copy_n(m_buffer.data() + m_begin, n, ptr);
            m_begin += n;
            return static_cast<ssize_t>(n);
        }
        ssize_t write(const char* ptr, size_t size) override
        {
            m_collected.append(ptr, size);
            return static_cast<ssize_t>(size);
        }
        void get_remote_ip_and_port(std::string& /*ip*/, int& /*port*/) const override { } // NOLINT(readability-identifier-naming)
        void get_local_ip_and_port(std::string& /*ip*/, int& /*port*/) const override { } // NOLINT(readability-identifier-naming)
        [[nodiscard]] socket_t socket() const override { return m_sock; }

        [[nodiscard]] bool hasInput() const { return m_begin != m_filled; }
        std::string take() { return std::exchange(m_collected, {}); }

    private:
        socket_t m_sock;
        std::string m_collected;
        size_t m_begin = 0;
        size_t m_filled = 0;
        std::array<char, 8192> m_buffer {};
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
    bool writeAnswer(socket_t sock, const std::string& answer, ResponseFault fault)
    {
        auto half = std::string_view(answer).substr(0, answer.size() - 1 - answer.size() / 4);
        switch (fault) {
        case ResponseFault::Truncate:
            sendAll(sock, half);
            return false;
        case ResponseFault::Die:
            sendAll(sock, half);
            _exit(1);
        case ResponseFault::Close:
            return false;
        case ResponseFault::Twice:
            return sendAll(sock, answer + answer);
        default:
            return sendAll(sock, answer);
        }
    }

    bool isReadable(socket_t sock)
    {
        pollfd fd { sock, POLLIN, 0 };
        return poll(&fd, 1, pollMs) > 0;
    }

} // namespace

EndpointServer::EndpointServer(SimulatedEndpoint& work, int64_t connections)
    : m_work(work)
{
    set_tcp_nodelay(true);
    new_task_queue = [connections] { return new httplib::ThreadPool(static_cast<size_t>(connections)); };
    auto handler = [this](const httplib::Request& request, httplib::Response& response) { writeFaultOfThread = m_work.handle(request, response); };
    Get(".*", handler);
    Post(".*", handler);
    Put(".*", handler);
    Patch(".*", handler);
    Delete(".*", handler);
    Options(".*", handler);
}

bool EndpointServer::process_and_close_socket(socket_t sock)
{
    CollectingStream stream(sock);
    bool isOpen = true;
    // is_running() stays true until all connection threads have ended; stop() resets the socket at once.
    while (isOpen && svr_sock_ != INVALID_SOCKET) {
        if (!stream.hasInput() && !isReadable(sock))
            continue;
        bool isClosed = false;
        writeFaultOfThread = ResponseFault::None;
        isOpen = process_request(stream, false, isClosed, nullptr) && !isClosed;
        auto answer = stream.take();
        if (!answer.empty())
            isOpen = writeAnswer(sock, answer, writeFaultOfThread) && isOpen;
    }
    shutdown(sock, SHUT_RDWR);
    ::close(sock);
    return true;
}

} // namespace vanillalift::standin
