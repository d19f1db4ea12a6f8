#include "pimentoladder/Net/HttpMessageParser.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace pimentoladder {

namespace {

    constexpr std::size_t maxChunkLineBytes = 256; ///< Limit of a chunk's size and extensions.
    constexpr std::size_t maxTrailerBytes = std::size_t { 8 } * 1024;
    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view headEnd = "\r\n\r\n";

    bool isTokenCharacter(char c)
    {
        const bool isAlphanumeric = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        return isAlphanumeric || (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
    }

    bool isToken(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
    }

    bool isDigits(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    }

    bool isVisible(char c)
    {
        return c > ' ' && c < '\x7f';
    }

    /// Field values may contain tabs, spaces, visible ASCII and non-ASCII bytes.
    bool isValueCharacter(char c)
    {
        const auto code = static_cast<unsigned char>(c);
        return code == '\t' || (code >= ' ' && code != 0x7f);
    }

    /// Characters of a host name or address with an optional port.
    bool isHostCharacter(char c)
    {
        const bool isAlphanumeric = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        return isAlphanumeric || (c != '\0' && std::string_view("-._~%!$&'()*+;=:[]").find(c) != std::string_view::npos);
    }

    std::string_view trimmed(std::string_view text)
    {
        const std::size_t first = text.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    bool hasListItem(std::string_view list, std::string_view item)
    {
        while (!list.empty()) {
            const std::size_t comma = list.find(',');
            if (isSameHeaderName(trimmed(list.substr(0, comma)), item))
                return true;
            list = comma == std::string_view::npos ? std::string_view {} : list.substr(comma + 1);
        }
        return false;
    }

    std::string quoted(std::string_view text)
    {
        constexpr std::size_t longestQuote = 40;
        std::string quote = "\"";
        for (const char c : text.substr(0, longestQuote))
            quote += isVisible(c) && c != '"' && c != '\\' ? c : '?';
        return quote + '"';
    }

}

http_message_parser http_message_parser::forRequests(http_message_limits limits)
{
    return { true, limits };
}

http_message_parser http_message_parser::forResponses(http_message_limits limits)
{
    return { false, limits };
}

http_message_parser::http_message_parser(bool readsRequests, http_message_limits limits)
    : m_readsRequests(readsRequests)
    , m_limits(limits)
{
}

std::size_t http_message_parser::feed(std::string_view bytes, std::string& body)
{
    std::size_t consumed = 0;
    while (consumed < bytes.size()) {
        const std::string_view rest = bytes.substr(consumed);
        if (m_progress == http_progress::head)
            consumed += feedHead(rest);
        else if (m_progress == http_progress::body)
            consumed += feedBody(rest, body);
        else
            break;
    }
    return consumed;
}

void http_message_parser::feedEnd()
{
    if (m_progress == http_progress::body && m_framing == http_framing::untilClose)
        m_progress = http_progress::complete;
}

void http_message_parser::reset(std::string_view requestMethod)
{
    http_message_parser fresh(m_readsRequests, m_limits);
    fresh.m_requestMethod = requestMethod;
    *this = std::move(fresh);
}

std::size_t http_message_parser::feedHead(std::string_view bytes)
{
    m_hasBegun = true;
    const std::size_t available = m_limits.headBytes + 1 - std::min(m_limits.headBytes + 1, m_raw.size());
    const std::size_t earlier = m_raw.size();
    m_raw += bytes.substr(0, available);
    // Some callers send a line break after a body that its length does not count.
    if (m_readsRequests && m_raw.starts_with(lineEnd)) {
        m_raw.clear();
        m_hasBegun = false;
        return lineEnd.size() - earlier;
    }
    const std::size_t searchFrom = earlier < headEnd.size() ? 0 : earlier - headEnd.size();
    const std::size_t end = m_raw.find(headEnd, searchFrom);
    const std::size_t headSize = end == std::string::npos ? m_raw.size() : end + headEnd.size();
    if (headSize > m_limits.headBytes) {
        violate(refusal_kind::headTooLarge, "the head is larger than " + std::to_string(m_limits.headBytes) + " bytes");
        return bytes.size();
    }
    if (!checkLineBreaks(std::string_view(m_raw).substr(searchFrom, headSize - searchFrom)))
        return bytes.size();
    if (end == std::string::npos)
        return bytes.size();
    m_raw.resize(headSize);
    endHead();
    return headSize - earlier;
}

/// Rejects NUL, and CR or LF other than in a line break, as soon as they arrive.
bool http_message_parser::checkLineBreaks(std::string_view text)
{
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '\0')
            return violate(refusal_kind::malformedRequest, "the head holds a NUL byte");
        const bool isLast = i + 1 == text.size();
        if (c == '\r' && !isLast && text[i + 1] != '\n')
            return violate(refusal_kind::malformedRequest, "the head holds a CR outside a line break");
        const bool startsMidway = i == 0 && text.data() != m_raw.data();
        if (c == '\n' && !startsMidway && (i == 0 || text[i - 1] != '\r'))
            return violate(refusal_kind::malformedRequest, "the head holds a LF outside a line break");
    }
    return true;
}

void http_message_parser::endHead()
{
    std::string_view rest(m_raw);
    rest.remove_suffix(lineEnd.size());
    const std::size_t firstEnd = rest.find(lineEnd);
    if (!parseStartLine(rest.substr(0, firstEnd)))
        return;
    rest.remove_prefix(firstEnd + lineEnd.size());
    while (!rest.empty()) {
        const std::size_t end = rest.find(lineEnd);
        if (!parseHeader(rest.substr(0, end)))
            return;
        rest.remove_prefix(end + lineEnd.size());
    }
    if (!checkHead() || !chooseFraming())
        return;
    const bool isInterim = !m_readsRequests && m_status < 200;
    if (isInterim) {
        const std::size_t interimBytes = m_interimBytes + m_raw.size();
        reset(std::string(m_requestMethod));
        m_hasBegun = true;
        m_interimBytes = interimBytes;
        if (m_interimBytes > m_limits.headBytes)
            violate(refusal_kind::headTooLarge, "the interim responses are larger than " + std::to_string(m_limits.headBytes) + " bytes");
        return;
    }
    buildNormalisedHead();
    startBody();
}

bool http_message_parser::parseStartLine(std::string_view line)
{
    return m_readsRequests ? parseRequestLine(line) : parseStatusLine(line);
}

bool http_message_parser::parseRequestLine(std::string_view line)
{
    const std::size_t firstSpace = line.find(' ');
    const std::size_t lastSpace = line.rfind(' ');
    if (firstSpace == std::string_view::npos || firstSpace == lastSpace)
        return violate(refusal_kind::malformedRequest, "the request line lacks a method, a target or a version");
    const std::string_view method = line.substr(0, firstSpace);
    const std::string_view version = line.substr(lastSpace + 1);
    if (!isToken(method))
        return violate(refusal_kind::malformedRequest, "the method " + quoted(method) + " is not a token");
    const bool isVersion = version.size() == 8 && version.starts_with("HTTP/") && isDigits(version.substr(5, 1))
        && version[6] == '.' && isDigits(version.substr(7));
    if (!isVersion)
        return violate(refusal_kind::malformedRequest, "the request line ends in no HTTP version");
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
        return violate(refusal_kind::versionNotSupported, "send the request as HTTP/1.1");
    static constexpr std::array<std::string_view, 7> allowed { "GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS",
        "PATCH" };
    if (std::find(allowed.begin(), allowed.end(), method) == allowed.end())
        return violate(refusal_kind::methodNotAllowed, "the method " + quoted(method) + " is not served");
    m_method = method;
    m_minorVersion = version.back() - '0';
    return parseTarget(line.substr(firstSpace + 1, lastSpace - firstSpace - 1));
}

bool http_message_parser::parseTarget(std::string_view target)
{
    if (!std::all_of(target.begin(), target.end(), isVisible) || target.find('#') != std::string_view::npos)
        return violate(refusal_kind::malformedRequest, "the target holds a space, a control character or a fragment");
    constexpr std::string_view scheme = "http://";
    const bool isAbsolute = target.size() > scheme.size() && isSameHeaderName(target.substr(0, scheme.size()), scheme);
    if (isAbsolute) {
        target.remove_prefix(scheme.size());
        const std::size_t pathStart = std::min(target.find_first_of("/?"), target.size());
        m_authority = target.substr(0, pathStart);
        m_target = target.substr(pathStart);
        if (!m_target.starts_with('/'))
            m_target.insert(0, "/");
        return true;
    }
    if (target.starts_with("//"))
        return violate(refusal_kind::malformedRequest, "the target begins with two slashes");
    const bool isAsterisk = target == "*" && m_method == "OPTIONS";
    if (!target.starts_with('/') && !isAsterisk)
        return violate(refusal_kind::malformedRequest, "the target " + quoted(target) + " does not begin with a slash");
    m_target = target;
    return true;
}

bool http_message_parser::parseStatusLine(std::string_view line)
{
    const bool isVersion = line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ");
    const std::string_view code = line.substr(std::min<std::size_t>(9, line.size()), 3);
    const bool isSeparated = line.size() == 12 || (line.size() > 12 && line[12] == ' ');
    if (!isVersion || code.size() != 3 || !isDigits(code) || !isSeparated || code[0] < '1' || code[0] > '5')
        return violate(refusal_kind::malformedRequest, "the status line is not valid");
    if (!std::all_of(line.begin(), line.end(), isValueCharacter))
        return violate(refusal_kind::malformedRequest, "the status line holds a control character");
    m_minorVersion = line[7] - '0';
    std::from_chars(code.data(), code.data() + code.size(), m_status);
    m_reason = line.size() > 13 ? std::string(line.substr(13)) : "";
    return true;
}

bool http_message_parser::parseHeader(std::string_view line)
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || !isToken(name))
        return violate(refusal_kind::malformedRequest, "the header name " + quoted(name) + " is not a token");
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!std::all_of(value.begin(), value.end(), isValueCharacter))
        return violate(refusal_kind::malformedRequest, "the header " + quoted(name) + " holds a control character");
    if (isSameHeaderName(name, "Content-Length"))
        return parseContentLength(value);
    if (isSameHeaderName(name, "Transfer-Encoding")) {
        m_transferEncoding += m_transferEncoding.empty() ? "" : ",";
        m_transferEncoding += value.empty() ? "?" : value;
        return true;
    }
    if (m_readsRequests && isSameHeaderName(name, "Host"))
        return parseHostHeader(value);
    if (m_readsRequests && isSameHeaderName(name, "Expect")) {
        if (!isSameHeaderName(value, "100-continue"))
            return violate(refusal_kind::expectationFailed, "only 100-continue may be expected");
        m_expectsContinue = m_minorVersion == 1;
        return true;
    }
    m_headers.push_back({ std::string(name), std::string(value) });
    return true;
}

bool http_message_parser::parseContentLength(std::string_view value)
{
    std::uint64_t length = 0;
    const auto [end, problem] = std::from_chars(value.data(), value.data() + value.size(), length);
    if (!isDigits(value) || problem != std::errc() || end != value.data() + value.size())
        return violate(refusal_kind::invalidLength, "Content-Length is not one number of decimal digits");
    if (m_length && *m_length != length)
        return violate(refusal_kind::invalidLength, "the Content-Length headers differ");
    m_length = length;
    return true;
}

bool http_message_parser::parseHostHeader(std::string_view value)
{
    if (++m_hostCount > 1)
        return violate(refusal_kind::duplicateHost, "the request has more than one Host header");
    if (!std::all_of(value.begin(), value.end(), isHostCharacter))
        return violate(refusal_kind::malformedRequest, "the Host header " + quoted(value) + " is not a host");
    m_headers.push_back({ "Host", std::string(value) });
    return true;
}

bool http_message_parser::checkHead()
{
    if (!m_transferEncoding.empty() && m_length)
        return violate(refusal_kind::conflictingLength, "the message has Content-Length and Transfer-Encoding");
    const bool isChunked = isSameHeaderName(m_transferEncoding, "chunked");
    if (!m_transferEncoding.empty() && (!isChunked || m_minorVersion == 0))
        return violate(
            refusal_kind::unknownTransferCoding, "the transfer coding " + quoted(m_transferEncoding) + " is not served");
    if (m_readsRequests && m_minorVersion == 1 && m_hostCount == 0)
        return violate(refusal_kind::missingHost, "the request has no Host header");
    m_isPersistent = m_minorVersion == 1;
    for (http_header& header : m_headers) {
        if (isSameHeaderName(header.name, "Connection") && hasListItem(header.value, "close"))
            m_isPersistent = false;
        if (!m_authority.empty() && header.name == "Host")
            header.value = m_authority;
    }
    if (!std::all_of(m_authority.begin(), m_authority.end(), isHostCharacter))
        return violate(refusal_kind::malformedRequest, "the target names no valid host");
    return true;
}

bool http_message_parser::chooseFraming()
{
    const bool hasNoBody
        = !m_readsRequests && (m_requestMethod == "HEAD" || m_status < 200 || m_status == 204 || m_status == 304);
    if (hasNoBody) {
        m_framing = http_framing::none;
        return true;
    }
    if (!m_transferEncoding.empty()) {
        m_framing = http_framing::chunked;
        return true;
    }
    if (m_length && *m_length > m_limits.bodyBytes)
        return violate(
            refusal_kind::bodyTooLarge, "the body is larger than " + std::to_string(m_limits.bodyBytes) + " bytes");
    if (m_length) {
        m_framing = http_framing::length;
        return true;
    }
    m_framing = m_readsRequests ? http_framing::none : http_framing::untilClose;
    m_isPersistent = m_isPersistent && m_framing != http_framing::untilClose;
    return true;
}

void http_message_parser::buildNormalisedHead()
{
    const std::string version = m_minorVersion == 1 ? "HTTP/1.1" : "HTTP/1.0";
    m_head = m_readsRequests ? m_method + " " + m_target + " " + version
                             : version + " " + std::to_string(m_status) + " " + m_reason;
    m_head += lineEnd;
    removeHopByHopHeaders(m_headers);
    for (const http_header& header : m_headers)
        m_head += header.name + ": " + header.value + "\r\n";
    if (!m_isPersistent)
        m_head += "Connection: close\r\n";
    if (m_readsRequests)
        m_head += "Content-Length: 0\r\n";
    else if (m_length)
        m_head += "Content-Length: " + std::to_string(*m_length) + "\r\n";
    else if (m_framing == http_framing::chunked)
        m_head += "Transfer-Encoding: chunked\r\n";
    m_head += lineEnd;
}

void http_message_parser::startBody()
{
    m_raw.clear();
    // The early check reads the headers of requests.
    if (!m_readsRequests)
        m_headers.clear();
    m_progress = http_progress::body;
    m_part = m_framing == http_framing::chunked ? body_part::chunkSize : body_part::data;
    if (m_framing == http_framing::length)
        m_remaining = *m_length;
    if (m_framing == http_framing::untilClose)
        m_remaining = m_limits.bodyBytes;
    const bool isEmpty = m_framing == http_framing::none || (m_framing == http_framing::length && m_remaining == 0);
    if (isEmpty)
        m_progress = http_progress::complete;
}

std::size_t http_message_parser::feedBody(std::string_view bytes, std::string& body)
{
    return m_part == body_part::data ? feedData(bytes, body) : feedChunkLine(bytes);
}

std::size_t http_message_parser::feedData(std::string_view bytes, std::string& body)
{
    const auto taken = static_cast<std::size_t>(std::min<std::uint64_t>(bytes.size(), m_remaining));
    body += bytes.substr(0, taken);
    m_remaining -= taken;
    if (m_framing == http_framing::untilClose) {
        if (taken < bytes.size())
            violate(refusal_kind::bodyTooLarge, "the body is larger than " + std::to_string(m_limits.bodyBytes) + " bytes");
        return bytes.size();
    }
    if (m_remaining > 0)
        return taken;
    if (m_framing == http_framing::chunked)
        m_part = body_part::chunkEnd;
    else
        m_progress = http_progress::complete;
    return taken;
}

std::size_t http_message_parser::feedChunkLine(std::string_view bytes)
{
    const std::size_t newline = bytes.find('\n');
    const std::size_t taken = newline == std::string_view::npos ? bytes.size() : newline + 1;
    m_raw += bytes.substr(0, std::min(taken, maxChunkLineBytes + 1));
    if (m_raw.size() > maxChunkLineBytes && m_part != body_part::trailer) {
        violate(refusal_kind::malformedRequest, "a chunk's first line is longer than 256 bytes");
        return taken;
    }
    m_trailerBytes += m_part == body_part::trailer ? taken : 0;
    if (m_trailerBytes > maxTrailerBytes) {
        violate(refusal_kind::headTooLarge, "the trailer is larger than 8 KiB");
        return taken;
    }
    if (newline == std::string_view::npos)
        return taken;
    std::string line = std::exchange(m_raw, {});
    const bool isValid = line.size() >= 2 && line[line.size() - 2] == '\r'
        && std::all_of(line.begin(), line.end() - 2, isValueCharacter);
    if (!isValid) {
        violate(refusal_kind::malformedRequest, "a line of the chunked body does not end in CR LF");
        return taken;
    }
    line.resize(line.size() - lineEnd.size());
    parseChunkLine(line);
    return taken;
}

void http_message_parser::parseChunkLine(std::string_view line)
{
    if (m_part == body_part::chunkSize) {
        parseChunkSize(line);
        return;
    }
    if (m_part == body_part::chunkEnd) {
        m_part = body_part::chunkSize;
        if (!line.empty())
            violate(refusal_kind::malformedRequest, "a chunk is longer than announced");
        return;
    }
    if (line.empty())
        m_progress = http_progress::complete;
}

void http_message_parser::parseChunkSize(std::string_view line)
{
    const std::string_view digits = line.substr(0, line.find_first_of("; \t"));
    const std::string_view rest = trimmed(line.substr(digits.size()));
    std::uint64_t size = 0;
    const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
    const bool isNumber = !digits.empty() && problem == std::errc() && end == digits.data() + digits.size();
    if (!isNumber || (!rest.empty() && !rest.starts_with(';'))) {
        violate(refusal_kind::malformedRequest, "a chunk size is not a hexadecimal number");
        return;
    }
    if (size > m_limits.bodyBytes - m_bodyBytes) {
        violate(refusal_kind::bodyTooLarge, "the body is larger than " + std::to_string(m_limits.bodyBytes) + " bytes");
        return;
    }
    m_bodyBytes += size;
    m_remaining = size;
    m_part = size > 0 ? body_part::data : body_part::trailer;
}

bool http_message_parser::violate(refusal_kind kind, std::string message)
{
    m_progress = http_progress::violated;
    m_violation = { kind, std::move(message) };
    return false;
}

}
