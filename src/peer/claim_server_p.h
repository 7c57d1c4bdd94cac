#pragma once

#include "peer_claims_p.h"

namespace vanillalift {

/// Serves the claim methods of this entry to the other entries over RPC.
class ClaimServer {
public:
    explicit ClaimServer(PeerClaims& claims)
        : m_claims(claims)
    {
    }

    /// Registers claim, settle, release, copy_claims and fetch_answer. Must be called before the server's start().
    void addMethods(RpcServer& server);
    /// Dispatches one call. @returns an error if the method is unknown or the parameters are malformed.
    RpcResult call(const std::string& method, const nlohmann::json& params);

private:
    PeerClaims& m_claims;
};

} // namespace vanillalift
