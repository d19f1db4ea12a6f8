/// \file
/// Replica of one table of the store.

#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Compares the values of rows. Thread-safe.
class row_rules {
public:
    virtual ~row_rules() = default;

    /// Returns whether a change of a row is significant to routers. Rows are also
    /// rewritten as heartbeats, without a significant change.
    virtual bool isSignificant(std::uint32_t table, const published_row& before, const published_row& after) const = 0;

    /// Compares two values of one row in the order in which its writer wrote them, which
    /// does not depend on the store. Equivalent only if the values are equal; unordered if
    /// they do not tell. A deleted row has the last value that was received, which need not
    /// be the last one before the deletion.
    virtual std::partial_ordering order(std::uint32_t table, const published_row& left, const published_row& right) const = 0;
};

/// Rows that a call has changed.
struct row_changes {
    std::vector<published_row> inForce; ///< Significant changes of the rows in force.
    std::vector<published_row> stored; ///< Changes of the store's rows that peers need.
    std::size_t dropped = 0; ///< Rows of a restored store that are not newer than the rows in force.
};

/// Rows by key, with the position of each row's last significant change. Within an era of
/// the store, a row never reverts to an older revision, in whatever order reads and
/// messages of peers arrive.
///
/// A store that has been restored from a copy is in a later era and may lack rows, hold
/// older ones, or hold rows that were deleted since. A row in force that the store's row
/// does not supersede by its writer's order is retained, until the store's row catches up
/// or the caller accepts the store's rows.
/// Not thread-safe; call on the loop's thread.
class row_replica {
public:
    /// \p rules outlives the replica.
    row_replica(std::uint32_t table, const row_rules& rules);

    /// Applies rows that changed up to \p position. Rows of another era than the replica's
    /// are ignored.
    row_changes apply(const std::vector<published_row>& rows, store_position position);

    /// Applies a complete table as of \p position. Rows that are missing from it are deleted
    /// as of that position, unless the replica's are newer. A table of an earlier era is
    /// ignored; with a table of a later era, the replica enters that era.
    row_changes applyWhole(const std::vector<published_row>& rows, store_position position);

    /// Returns the update of the store's rows for a peer whose replica is at position
    /// \p have.
    table_update updateSince(store_position have) const;

    /// Retains rows that a peer at position \p position retains, unless this replica has
    /// newer ones or has ended their retention in this era. Returns the changed rows in force.
    std::vector<published_row> adoptRetained(const std::vector<published_row>& rows, store_position position);

    /// Ends the retention of all rows. Returns the changed rows in force.
    std::vector<published_row> acceptStored();

    /// Ends the retention of the rows that the store does not hold. Returns the deleted
    /// rows.
    std::vector<published_row> acceptAbsent();

    /// Returns the rows in force that the store has not confirmed in its current era, by
    /// key. Deleted ones have their last value.
    const std::map<std::string, published_row>& retained() const { return m_retained; }

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
            if (!held.row.isDeleted && !m_retained.contains(key))
                use(held.row);
        }
        for (const auto& [key, row] : m_retained) {
            if (!row.isDeleted)
                use(row);
        }
    }

private:
    struct held_row {
        published_row row; ///< If deleted, with its last value.
        store_position changedAt; ///< Position of the last significant change.
    };

    /// Positions between which rows may have been written and deleted unseen, since a
    /// complete table was applied instead of the changes.
    struct unseen_span {
        store_position from;
        store_position to;
    };

    /// Applies rows that changed up to \p position. Up to \p completeUpTo, rows that this
    /// replica lacks were deleted, although their deletions may have been forgotten.
    row_changes applyRows(const std::vector<published_row>& rows, store_position position, store_position completeUpTo);
    void applyRow(const published_row& row, store_position completeUpTo, row_changes& changes);
    row_changes enterEra(const std::vector<published_row>& rows, store_position position);
    bool isRetainedAgainst(const published_row& inForce, const published_row& copied) const;
    bool isDifferent(const published_row& left, const published_row& right) const;
    bool isAdopted(const published_row& row, store_position position) const;
    void accept(const published_row& retained, std::vector<published_row>& changed);
    void forgetDeleted();

    std::uint32_t m_table;
    const row_rules& m_rules;
    std::map<std::string, held_row> m_rows; ///< The store's rows; includes deleted rows until there are too many.
    std::map<std::string, published_row> m_retained; ///< Rows in force instead of the store's.
    store_position m_position;
    store_position m_forgottenUpTo; ///< Deletions up to this position may be missing, so that a peer at an earlier one needs the complete table.
    unseen_span m_gap; ///< The last one; earlier ones are part of `m_forgottenUpTo`.
    bool m_isWhole = false;
    bool m_hasAcceptedStored = false; ///< `acceptStored` was called in this era.
    bool m_hasAcceptedAbsent = false; ///< `acceptAbsent` was called in this era.
};

}
