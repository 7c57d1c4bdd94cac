#pragma once

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

/// One connection of a RawServer, over which a test can send arbitrary bytes.
class RawConnection {
public:
    RawConnection(int fd, std::atomic<size_t>& received)
        : m_fd(fd)
        , m_received(received)
    {
    }

    /// Reads one request with its body. @returns false if the client has closed the connection.
    bool readRequest()
    {
        m_request.clear();
        while (true) {
            auto end = m_request.find("\r\n\r\n");
            if (end != std::string::npos && m_request.size() >= end + 4 + contentLength())
                return true;
            char buf[4096];
            auto n = recv(m_fd, buf, sizeof buf, 0);
            if (n <= 0)
                return false;
            m_received += static_cast<size_t>(n);
            m_request.append(buf, static_cast<size_t>(n));
        }
    }

    void write(const std::string& bytes) { (void)::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

    /// Blocks until the client's kernel has acknowledged all written bytes.
    void waitUntilAcked() const
    {
        int unackedBytes = 1;
        while (ioctl(m_fd, SIOCOUTQ, &unackedBytes) == 0 && unackedBytes > 0)
            std::this_thread::yield();
    }

    /// Writes a complete response to the last request.
    void answer(const std::string& body) { write(head("200 OK", body.size()) + body); }

    [[nodiscard]] std::string head(const std::string& status, size_t length) const
    {
        return "HTTP/1.1 " + status + "\r\n" + attemptIdHeader() + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
    }
    [[nodiscard]] std::string attemptIdHeader() const { return "Vanillalift-Attempt-Id: " + header("Vanillalift-Attempt-Id") + "\r\n"; }

    [[nodiscard]] std::string header(const std::string& name) const
    {
        auto begin = m_request.find("\r\n" + name + ": ");
        if (begin == std::string::npos)
            return {};
        begin += name.size() + 4;
        return m_request.substr(begin, m_request.find("\r\n", begin) - begin);
    }
    [[nodiscard]] const std::string& request() const { return m_request; }

    /// Blocks until the client closes the connection.
    void waitForClose()
    {
        char buf[256];
        while (recv(m_fd, buf, sizeof buf, 0) > 0) { }
    }

private:
    [[nodiscard]] size_t contentLength() const
    {
        auto text = header("Content-Length");
        return text.empty() ? 0 : std::stoul(text);
    }

    int m_fd;
    std::atomic<size_t>& m_received;
    std::string m_request;
};

/// A TCP server on a free loopback port. It calls a function on a thread of its own for each connection, with the number of
/// the connection from 0.
class RawServer {
public:
    using ConnectionHandler = std::function<void(RawConnection&, int)>;

    explicit RawServer(ConnectionHandler handler)
        : m_handler(std::move(handler))
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof name;
        if (bind(m_listener, reinterpret_cast<sockaddr*>(&name), size) != 0 || listen(m_listener, 64) != 0
            || getsockname(m_listener, reinterpret_cast<sockaddr*>(&name), &size) != 0)
            throw std::runtime_error("cannot listen on a loopback port");
        m_port = ntohs(name.sin_port);
        m_acceptor = std::thread([this] { acceptAll(); });
    }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;
    ~RawServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        {
            std::lock_guard lock(m_mutex);
            for (int fd : m_open)
                shutdown(fd, SHUT_RDWR);
        }
        for (auto& it : m_threads)
            it.join();
        close(m_listener);
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    [[nodiscard]] size_t received() const { return m_received; }
    [[nodiscard]] int connections() const { return m_connections; }
    [[nodiscard]] int closed() const { return m_closed; }

private:
    void acceptAll()
    {
        while (true) {
            int fd = accept(m_listener, nullptr, nullptr);
            if (fd < 0)
                return;
            std::lock_guard lock(m_mutex);
            m_open.push_back(fd);
            m_threads.emplace_back([this, fd, number = m_connections++] {
                RawConnection connection(fd, m_received);
                m_handler(connection, number);
                std::lock_guard closing(m_mutex);
                std::erase(m_open, fd);
                close(fd);
                ++m_closed;
            });
        }
    }

    ConnectionHandler m_handler;
    int m_listener;
    int m_port = 0;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::vector<int> m_open;
    std::vector<std::thread> m_threads;
    std::atomic<size_t> m_received { 0 };
    std::atomic<int> m_connections { 0 };
    std::atomic<int> m_closed { 0 };
};
