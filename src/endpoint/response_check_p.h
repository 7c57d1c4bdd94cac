#pragma once

#include <vanillalift/endpoint.h>

#include <httplib.h>

namespace vanillalift {

/// What the status line and headers of an answer say about it.
struct ResponseHead {
    /// Set if the answer is not to be delivered, whatever its body is.
    std::optional<AttemptResult> verdict;
    /// The endpoint proved that it did not start the attempt. This holds even if the body is cut.
    bool isNotStarted = false;
    bool hasBody = true;
    /// Value of Content-Length, or nothing with chunked encoding.
    std::optional<uint64_t> length;
};

/// Checks the head before any of the body is read.
ResponseHead checkResponseHead(const AttemptDesc& desc, const httplib::Response& response);

/// @returns the request as the endpoint gets it: without hop-by-hop headers, with the protocol's own.
httplib::Request makeEndpointRequest(const AttemptDesc& desc, int64_t timeoutMs);

/// @returns the answer without hop-by-hop headers.
Answered makeAnswer(httplib::Response& response, std::string body);

} // namespace vanillalift
