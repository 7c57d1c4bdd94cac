#include "claim_server_p.h"

namespace vanillalift {

void ClaimServer::addMethods(RpcServer& server)
{
    for (const char* method : { "claim", "settle", "release", "copy_claims", "fetch_answer" })
        server.add(method, [this, name = std::string(method)](const nlohmann::json& params) { return call(name, params); });
}

RpcResult ClaimServer::call(const std::string& method, const nlohmann::json& params)
{
    try {
        auto& holder = m_claims.holder();
        if (method == "claim")
            return holder.claim(params);
        if (method == "settle")
            return holder.settle(params);
        if (method == "release")
            return holder.release(params);
        if (method == "copy_claims")
            return holder.copyClaims(params);
        if (method == "fetch_answer")
            return m_claims.fetchAnswer(params);
    } catch (const nlohmann::json::exception& ec) {
        return tl::unexpected(RpcError { RpcErrorCode::InvalidParams, ec.what() });
    }
    return tl::unexpected(RpcError { RpcErrorCode::MethodNotFound, method });
}

} // namespace vanillalift
