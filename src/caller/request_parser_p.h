#pragma once

#include "http/http_head_p.h"

#include <vanillalift/authority.h>
#include <vanillalift/request.h>

#include <tl/expected.hpp>

#include <atomic>

namespace vanillalift {

/// A refusal of a request before it reaches the RequestHandler.
struct ParseRefusal {
    Reason reason = Reason::InternalError;
    std::string detail;
    /// Whether an earlier delivery with the same caller's request id may have run.
    bool mayHaveRun = false;
    /// The next three are filled as far as the request was parsed.
    std::string service;
    std::string team;
    std::string requestId;
};

/// @returns the service name in "/s/{service}/{path}", or an empty view if the target has another form.
std::string_view serviceNameFromTarget(std::string_view target);

/// @returns whether a header is forwarded between caller and endpoint.
bool isForwardedHeader(std::string_view name);

/// Whether a request that was refused before it was parsed may have run in an earlier delivery with the same id.
/// @param input the part of the request that was read; the head may be truncated.
bool mayHaveRunEarlier(const Catalog* catalog, std::string_view input);

/// Parses and authorizes the heads of callers' requests. Results never contain the secret of a key.
class RequestParser {
public:
    /// @param entryName unique within the site.
    RequestParser(const Authority& authority, const std::string& entryName);

    /// @returns the request without its body, or the reason for its refusal.
    tl::expected<Request, ParseRefusal> parse(const HttpHead& head, TimePoint now);

private:
    using Check = tl::expected<void, ParseRefusal>;

    Check parseId(const HttpHead& head, Request& request);
    Check authorize(const HttpHead& head, const Catalog& catalog, ServiceHandle service, Request& request, TimePoint now) const;

    const Authority& m_authority;
    std::string m_idPrefix;
    std::atomic<uint64_t> m_generatedIds { 0 };
};

} // namespace vanillalift
