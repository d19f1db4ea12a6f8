/// \file
/// A router's copy of one table of the store.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Tells whether a change of a row matters to routers. Rows are also rewritten
/// as signs of life. Thread-safe.
class row_significance {
public:
    virtual ~row_significance() = default;
    virtual bool isSignificant(std::uint32_t table, const published_row& before, const published_row& after) const = 0;
};

/// Rows by key, with the revision of the last change that matters. A row never
/// goes back to an older revision, in whatever order reads and peers deliver.
/// Not thread-safe; call on the loop's thread.
class row_replica {
public:
    /// \p significance outlives the replica.
    row_replica(std::uint32_t table, const row_significance& significance);

    /// Applies rows that changed up to \p position and returns those that
    /// matter and are newer than what is held.
    std::vector<published_row> apply(const std::vector<published_row>& rows, revision position);

    /// Applies a whole table as of \p position. Rows that it lacks count as
    /// deleted at that position, unless what is held is newer.
    std::vector<published_row> applyWhole(const std::vector<published_row>& rows, revision position);

    /// Returns what a peer lacks that has followed the table up to \p have.
    table_update updateSince(revision have) const;

    /// Returns whether the table has ever been read whole.
    bool isWhole() const { return m_isWhole; }
    revision position() const { return m_position; }

    /// Calls \p use with every row that exists.
    template <typename Use>
    void forEachRow(Use use) const
    {
        for (const auto& [key, held] : m_rows) {
            if (!held.row.isDeleted)
                use(held.row);
        }
    }

private:
    struct held_row {
        published_row row;
        revision changedAt; ///< Of the last change that matters.
    };

    bool applyRow(const published_row& row);
    void forgetDeleted();

    std::uint32_t m_table;
    const row_significance& m_significance;
    std::map<std::string, held_row> m_rows; ///< Deleted rows too, until there are many.
    revision m_position;
    revision m_forgottenUpTo; ///< Deletions up to here are no longer held.
    bool m_isWhole = false;
};

}
