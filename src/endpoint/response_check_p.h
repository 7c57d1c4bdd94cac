#pragma once

#include <vanillalift/endpoint.h>

#include <httplib.h>

namespace vanillalift {

/// Result of checking the status line and headers of an endpoint's response.
struct ResponseHead {
    /// Set if the response must not be passed on, whatever its body is.
    std::optional<AttemptResult> rejection;
    /// The endpoint confirmed that it did not start the attempt. Valid even if the body is truncated.
    bool isNotStarted = false;
    bool hasBody = true;
    /// Value of Content-Length; not set with chunked encoding.
    std::optional<uint64_t> contentLength;
};

/// Checks the status line and headers before any of the body is read.
ResponseHead checkResponseHead(const AttemptDesc& desc, const httplib::Response& response);

/// @returns the request to be sent to the endpoint: the caller's headers without hop-by-hop headers, and the headers
/// that identify the attempt.
httplib::Request makeEndpointRequest(const AttemptDesc& desc, int64_t timeoutMs);

/// @returns the response without hop-by-hop headers.
Answered makeAnswer(httplib::Response& response, std::string body);

} // namespace vanillalift
