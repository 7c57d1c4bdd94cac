#include "http_p.h"

#include <vanillalift/config.h>

#include <strings.h>

namespace vanillalift::net {

std::string_view headerValue(const HttpHeaders& headers, std::string_view name)
{
    for (const auto& it : headers) {
        if (it.name.size() == name.size() && strncasecmp(it.name.data(), name.data(), name.size()) == 0)
            return it.value;
    }
    return {};
}

HttpParser::HttpParser(Kind kind, Limits limits)
    : m_limits(limits)
{
    http_parser_init(&m_parser, kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
}

const http_parser_settings& HttpParser::settings()
{
    static const auto self = [](http_parser* parser) -> HttpParser& { return *static_cast<HttpParser*>(parser->data); };
    static const auto countHeadBytes = [](HttpParser& it, size_t n) {
        it.m_headBytes += n;
        it.m_isTooLarge = it.m_isTooLarge || it.m_headBytes > it.m_limits.headBytes;
        return it.m_isTooLarge ? 1 : 0;
    };
    static const auto callbacks = [] {
        http_parser_settings it;
        http_parser_settings_init(&it);
        it.on_message_begin = [](http_parser* parser) {
            self(parser).m_hasBegun = true;
            return 0;
        };
        it.on_url = [](http_parser* parser, const char* at, size_t n) {
            self(parser).m_target.append(at, n);
            return countHeadBytes(self(parser), n);
        };
        it.on_header_field = [](http_parser* parser, const char* at, size_t n) {
            auto& it = self(parser);
            // Trailers are not needed.
            if (it.m_isInBody)
                return countHeadBytes(it, n);
            if (it.m_headers.empty() || it.m_isInValue)
                it.m_headers.emplace_back();
            it.m_isInValue = false;
            it.m_isTooLarge = it.m_isTooLarge || it.m_headers.size() > config::maxHttpHeaders;
            it.m_headers.back().name.append(at, n);
            return countHeadBytes(it, n);
        };
        it.on_header_value = [](http_parser* parser, const char* at, size_t n) {
            auto& it = self(parser);
            if (it.m_isInBody)
                return countHeadBytes(it, n);
            it.m_isInValue = true;
            it.m_headers.back().value.append(at, n);
            return countHeadBytes(it, n);
        };
        it.on_headers_complete = [](http_parser* parser) {
            auto& it = self(parser);
            it.m_isInBody = true;
            if (parser->type == HTTP_REQUEST && !it.resolveTarget())
                return -1;
            bool isLengthKnown = parser->content_length != UINT64_MAX;
            it.m_isTooLarge = it.m_isTooLarge || (isLengthKnown && parser->content_length > it.m_limits.bodyBytes);
            return it.m_isTooLarge ? -1 : 0;
        };
        it.on_chunk_header = [](http_parser* parser) {
            auto& it = self(parser);
            it.m_isTooLarge = it.m_isTooLarge || parser->content_length > it.m_limits.bodyBytes - it.m_body.size();
            return it.m_isTooLarge ? 1 : 0;
        };
        it.on_body = [](http_parser* parser, const char* at, size_t n) {
            auto& it = self(parser);
            it.m_isTooLarge = it.m_isTooLarge || it.m_body.size() + n > it.m_limits.bodyBytes;
            if (it.m_isTooLarge)
                return 1;
            it.m_body.append(at, n);
            return 0;
        };
        it.on_message_complete = [](http_parser* parser) {
            auto& it = self(parser);
            // An interim response precedes the one that answers the request.
            if (parser->type == HTTP_RESPONSE && parser->status_code / 100 == 1 && parser->status_code != 101) {
                it.reset();
                return 0;
            }
            it.m_isComplete = true;
            it.m_shouldKeepAlive = http_should_keep_alive(parser) != 0;
            if (parser->type == HTTP_REQUEST)
                it.m_method = http_method_str(static_cast<http_method>(parser->method));
            http_parser_pause(parser, 1);
            return 0;
        };
        return it;
    }();
    return callbacks;
}

size_t HttpParser::feed(std::string_view bytes)
{
    if (m_isComplete || m_hasFailed)
        return 0;
    m_parser.data = this;
    auto used = http_parser_execute(&m_parser, &settings(), bytes.data(), bytes.size());
    auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error == HPE_PAUSED) {
        http_parser_pause(&m_parser, 0);
        return used;
    }
    if (error != HPE_OK || m_parser.upgrade)
        m_hasFailed = true;
    return used;
}

void HttpParser::feedEnd()
{
    if (m_isComplete || m_hasFailed)
        return;
    m_parser.data = this;
    http_parser_execute(&m_parser, &settings(), nullptr, 0);
}

void HttpParser::reset()
{
    m_hasBegun = false;
    m_isInBody = false;
    m_isComplete = false;
    m_isInValue = false;
    m_headBytes = 0;
    m_method.clear();
    m_target.clear();
    m_headers.clear();
    m_body.clear();
}

bool HttpParser::expectsContinue() const
{
    constexpr std::string_view expected = "100-continue";
    auto value = headerValue(m_headers, "Expect");
    return !isVersion10() && value.size() == expected.size() && strncasecmp(value.data(), expected.data(), expected.size()) == 0;
}

bool HttpParser::resolveTarget()
{
    HttpHeader* host = nullptr;
    for (auto& it : m_headers) {
        if (strcasecmp(it.name.c_str(), "Host") != 0)
            continue;
        if (host)
            return false;
        host = &it;
    }
    if (m_target.starts_with('/') || m_target == "*" || m_parser.method == HTTP_CONNECT)
        return true;
    http_parser_url url;
    http_parser_url_init(&url);
    if (http_parser_parse_url(m_target.data(), m_target.size(), 0, &url) != 0 || !(url.field_set & (1U << UF_HOST)))
        return false;
    auto field = [&](http_parser_url_fields name) { return url.field_set & (1U << name) ? m_target.substr(url.field_data[name].off, url.field_data[name].len) : std::string(); };
    auto port = field(UF_PORT);
    auto authority = field(UF_HOST) + (port.empty() ? "" : ':' + port);
    if (host)
        host->value = authority;
    else
        m_headers.push_back({ "Host", authority });
    auto path = field(UF_PATH);
    auto query = field(UF_QUERY);
    m_target = (path.empty() ? "/" : path) + (query.empty() ? "" : '?' + query);
    return true;
}

HttpRequest HttpParser::takeRequest()
{
    HttpRequest request { std::move(m_method), std::move(m_target), std::move(m_headers), std::move(m_body) };
    reset();
    return request;
}

HttpResponse HttpParser::takeResponse()
{
    HttpResponse response { static_cast<int>(m_parser.status_code), std::move(m_headers), std::move(m_body) };
    reset();
    return response;
}

} // namespace vanillalift::net
