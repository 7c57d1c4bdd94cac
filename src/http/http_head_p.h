#pragma once

#include <vanillalift/outcome.h>

#include <optional>

namespace vanillalift {

/// Request line and headers of one request, strictly validated. They are parsed here because cpp-httplib skips malformed
/// lines, decodes percent escapes in header values and ignores the body of a GET.
struct HttpHead {
    /// Set if the request must be refused.
    std::optional<Reason> errorReason;
    std::string detail;
    std::string method;
    /// Path and query, as sent.
    std::string target;
    std::string version;
    /// Unmodified values, in the order sent.
    std::vector<Header> headers;
    uint64_t contentLength = 0;
    bool isChunked = false;

    /// @returns the head that cpp-httplib gets: the request line, Expect, Authorization, Connection and the framing headers.
    [[nodiscard]] std::string serializeForHttplib() const;
    /// @returns the value, or nullptr if the header is absent. @remarks Names are case-insensitive.
    [[nodiscard]] const std::string* find(std::string_view name) const;
    [[nodiscard]] size_t count(std::string_view name) const;
    /// @returns whether a Connection header lists @p option, such as "close" or the name of a hop-by-hop header.
    [[nodiscard]] bool hasConnectionOption(std::string_view option) const;
};

/// @param text the head up to and including the empty line.
HttpHead parseHttpHead(std::string_view text, uint64_t maxBodyBytes);

bool equalsIgnoringCase(std::string_view a, std::string_view b);

} // namespace vanillalift
