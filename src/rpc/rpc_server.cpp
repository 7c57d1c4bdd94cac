#include <vanillalift/rpc.h>

#include "http/http_server_p.h"
#include "jsonrpc_codec.h"
#include "tls_server_p.h"

#include <map>
#include <variant>

namespace vanillalift {

namespace {

    // JSON-RPC 2.0 reserves the codes -32768 to -32000; a call that the method refused has a code outside that range.
    constexpr int refusedCode = 2;
    constexpr int invalidParamsCode = -32602;
    // The JSON parser of jsonrpccpp recurses up to 1,000 levels deep.
    constexpr size_t stackBytes = 1U << 20U;

    HttpServerDesc httpDesc(const RpcServerDesc& desc)
    {
        return { .address = desc.address, .port = desc.port, .maxActiveRequests = static_cast<size_t>(desc.threads), .stackBytes = stackBytes, .maxBodyBytes = desc.maxRequestBytes };
    }

    struct AddRoute {
        httplib::Server::Handler handler;

        void operator()(std::monostate& /*none*/) const { }
        void operator()(httplib::Server& server) const { server.Post("/rpc", handler); }
    };

    struct Start {
        bool operator()(std::monostate& /*none*/) const { return false; }
        template <typename S>
        bool operator()(S& server) const { return server.start(); }
    };

    struct Stop {
        void operator()(std::monostate& /*none*/) const { }
        template <typename S>
        void operator()(S& server) const { server.stop(); }
    };

    struct Port {
        int operator()(const std::monostate& /*none*/) const { return 0; }
        template <typename S>
        int operator()(const S& server) const { return server.port(); }
    };

} // namespace

class RpcServer::Impl {
public:
    explicit Impl(RpcServerDesc desc)
        : m_desc(std::move(desc))
        , m_dispatcher([this](const std::string& method, const std::string& params) { return invoke(method, params); })
    {
        if (m_desc.certificateFile.empty())
            m_server.emplace<HttpServer>(httpDesc(m_desc));
        else
            m_server.emplace<TlsServer>(m_desc);
        httplib::Server::Handler handler = [this](const httplib::Request& request, httplib::Response& response) { handleRequest(request, response); };
        std::visit(AddRoute { std::move(handler) }, m_server);
    }

    void add(const std::string& method, RpcHandler handler)
    {
        m_handlers[method] = std::move(handler);
        m_dispatcher.addMethod(method);
    }

    bool start()
    {
        return std::visit(Start {}, m_server);
    }

    void stop()
    {
        std::visit(Stop {}, m_server);
    }

    [[nodiscard]] int port() const
    {
        return std::visit(Port {}, m_server);
    }

private:
    void handleRequest(const httplib::Request& request, httplib::Response& response)
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
            return { "", -32601, "method not found" };
        auto value = nlohmann::json::parse(params, nullptr, false);
        if (value.is_discarded())
            return { "", invalidParamsCode, "the parameters are not valid JSON" };
        auto result = it->second(value);
        if (result)
            return { result->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), 0, "" };
        return { "", result.error().code == RpcErrorCode::InvalidParams ? invalidParamsCode : refusedCode, result.error().message };
    }

    RpcServerDesc m_desc;
    std::map<std::string, RpcHandler> m_handlers;
    JsonRpcDispatcher m_dispatcher;
    std::variant<std::monostate, HttpServer, TlsServer> m_server;
};

RpcServer::RpcServer(RpcServerDesc desc)
    : m_impl(std::make_unique<Impl>(std::move(desc)))
{
}

RpcServer::~RpcServer() { stop(); }

void RpcServer::add(const std::string& method, RpcHandler handler) { m_impl->add(method, std::move(handler)); }

bool RpcServer::start() { return m_impl->start(); }

void RpcServer::stop() { m_impl->stop(); }

int RpcServer::port() const { return m_impl->port(); }

} // namespace vanillalift
