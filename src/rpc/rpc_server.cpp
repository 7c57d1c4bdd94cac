#include <vanillalift/rpc.h>

#include "jsonrpc_codec.h"

#include <httplib.h>

#include <map>
#include <thread>

namespace vanillalift {

namespace {

    // JSON-RPC 2.0 reserves -32768 to -32000; refusals of our methods use a code outside that range.
    constexpr int refusedCode = 2;
    constexpr int malformedCode = -32602;

} // namespace

class RpcServer::Impl {
public:
    explicit Impl(RpcServerDesc desc)
        : m_desc(std::move(desc))
        , m_dispatcher([this](const std::string& method, const std::string& params) { return invoke(method, params); })
    {
        m_server.set_tcp_nodelay(true);
        m_server.set_keep_alive_max_count(1000000);
        // stop() waits for idle connections to time out.
        m_server.set_keep_alive_timeout(1);
        m_server.set_payload_max_length(m_desc.maxRequestBytes);
        m_server.new_task_queue = [threads = m_desc.threads] { return new httplib::ThreadPool(static_cast<size_t>(threads)); };
        m_server.Post("/rpc", [this](const httplib::Request& request, httplib::Response& response) { serve(request, response); });
    }

    void add(const std::string& method, RpcHandler handler)
    {
        m_handlers[method] = std::move(handler);
        m_dispatcher.addMethod(method);
    }

    bool start()
    {
        if (!m_server.bind_to_port(m_desc.address, m_desc.port))
            return false;
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        while (!m_server.is_running())
            std::this_thread::yield();
        return true;
    }

    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_server.stop();
        m_thread.join();
    }

private:
    void serve(const httplib::Request& request, httplib::Response& response)
    {
        if (!m_desc.token.empty() && request.get_header_value("Authorization") != "Bearer " + m_desc.token) {
            response.status = 401;
            return;
        }
        response.set_content(m_dispatcher.handle(request.body), "application/json");
    }

    JsonRpcResult invoke(const std::string& method, const std::string& params)
    {
        auto it = m_handlers.find(method);
        if (it == m_handlers.end())
            return { "", -32601, "unknown method" };
        auto value = nlohmann::json::parse(params, nullptr, false);
        if (value.is_discarded())
            return { "", malformedCode, "the parameters are not valid JSON" };
        auto result = it->second(value);
        if (result)
            return { result->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), 0, "" };
        return { "", result.error().code == RpcErrorCode::ParametersMalformed ? malformedCode : refusedCode, result.error().message };
    }

    RpcServerDesc m_desc;
    std::map<std::string, RpcHandler> m_handlers;
    JsonRpcDispatcher m_dispatcher;
    httplib::Server m_server;
    std::thread m_thread;
};

RpcServer::RpcServer(RpcServerDesc desc)
    : m_impl(std::make_unique<Impl>(std::move(desc)))
{
}

RpcServer::~RpcServer() { stop(); }

void RpcServer::add(const std::string& method, RpcHandler handler) { m_impl->add(method, std::move(handler)); }

bool RpcServer::start() { return m_impl->start(); }

void RpcServer::stop() { m_impl->stop(); }

} // namespace vanillalift
