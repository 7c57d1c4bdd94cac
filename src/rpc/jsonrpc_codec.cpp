#include "jsonrpc_codec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <jsonrpccpp/common/jsonparser.h>

namespace vanillalift {

namespace {

    std::string writeJson(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return Json::writeString(builder, value);
    }

    bool readJson(const std::string& text, Json::Value& value)
    {
        Json::CharReaderBuilder builder;
        std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        std::string errors;
        return reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    }

    class TransportConnector : public jsonrpc::IClientConnector {
    public:
        explicit TransportConnector(const JsonRpcTransport& transport)
            : m_transport(transport)
        {
        }

        void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override // NOLINT(readability-identifier-naming,modernize-use-noexcept): overrides jsonrpccpp
        {
            if (!m_transport(message, result))
                throw jsonrpc::JsonRpcException(jsonRpcNoResponse, "no response from the server");
        }

    private:
        const JsonRpcTransport& m_transport;
    };

} // namespace

class JsonRpcDispatcher::Impl : public jsonrpc::IProcedureInvokationHandler {
public:
    explicit Impl(JsonRpcMethod method)
        : m_method(std::move(method))
        , m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override // NOLINT(readability-identifier-naming)
    {
        auto result = m_method(procedure.GetProcedureName(), writeJson(input));
        if (result.errorCode != 0)
            throw jsonrpc::JsonRpcException(result.errorCode, result.errorMessage);
        readJson(result.json, output);
    }

    void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/, const Json::Value& /*input*/) override // NOLINT(readability-identifier-naming)
    {
    }

    jsonrpc::IProtocolHandler& protocol() { return *m_protocol; }

private:
    JsonRpcMethod m_method;
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
};

JsonRpcDispatcher::JsonRpcDispatcher(JsonRpcMethod method)
    : m_impl(new Impl(std::move(method)))
{
}

JsonRpcDispatcher::~JsonRpcDispatcher() = default;

void JsonRpcDispatcher::addMethod(const std::string& name)
{
    m_impl->protocol().AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string JsonRpcDispatcher::handle(const std::string& request)
{
    std::string response;
    m_impl->protocol().HandleRequest(request, response);
    return response;
}

JsonRpcResult callJsonRpc(const JsonRpcTransport& transport, const std::string& method, const std::string& params)
{
    TransportConnector connector(transport);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    Json::Value input;
    if (!readJson(params, input))
        return { "", jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, "the parameters are not valid JSON" };
    try {
        return { writeJson(client.CallMethod(method, input)), 0, "" };
    } catch (const jsonrpc::JsonRpcException& error) {
        return { "", error.GetCode() == 0 ? jsonRpcNoResponse : error.GetCode(), error.GetMessage() };
    }
}

} // namespace vanillalift
