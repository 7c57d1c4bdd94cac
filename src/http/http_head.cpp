#include "http_head_p.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <strings.h>

namespace vanillalift {

namespace {

    constexpr size_t maxHeaderCount = 100;
    constexpr size_t maxTargetLength = 8000;

    bool isTokenCharacter(char c)
    {
        constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || punctuation.find(c) != std::string_view::npos;
    }

    bool isValueCharacter(char c) { return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != '\x7f'); }

    std::string_view trimmed(std::string_view text)
    {
        auto begin = text.find_first_not_of(" \t");
        return begin == std::string_view::npos ? std::string_view() : text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
    }

    void refuse(HttpHead& head, Reason reason, std::string detail)
    {
        if (head.errorReason)
            return;
        head.errorReason = reason;
        head.detail = std::move(detail);
    }

    void parseRequestLine(HttpHead& head, std::string_view line)
    {
        constexpr std::array<std::string_view, 7> methods { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS" };
        auto first = line.find(' ');
        auto last = line.rfind(' ');
        if (first == std::string_view::npos || last == first)
            return refuse(head, Reason::MalformedHeader, "the request line must consist of a method, a target and a version");
        head.method = line.substr(0, first);
        head.target = line.substr(first + 1, last - first - 1);
        head.version = line.substr(last + 1);
        auto isVisible = [](char c) { return c > ' ' && c <= '~'; };
        if (std::find(methods.begin(), methods.end(), head.method) == methods.end())
            return refuse(head, Reason::MalformedHeader, "the method is not supported");
        if (head.target.empty() || head.target.front() != '/' || !std::all_of(head.target.begin(), head.target.end(), isVisible))
            return refuse(head, Reason::MalformedHeader, "the target must start with '/' and contain only visible ASCII characters");
        if (head.target.size() > maxTargetLength)
            return refuse(head, Reason::MalformedHeader, "the target is longer than " + std::to_string(maxTargetLength) + " bytes");
        if (head.version != "HTTP/1.1" && head.version != "HTTP/1.0")
            return refuse(head, Reason::MalformedHeader, "the version must be HTTP/1.1 or HTTP/1.0");
    }

    void parseHeaderLine(HttpHead& head, std::string_view line)
    {
        auto colon = line.find(':');
        auto name = line.substr(0, std::min(colon, line.size()));
        if (colon == std::string_view::npos || name.empty() || !std::all_of(name.begin(), name.end(), isTokenCharacter))
            return refuse(head, Reason::MalformedHeader, "a header line must have the form: name, colon, value");
        auto value = trimmed(line.substr(colon + 1));
        if (!std::all_of(value.begin(), value.end(), isValueCharacter))
            return refuse(head, Reason::MalformedHeader, "the header " + std::string(name) + " contains a control character");
        if (head.headers.size() == maxHeaderCount)
            return refuse(head, Reason::MalformedHeader, "the request has more than " + std::to_string(maxHeaderCount) + " headers");
        head.headers.emplace_back(name, value);
    }

    void checkFraming(HttpHead& head, uint64_t maxBodyBytes)
    {
        if (head.count("Content-Length") > 1 || head.count("Transfer-Encoding") > 1 || head.count("Expect") > 1)
            return refuse(head, Reason::MalformedHeader, "Content-Length, Transfer-Encoding and Expect must each be given at most once");
        const auto* length = head.find("Content-Length");
        const auto* encoding = head.find("Transfer-Encoding");
        if (length && encoding)
            return refuse(head, Reason::MalformedHeader, "Content-Length and Transfer-Encoding must not be given together");
        if (encoding && (!equalsIgnoringCase(*encoding, "chunked") || head.version == "HTTP/1.0"))
            return refuse(head, Reason::MalformedHeader, "Transfer-Encoding must be chunked and requires HTTP/1.1");
        head.isChunked = encoding != nullptr;
        if (length) {
            const auto* end = length->data() + length->size();
            auto [ptr, ec] = std::from_chars(length->data(), end, head.contentLength);
            if (ec == std::errc::result_out_of_range)
                head.contentLength = maxBodyBytes + 1;
            else if (ec != std::errc {} || ptr != end)
                return refuse(head, Reason::MalformedHeader, "Content-Length must be a non-negative integer");
        }
        if (head.contentLength > maxBodyBytes)
            return refuse(head, Reason::PayloadTooLarge, "the body is larger than " + std::to_string(maxBodyBytes) + " bytes");
        bool isBodyForbidden = head.method == "GET" || head.method == "HEAD" || head.method == "OPTIONS";
        if (isBodyForbidden && (head.isChunked || head.contentLength > 0))
            return refuse(head, Reason::MalformedHeader, "the method " + head.method + " does not allow a request body");
    }

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* HttpHead::find(std::string_view name) const
{
    auto it = std::find_if(headers.begin(), headers.end(), [&](const Header& h) { return equalsIgnoringCase(h.first, name); });
    return it == headers.end() ? nullptr : &it->second;
}

size_t HttpHead::count(std::string_view name) const
{
    return static_cast<size_t>(std::count_if(headers.begin(), headers.end(), [&](const Header& h) { return equalsIgnoringCase(h.first, name); }));
}

bool HttpHead::hasConnectionOption(std::string_view option) const
{
    for (const auto& [name, value] : headers) {
        if (!equalsIgnoringCase(name, "Connection"))
            continue;
        std::string_view rest = value;
        while (!rest.empty()) {
            auto comma = std::min(rest.find(','), rest.size());
            if (equalsIgnoringCase(trimmed(rest.substr(0, comma)), option))
                return true;
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return false;
}

std::string HttpHead::serializeForHttplib() const
{
    std::string text = method + " " + target + " " + version + "\r\n";
    for (const char* name : { "Expect", "Authorization" }) {
        if (const auto* value = find(name))
            text += std::string(name) + ": " + *value + "\r\n";
    }
    // cpp-httplib recognizes only these exact values of the Connection header.
    if (hasConnectionOption("close"))
        text += "Connection: close\r\n";
    else if (hasConnectionOption("keep-alive"))
        text += "Connection: Keep-Alive\r\n";
    // Without a Content-Length, cpp-httplib reads the body of a POST until the connection closes.
    if (isChunked)
        text += "Transfer-Encoding: chunked\r\n";
    else
        text += "Content-Length: " + std::to_string(contentLength) + "\r\n";
    return text + "\r\n";
}

HttpHead parseHttpHead(std::string_view text, uint64_t maxBodyBytes)
{
    HttpHead head;
    auto end = text.find("\r\n");
    parseRequestLine(head, text.substr(0, end));
    text.remove_prefix(std::min(text.size(), end == std::string_view::npos ? end : end + 2));
    while ((end = text.find("\r\n")) != std::string_view::npos && end > 0) {
        parseHeaderLine(head, text.substr(0, end));
        text.remove_prefix(end + 2);
    }
    checkFraming(head, maxBodyBytes);
    return head;
}

} // namespace vanillalift
