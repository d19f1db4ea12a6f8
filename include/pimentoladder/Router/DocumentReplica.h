/// \file
/// This router's copy of the configuration document.

#pragma once

#include <map>
#include <optional>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Config/Rows.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Holds the document and the rows that lead from earlier revisions to it. It
/// only ever moves to a higher revision. Not thread-safe; call on the loop's
/// thread.
class document_replica {
public:
    const document& current() const { return m_document; }

    /// Applies an update. Returns whether the revision advanced; an update that
    /// starts after the applied revision, or ends at or before it, is ignored.
    /// Errors: `invalidArgument` if a row cannot be applied; the document is
    /// then unchanged.
    result<bool> apply(const config_update& update);

    /// Returns the rows that lead from \p have to the present revision, or the
    /// whole document if deletions since \p have are not known any more.
    config_update updateSince(revision have) const;

    /// Returns the revision of the row named \p key; zero if there is none.
    revision rowRevision(const std::string& key) const;

private:
    document m_document;
    std::map<std::string, row_change> m_rows; ///< Latest change of each key, deletions included.
    revision m_completeSince; ///< Deletions after this revision are all in `m_rows`.
};

}
