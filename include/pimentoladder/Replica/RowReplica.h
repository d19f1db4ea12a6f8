/// \file
/// Replica of one table of the store.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Determines whether a change of a row is significant to routers. Rows are also
/// rewritten as heartbeats, without a significant change. Thread-safe.
class row_significance {
public:
    virtual ~row_significance() = default;
    virtual bool isSignificant(std::uint32_t table, const published_row& before, const published_row& after) const = 0;
};

/// Rows by key, with the position of each row's last significant change. A row never
/// reverts to an older revision, in whatever order reads and messages of peers arrive.
/// Not thread-safe; call on the loop's thread.
class row_replica {
public:
    /// \p significance outlives the replica.
    row_replica(std::uint32_t table, const row_significance& significance);

    /// Applies rows that changed up to \p position. Returns those that are newer than the
    /// replica's and differ significantly.
    std::vector<published_row> apply(const std::vector<published_row>& rows, store_position position);

    /// Applies a complete table as of \p position and returns the rows that changed. Rows
    /// that are missing from it are deleted as of that position, unless the replica's are
    /// newer.
    std::vector<published_row> applyWhole(const std::vector<published_row>& rows, store_position position);

    /// Returns the update for a peer whose replica is at position \p have.
    table_update updateSince(store_position have) const;

    /// Returns whether a complete table has been applied.
    bool isWhole() const { return m_isWhole; }
    store_position position() const { return m_position; }

    /// Returns the row in force under a key, or null.
    const published_row* find(const std::string& key) const;

    /// Returns the row that the store holds under a key, as far as this replica knows,
    /// or null.
    const published_row* findStored(const std::string& key) const;

    /// Calls \p use for each row in force.
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
        store_position changedAt; ///< Position of the last significant change.
    };

    bool applyRow(const published_row& row);
    void forgetDeleted();

    std::uint32_t m_table;
    const row_significance& m_significance;
    std::map<std::string, held_row> m_rows; ///< Includes deleted rows until there are too many.
    store_position m_position;
    store_position m_forgottenUpTo; ///< Deletions up to this position are no longer stored.
    bool m_isWhole = false;
};

}
