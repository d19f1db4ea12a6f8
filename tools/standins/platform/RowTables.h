/// \file
/// Tables of the platform's metadata store, without input or output.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoladder::standins {

/// Identifies a row. The rows of a table are ordered by key within their part.
struct row_name {
    std::string table;
    std::string part;
    std::string key;

    auto operator<=>(const row_name&) const = default;
};

/// Requires a row to have this version; 0: it must not exist.
struct row_expectation {
    row_name name;
    std::uint64_t version = 0;
};

/// A row to write, or to remove if it has no value.
struct row_write {
    row_name name;
    std::optional<std::string> value;
};

/// A row as read. A row without a value was removed at \c version.
struct stored_row {
    row_name name;
    std::optional<std::string> value;
    std::uint64_t version = 0;
};

/// Rows of all tables, with one version counter, and their change history. The tables can
/// be restored from a copy, as of an earlier version.
/// Not thread-safe; call on the loop's thread.
class row_tables {
public:
    std::uint64_t newest() const { return m_newest; }

    /// Applies all writes atomically as one version if every expectation holds.
    /// Returns whether they were applied.
    bool commit(const std::vector<row_expectation>& expected, const std::vector<row_write>& writes);

    /// Returns the row's version, or 0 if it does not exist.
    std::uint64_t versionOf(const row_name& name) const;

    /// Returns the row's value, or nothing if it does not exist.
    std::optional<std::string> valueOf(const row_name& name) const;

    /// Returns up to \p limit rows of a part from \p startKey on, in order of key.
    std::vector<stored_row> list(const std::string& table, const std::string& part, const std::string& startKey, std::size_t limit) const;

    /// Returns the rows of a table changed after \p since, in order of version, or
    /// nothing if that history has been dropped or \p since has not been reached.
    std::optional<std::vector<stored_row>> changes(const std::string& table, std::uint64_t since) const;

    /// Discards the history up to now: `changes` since an earlier version returns
    /// nothing.
    void dropHistory() { m_historyFrom = m_newest; }

    /// Undoes all changes after \p version, whose successors are given out again. The history
    /// up to \p version is kept.
    void restore(std::uint64_t version);

private:
    struct row {
        std::optional<std::string> value;
        std::uint64_t version = 0;
    };

    /// State of a row before the transaction that made \c version; version 0: there was none.
    struct overwritten_row {
        std::uint64_t version = 0;
        row_name name;
        row before;
    };

    std::map<row_name, row> m_rows;
    std::vector<overwritten_row> m_overwritten; ///< In the order of the changes.
    std::uint64_t m_newest = 0;
    std::uint64_t m_historyFrom = 0;
};

}
