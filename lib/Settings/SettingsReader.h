/// \file
/// Reads typed values out of a YAML tree and collects every fault with its
/// place.

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

/// Collects faults. Not thread-safe.
class fault_list {
public:
    explicit fault_list(std::string file)
        : m_file(std::move(file))
    {
    }

    void add(const YAML::Mark& place, std::string message);
    void addWithoutPlace(std::string message);

    const std::vector<setting_fault>& all() const { return m_faults; }

private:
    std::string m_file;
    std::vector<setting_fault> m_faults;
};

/// Bounds of a number or duration, both included.
template <typename T>
struct value_range {
    T least;
    T most;
};

/// Reads one mapping. Every key that is read counts as known; `finish` reports
/// the others. Not thread-safe.
class mapping_reader {
public:
    /// \p path names the mapping in messages and is empty for the whole file.
    mapping_reader(const YAML::Node& node, std::string path, fault_list& faults);

    std::optional<std::string> text(const std::string& key, bool isRequired);
    std::optional<endpoint> address(const std::string& key, bool isRequired);
    std::optional<std::uint64_t> bytes(const std::string& key, value_range<std::uint64_t> range);
    std::optional<std::uint64_t> number(const std::string& key, value_range<std::uint64_t> range);
    std::optional<double> decimal(const std::string& key, value_range<double> range);
    std::optional<std::chrono::nanoseconds> time(const std::string& key, value_range<std::chrono::nanoseconds> range);
    std::optional<std::string> digest(const std::string& key);
    std::optional<std::string> choice(const std::string& key, const std::vector<std::string>& choices);

    /// Returns a reader of the mapping under \p key; empty if it is absent.
    mapping_reader section(const std::string& key, bool isRequired);

    /// Returns a reader for each mapping of the list under \p key.
    std::vector<mapping_reader> list(const std::string& key);

    /// Reports keys that were not read.
    void finish();

    const YAML::Mark place(const std::string& key) const;
    std::string pathOf(const std::string& key) const;

private:
    YAML::Node child(const std::string& key, bool isRequired);
    std::optional<std::string> scalar(const std::string& key, bool isRequired, std::string_view expected);

    YAML::Node m_node;
    std::string m_path;
    fault_list& m_faults;
    std::set<std::string> m_known;
};

}
