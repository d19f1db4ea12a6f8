#include "SettingsReader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

#include <arpa/inet.h>

namespace pimentoladder {

namespace {

    template <typename T>
    struct unit {
        std::string_view name;
        T factor;
    };

    constexpr std::array<unit<std::uint64_t>, 3> byteUnits { { { "MiB", 1024UL * 1024 }, { "KiB", 1024 }, { "B", 1 } } };

    constexpr std::array<unit<double>, 4> timeUnits { {
        { "ms", 1e6 },
        { "us", 1e3 },
        { "min", 60e9 },
        { "s", 1e9 },
    } };

    constexpr std::array<unit<double>, 3> rateUnits { { { "Gbit", 1e9 }, { "Mbit", 1e6 }, { "kbit", 1e3 } } };

    template <typename T>
    std::optional<T> parseNumber(std::string_view text)
    {
        T value {};
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (code != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    template <typename T, typename Units>
    std::optional<T> parseWithUnit(std::string_view text, const Units& units)
    {
        for (const auto& candidate : units) {
            if (!text.ends_with(candidate.name))
                continue;
            const auto count = parseNumber<T>(text.substr(0, text.size() - candidate.name.size()));
            T product {};
            if (!count || __builtin_mul_overflow(*count, static_cast<T>(candidate.factor), &product))
                return std::nullopt;
            return product;
        }
        return std::nullopt;
    }

    /// Returns a number given with a fraction and a unit.
    template <typename Units>
    std::optional<double> parseFraction(std::string_view text, const Units& units)
    {
        for (const unit<double>& candidate : units) {
            if (!text.ends_with(candidate.name))
                continue;
            const auto count = parseNumber<double>(text.substr(0, text.size() - candidate.name.size()));
            return count ? std::optional(*count * candidate.factor) : std::nullopt;
        }
        return std::nullopt;
    }

    /// Returns a time given with a fraction, rounded down to whole nanoseconds.
    std::optional<std::chrono::nanoseconds> parseTime(std::string_view text)
    {
        const double product = parseFraction(text, timeUnits).value_or(-1);
        const bool isRepresentable = product >= 0 && product < static_cast<double>(std::numeric_limits<std::int64_t>::max());
        if (!isRepresentable)
            return std::nullopt;
        return std::chrono::nanoseconds(static_cast<std::int64_t>(product));
    }

    std::optional<endpoint> parseAddress(std::string_view text)
    {
        const std::size_t colon = text.rfind(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        std::string host(text.substr(0, colon));
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            host = host.substr(1, host.size() - 2);
        std::array<unsigned char, sizeof(in6_addr)> binary {};
        const bool isNumeric = ::inet_pton(AF_INET, host.c_str(), binary.data()) == 1 || ::inet_pton(AF_INET6, host.c_str(), binary.data()) == 1;
        const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
        if (!isNumeric || !port || *port == 0)
            return std::nullopt;
        return endpoint { host, *port };
    }

    std::string formatTime(std::chrono::nanoseconds value)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()) + "ms";
    }

}

void diagnostic_list::add(const YAML::Mark& mark, std::string message)
{
    m_diagnostics.push_back({ m_file, mark.line + 1, mark.column + 1, std::move(message) });
}

void diagnostic_list::addWithoutLocation(std::string message)
{
    m_diagnostics.push_back({ m_file, 0, 0, std::move(message) });
}

mapping_reader::mapping_reader(const YAML::Node& node, std::string path, diagnostic_list& diagnostics)
    : m_node(node)
    , m_path(std::move(path))
    , m_diagnostics(diagnostics)
{
    if (!m_node.IsDefined() || m_node.IsNull() || m_node.IsMap())
        return;
    m_diagnostics.add(m_node.Mark(), (m_path.empty() ? "the file" : m_path) + " must be a mapping of keys to values; write one `key: value` on each line");
    m_node = YAML::Node();
}

std::string mapping_reader::pathOf(const std::string& key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

const YAML::Mark mapping_reader::markOf(const std::string& key) const
{
    if (m_node.IsMap() && m_node[key])
        return m_node[key].Mark();
    return m_node.IsDefined() ? m_node.Mark() : YAML::Mark();
}

YAML::Node mapping_reader::child(const std::string& key, bool isRequired)
{
    m_known.insert(key);
    if (m_node.IsMap() && m_node[key] && !m_node[key].IsNull())
        return m_node[key];
    if (isRequired)
        m_diagnostics.add(markOf(key), "missing key " + pathOf(key) + "; add it");
    return YAML::Node(YAML::NodeType::Undefined);
}

std::optional<std::string> mapping_reader::scalar(const std::string& key, bool isRequired, std::string_view expected)
{
    const YAML::Node node = child(key, isRequired);
    if (!node.IsDefined())
        return std::nullopt;
    if (node.IsScalar())
        return node.Scalar();
    m_diagnostics.add(node.Mark(), pathOf(key) + " must be " + std::string(expected));
    return std::nullopt;
}

std::optional<std::string> mapping_reader::text(const std::string& key, bool isRequired)
{
    auto value = scalar(key, isRequired, "text");
    if (value && value->empty()) {
        m_diagnostics.add(markOf(key), pathOf(key) + " is empty; give it a value");
        return std::nullopt;
    }
    return value;
}

std::optional<endpoint> mapping_reader::address(const std::string& key, bool isRequired)
{
    constexpr std::string_view expected = "an IP address by number and a port, for example 192.0.2.1:8080";
    const auto value = scalar(key, isRequired, expected);
    if (!value)
        return std::nullopt;
    auto parsed = parseAddress(*value);
    if (!parsed)
        m_diagnostics.add(markOf(key), pathOf(key) + " is \"" + *value + "\"; expected " + std::string(expected));
    return parsed;
}

std::optional<std::uint64_t> mapping_reader::bytes(const std::string& key, value_range<std::uint64_t> range)
{
    const auto value = scalar(key, false, "a size with a unit");
    if (!value)
        return std::nullopt;
    const auto parsed = parseWithUnit<std::uint64_t>(*value, byteUnits);
    if (parsed && *parsed >= range.min && *parsed <= range.max)
        return parsed;
    m_diagnostics.add(markOf(key), pathOf(key) + " is \"" + *value + "\"; expected a whole number with unit B, KiB or MiB, from " + std::to_string(range.min) + "B to " + std::to_string(range.max) + "B");
    return std::nullopt;
}

std::optional<double> mapping_reader::bitRate(const std::string& key, value_range<double> range)
{
    const auto value = scalar(key, false, "a rate with a unit");
    if (!value)
        return std::nullopt;
    const auto parsed = parseFraction(*value, rateUnits);
    if (parsed && *parsed >= range.min && *parsed <= range.max)
        return parsed;
    m_diagnostics.add(markOf(key), pathOf(key) + " is \"" + *value + "\"; expected a number with unit kbit, Mbit or Gbit (a second), from 0kbit to 1000Gbit");
    return std::nullopt;
}

std::optional<double> mapping_reader::decimal(const std::string& key, value_range<double> range)
{
    const auto value = scalar(key, false, "a number");
    if (!value)
        return std::nullopt;
    const auto parsed = parseNumber<double>(*value);
    if (parsed && *parsed >= range.min && *parsed <= range.max)
        return parsed;
    m_diagnostics.add(markOf(key), pathOf(key) + " is \"" + *value + "\"; expected a number from " + std::to_string(range.min) + " to " + std::to_string(range.max));
    return std::nullopt;
}

std::optional<std::uint64_t> mapping_reader::number(const std::string& key, value_range<std::uint64_t> range)
{
    const auto value = scalar(key, false, "a whole number");
    if (!value)
        return std::nullopt;
    const auto parsed = parseNumber<std::uint64_t>(*value);
    if (parsed && *parsed >= range.min && *parsed <= range.max)
        return parsed;
    m_diagnostics.add(markOf(key), pathOf(key) + " is \"" + *value + "\"; expected a whole number from " + std::to_string(range.min) + " to " + std::to_string(range.max));
    return std::nullopt;
}

std::optional<std::chrono::nanoseconds> mapping_reader::time(const std::string& key, value_range<std::chrono::nanoseconds> range)
{
    const auto value = scalar(key, false, "a time with a unit");
    if (!value)
        return std::nullopt;
    const auto parsed = parseTime(*value);
    if (parsed && *parsed >= range.min && *parsed <= range.max)
        return parsed;
    m_diagnostics.add(markOf(key), pathOf(key) + " is \"" + *value + "\"; expected a number with unit us, ms, s or min, from " + formatTime(range.min) + " to " + formatTime(range.max));
    return std::nullopt;
}

std::optional<std::string> mapping_reader::digest(const std::string& key)
{
    auto value = scalar(key, true, "a SHA-256 digest");
    if (!value)
        return std::nullopt;
    constexpr std::size_t digestLength = 64;
    const bool isHexadecimal = std::all_of(value->begin(), value->end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    if (value->size() == digestLength && isHexadecimal)
        return value;
    m_diagnostics.add(markOf(key), pathOf(key) + " must be a SHA-256 digest in 64 lower-case hexadecimal digits; make one with sha256sum");
    return std::nullopt;
}

std::optional<std::string> mapping_reader::choice(const std::string& key, const std::vector<std::string>& choices)
{
    auto value = scalar(key, false, "text");
    if (!value)
        return std::nullopt;
    if (std::find(choices.begin(), choices.end(), *value) != choices.end())
        return value;
    std::string listed;
    for (const std::string& candidate : choices)
        listed += (listed.empty() ? "" : ", ") + candidate;
    m_diagnostics.add(markOf(key), pathOf(key) + " is \"" + *value + "\"; expected one of " + listed);
    return std::nullopt;
}

mapping_reader mapping_reader::section(const std::string& key, bool isRequired)
{
    return mapping_reader(child(key, isRequired), pathOf(key), m_diagnostics);
}

std::vector<mapping_reader> mapping_reader::list(const std::string& key)
{
    const YAML::Node node = child(key, false);
    std::vector<mapping_reader> readers;
    if (!node.IsDefined())
        return readers;
    if (!node.IsSequence()) {
        m_diagnostics.add(node.Mark(), pathOf(key) + " must be a list; begin each item with `- `");
        return readers;
    }
    for (std::size_t i = 0; i < node.size(); ++i)
        readers.emplace_back(node[i], pathOf(key) + "[" + std::to_string(i) + "]", m_diagnostics);
    return readers;
}

void mapping_reader::finish()
{
    if (!m_node.IsMap())
        return;
    for (const auto& entry : m_node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : std::string("(not text)");
        if (!m_known.contains(key))
            m_diagnostics.add(entry.first.Mark(), "unknown key " + pathOf(key) + "; remove it or correct its spelling");
    }
}

}
