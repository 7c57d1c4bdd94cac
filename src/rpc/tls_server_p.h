#pragma once

#include <vanillalift/rpc.h>

#include <httplib.h>

#include <thread>

namespace vanillalift {

/// TLS server of httplib. It occupies a thread for each open connection, so it is for ports with few connections only.
class TlsServer final : public httplib::SSLServer {
public:
    explicit TlsServer(const RpcServerDesc& desc)
        : SSLServer(desc.certificateFile.c_str(), desc.keyFile.c_str())
        , m_address(desc.address)
        , m_port(desc.port)
    {
        set_tcp_nodelay(true);
        set_payload_max_length(desc.maxRequestBytes);
        new_task_queue = [threads = desc.threads] { return new httplib::ThreadPool(static_cast<size_t>(threads)); };
    }
    ~TlsServer() override { stop(); }

    /// @returns false if the address cannot be bound or the certificate and key are unusable or do not match.
    [[nodiscard]] bool start()
    {
        if (!is_valid())
            return false;
        m_port = m_port == 0 ? bind_to_any_port(m_address) : (bind_to_port(m_address, m_port) ? m_port : -1);
        if (m_port < 0)
            return false;
        m_thread = std::thread([this] { listen_after_bind(); });
        while (!is_running())
            std::this_thread::yield();
        return true;
    }

    void stop()
    {
        if (!m_thread.joinable())
            return;
        SSLServer::stop();
        m_thread.join();
    }

    [[nodiscard]] int port() const { return m_port; }

private:
    std::string m_address;
    int m_port;
    std::thread m_thread;
};

} // namespace vanillalift
