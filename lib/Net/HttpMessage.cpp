#include "pimentoladder/Net/HttpMessage.h"

#include <algorithm>
#include <array>

#include <strings.h>

namespace pimentoladder {

namespace {

    constexpr std::array<std::string_view, 9> hopByHopNames { "Connection", "Keep-Alive", "Proxy-Authenticate",
        "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };

    std::string_view trimmed(std::string_view text)
    {
        const std::size_t first = text.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    std::vector<std::string> namesInConnection(const http_headers& headers)
    {
        std::vector<std::string> names;
        for (const http_header& header : headers) {
            if (!isSameHeaderName(header.name, "Connection"))
                continue;
            std::string_view rest = header.value;
            while (!rest.empty()) {
                const std::size_t comma = rest.find(',');
                names.emplace_back(trimmed(rest.substr(0, comma)));
                rest = comma == std::string_view::npos ? std::string_view {} : rest.substr(comma + 1);
            }
        }
        return names;
    }

    template <typename Names>
    bool contains(const Names& names, std::string_view name)
    {
        return std::any_of(
            names.begin(), names.end(), [name](std::string_view each) { return isSameHeaderName(each, name); });
    }

    // Removing these would lose the framing or the target of the message, so they
    // are kept even if a `Connection` header names them.
    bool isEndToEnd(std::string_view name)
    {
        return isSameHeaderName(name, "Content-Length") || isSameHeaderName(name, "Host");
    }

}

bool isSameHeaderName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::optional<std::string_view> findHeader(const http_headers& headers, std::string_view name)
{
    for (const http_header& header : headers) {
        if (isSameHeaderName(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

void removeHopByHopHeaders(http_headers& headers)
{
    const std::vector<std::string> named = namesInConnection(headers);
    std::erase_if(headers, [&named](const http_header& header) {
        if (contains(hopByHopNames, header.name))
            return true;
        return contains(named, header.name) && !isEndToEnd(header.name);
    });
}

}
