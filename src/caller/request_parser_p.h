#pragma once

#include "http/http_head_p.h"

#include <vanillalift/authority.h>
#include <vanillalift/request.h>

#include <tl/expected.hpp>

#include <atomic>

namespace vanillalift {

/// A refusal before the request reached the RequestHandler.
struct ParseRefusal {
    Reason reason = Reason::InternalError;
    std::string detail;
    /// Whether an earlier receipt under the caller's request id may have run.
    bool mayHaveRun = false;
    /// Filled as far as the parser came.
    std::string service;
    std::string team;
    std::string requestId;
};

/// @returns the service's part of "/s/{service}/{path}", or nothing if the target has another form.
std::string_view serviceNameFromTarget(std::string_view target);

/// @returns whether a header is passed on between caller and endpoint.
bool isForwardedHeader(std::string_view name);

/// Whether a request that was refused unread may have run under its id in an earlier receipt.
/// @param input what was read of the request; may be cut off in its head.
bool mayHaveRunEarlier(const Catalog* catalog, std::string_view input);

/// Checks heads of callers' requests against the configuration. No secret of a key enters a result.
class RequestParser {
public:
    /// @param entryName unique in the site.
    RequestParser(const Authority& authority, const std::string& entryName);

    /// @returns the request without its body, or why it is refused.
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
