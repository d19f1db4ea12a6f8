/// \file
/// The platform's transactional table, without input or output.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoladder::standins {

/// Requires a row to have this revision; 0: it must not exist.
struct table_condition {
    std::string key;
    std::uint64_t revision = 0;
};

struct table_write {
    std::string key;
    std::optional<std::string> value; ///< Deletes the row if absent.
};

struct table_transaction {
    std::string id;
    std::vector<table_condition> conditions;
    std::vector<table_write> writes;
};

struct table_outcome {
    bool isCommitted = false;
    std::uint64_t revision = 0; ///< Of the commit, or of the conflicting row.
    std::string conflictKey;
};

/// A row as read. A row without a value is a tombstone.
struct table_row {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0;
};

/// One namespace of the table. Not thread-safe; call on the loop's thread.
class table_namespace {
public:
    std::uint64_t revision() const { return m_revision; }

    /// Commits if every condition holds. Only a commit increments the revision.
    table_outcome apply(const table_transaction& transaction);

    /// Returns the rows with this prefix changed after \p since, in order of
    /// key. Tombstones are included only if `since > 0`.
    std::vector<table_row> rows(std::string_view prefix, std::uint64_t since) const;

private:
    struct row {
        std::optional<std::string> value;
        std::uint64_t revision = 0;
    };

    /// Returns the revision of a row, or 0 if it does not exist.
    std::uint64_t liveRevision(const std::string& key) const;

    std::uint64_t m_revision = 0;
    std::map<std::string, row, std::less<>> m_rows;
};

}
