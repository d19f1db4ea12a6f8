/// \file
/// Reads typed values from a YAML tree and collects a diagnostic with its
/// location for every error.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "pimentoladder/Settings/Settings.h"

namespace pimentoladder {

/// Collects diagnostics. Not thread-safe.
class diagnostic_list {
public:
    explicit diagnostic_list(std::string file)
        : m_file(std::move(file))
    {
    }

    void add(const YAML::Mark& mark, std::string message);
    void addWithoutLocation(std::string message);

    const std::vector<setting_diagnostic>& all() const { return m_diagnostics; }

private:
    std::string m_file;
    std::vector<setting_diagnostic> m_diagnostics;
};

/// Inclusive bounds of a number or duration.
template <typename T>
struct value_range {
    T min;
    T max;
};

/// Reads one YAML mapping. Every key that is read becomes known; `finish` reports
/// the unknown ones. Not thread-safe.
class mapping_reader {
public:
    /// \p path names the mapping in messages; empty for the root mapping.
    mapping_reader(const YAML::Node& node, std::string path, diagnostic_list& diagnostics);

    std::optional<std::string> text(const std::string& key, bool isRequired);
    std::optional<endpoint> address(const std::string& key, bool isRequired);
    std::optional<std::uint64_t> bytes(const std::string& key, value_range<std::uint64_t> range);
    /// Returns a rate in bits per second.
    std::optional<double> bitRate(const std::string& key, value_range<double> range);
    std::optional<std::uint64_t> number(const std::string& key, value_range<std::uint64_t> range);
    std::optional<double> decimal(const std::string& key, value_range<double> range);
    std::optional<std::chrono::nanoseconds> time(const std::string& key, value_range<std::chrono::nanoseconds> range);
    std::optional<std::string> digest(const std::string& key);
    std::optional<std::string> choice(const std::string& key, const std::vector<std::string>& choices);

    /// Returns a reader of the mapping under \p key, which is empty if the key is
    /// absent.
    mapping_reader section(const std::string& key, bool isRequired);

    /// Returns a reader for each mapping of the list under \p key.
    std::vector<mapping_reader> list(const std::string& key);

    /// Reports every key that was not read as unknown.
    void finish();

    const YAML::Mark markOf(const std::string& key) const;
    std::string pathOf(const std::string& key) const;

private:
    YAML::Node child(const std::string& key, bool isRequired);
    std::optional<std::string> scalar(const std::string& key, bool isRequired, std::string_view expected);

    YAML::Node m_node;
    std::string m_path;
    diagnostic_list& m_diagnostics;
    std::set<std::string> m_known;
};

}
