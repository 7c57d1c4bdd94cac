#pragma once

#include <vanillalift/outcome.h>

#include <optional>

namespace vanillalift {

/// The request line and headers of one request, checked strictly. cpp-httplib skips malformed lines, decodes
/// percent escapes in header values and ignores the body of a GET, so the raw values are read here.
struct HttpHead {
    /// Set if the request has to be refused.
    std::optional<Reason> errorReason;
    std::string detail;
    std::string method;
    /// Path and query as sent.
    std::string target;
    std::string version;
    /// Values as sent, in the order sent.
    std::vector<Header> headers;
    uint64_t contentLength = 0;
    bool isChunked = false;

    /// @returns the head for cpp-httplib: the request line and the headers that control framing.
    [[nodiscard]] std::string serializeForHttplib() const;
    /// @returns the value, or nullptr if the header is absent. @remarks Names compare without case.
    [[nodiscard]] const std::string* find(std::string_view name) const;
    [[nodiscard]] size_t count(std::string_view name) const;
    /// @returns whether a Connection header lists @p option, for example "close" or the name of a hop-by-hop header.
    [[nodiscard]] bool hasConnectionOption(std::string_view option) const;
};

/// @param text everything up to and including the empty line.
HttpHead parseHttpHead(std::string_view text, uint64_t maxBodyBytes);

bool equalsIgnoringCase(std::string_view a, std::string_view b);

} // namespace vanillalift
