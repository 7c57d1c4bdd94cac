#pragma once

#include "peer_claims_p.h"

namespace vanillalift {

/// Serves the claim methods of one entry to the other entries.
class ClaimServer {
public:
    explicit ClaimServer(PeerClaims& claims)
        : m_claims(claims)
    {
    }

    /// Adds claim, settle, release, copy_claims and fetch_answer. Call before the server's start().
    void addMethods(RpcServer& server);
    /// Carries out one call.
    RpcResult call(const std::string& method, const nlohmann::json& params);

private:
    PeerClaims& m_claims;
};

} // namespace vanillalift
