#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <string>
#include <string_view>
#include <utility>

/// A loopback TCP client that sends bytes unmodified, for requests that no HTTP library would send.
class RawClient {
public:
    explicit RawClient(int port)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        // Ends a test that gets no response. No test relies on this timeout to pass.
        timeval timeout { 20, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_isConnected = connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    }
    ~RawClient() { close(); }
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;

    [[nodiscard]] bool isConnected() const { return m_isConnected; }

    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

    /// Closes the connection with a reset.
    void reset()
    {
        linger none { 1, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
        close();
    }

    void shutdownSend() const { shutdown(m_socket, SHUT_WR); }

    bool send(std::string_view text) const { return ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()); }

    /// @returns whether there is nothing to read.
    [[nodiscard]] bool hasNoInput() const
    {
        char first;
        return recv(m_socket, &first, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
    }

    /// @returns one response, whose body length is its Content-Length, or all bytes received before the connection closed.
    std::string readResponse()
    {
        while (true) {
            auto end = m_input.find("\r\n\r\n");
            if (end != std::string::npos) {
                auto length = m_input.find("Content-Length: ");
                size_t total = end + 4 + (length < end ? std::stoul(m_input.substr(length + 16, end - length - 16)) : 0);
                if (m_input.size() >= total) {
                    auto response = m_input.substr(0, total);
                    m_input.erase(0, total);
                    return response;
                }
            }
            if (!receive())
                return std::exchange(m_input, {});
        }
    }

    /// Reads until the connection closes. @returns whether it was closed normally, that is, without an error or a timeout.
    bool waitForEof()
    {
        while (receive())
            continue;
        return m_lastResult == 0;
    }

    /// Sends a request and returns its response.
    std::string roundTrip(std::string_view request)
    {
        send(request);
        return readResponse();
    }

private:
    bool receive()
    {
        std::array<char, 4096> buf;
        m_lastResult = recv(m_socket, buf.data(), buf.size(), 0);
        if (m_lastResult > 0)
            m_input.append(buf.data(), static_cast<size_t>(m_lastResult));
        return m_lastResult > 0;
    }

    int m_socket;
    bool m_isConnected = false;
    ssize_t m_lastResult = 0;
    std::string m_input;
};
