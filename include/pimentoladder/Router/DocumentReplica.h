/// \file
/// This router's copy of the configuration document.

#pragma once

#include <map>
#include <optional>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Config/Rows.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Holds the document and the changed rows that bring other routers from an
/// earlier revision up to it. The revision never decreases. Not thread-safe; call
/// on the loop's thread.
class document_replica {
public:
    const document& current() const { return m_document; }

    /// Applies an update. Returns whether the revision advanced; an update that
    /// starts after the applied revision, or ends at or before it, is ignored.
    /// Errors: `invalidArgument` if a row cannot be applied; the document is
    /// then unchanged.
    result<bool> apply(const config_update& update);

    /// Returns the rows changed between \p have and the current revision, or the
    /// whole document if the deletions since \p have are no longer known.
    config_update updateSince(revision have) const;

    /// Returns the revision of the row named \p key; zero if there is none.
    revision rowRevision(const std::string& key) const;

private:
    document m_document;
    std::map<std::string, row_change> m_rows; ///< Latest change of each key, deletions included.
    revision m_completeSince; ///< `m_rows` holds every deletion after this revision.
};

}
