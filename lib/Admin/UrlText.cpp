#include "UrlText.h"

#include <optional>

namespace pimentoladder {

namespace {

    std::optional<unsigned> hexValue(char c)
    {
        if (c >= '0' && c <= '9')
            return static_cast<unsigned>(c - '0');
        if (c >= 'a' && c <= 'f')
            return static_cast<unsigned>(c - 'a' + 10);
        if (c >= 'A' && c <= 'F')
            return static_cast<unsigned>(c - 'A' + 10);
        return std::nullopt;
    }

    result<std::string> percentDecoded(std::string_view text)
    {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%') {
                plain += text[i] == '+' ? ' ' : text[i];
                continue;
            }
            const auto high = i + 2 < text.size() ? hexValue(text[i + 1]) : std::nullopt;
            const auto low = i + 2 < text.size() ? hexValue(text[i + 2]) : std::nullopt;
            if (!high || !low)
                return makeError(error_kind::invalidArgument, "the query holds a malformed escape; write % as %25");
            plain += static_cast<char>(*high * 16 + *low);
            i += 2;
        }
        return plain;
    }

    std::vector<std::string_view> split(std::string_view text, char separator)
    {
        std::vector<std::string_view> parts;
        while (true) {
            const std::size_t end = text.find(separator);
            parts.push_back(text.substr(0, end));
            if (end == std::string_view::npos)
                return parts;
            text.remove_prefix(end + 1);
        }
    }

}

std::vector<std::string_view> pathSegments(std::string_view path)
{
    if (path.starts_with('/'))
        path.remove_prefix(1);
    return split(path, '/');
}

result<query_parameters> parseQuery(std::string_view query)
{
    query_parameters parameters;
    for (const auto part : split(query, '&')) {
        if (part.empty())
            continue;
        const std::size_t equals = part.find('=');
        auto name = percentDecoded(part.substr(0, equals));
        auto value = percentDecoded(equals == std::string_view::npos ? std::string_view() : part.substr(equals + 1));
        if (!name || !value)
            return tl::unexpected(name ? value.error() : name.error());
        if (!parameters.emplace(*name, std::move(*value)).second)
            return makeError(
                error_kind::invalidArgument, "query parameter \"" + *name + "\" occurs twice; give it once");
    }
    return parameters;
}

}
