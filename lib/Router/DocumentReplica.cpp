#include "pimentoladder/Router/DocumentReplica.h"

namespace pimentoladder {

result<bool> document_replica::apply(const config_update& update)
{
    if (update.to <= m_document.at || update.from > m_document.at)
        return false;
    const bool isWhole = update.from == revision();
    document next = isWhole ? document() : m_document;
    for (const row_change& change : update.rows) {
        if (const auto applied = applyRow(next, change); !applied)
            return tl::unexpected(applied.error());
    }
    next.at = update.to;
    if (isWhole) {
        m_rows.clear();
        m_completeSince = update.to;
    }
    for (const row_change& change : update.rows)
        m_rows[change.key] = change;
    m_document = std::move(next);
    return true;
}

config_update document_replica::updateSince(revision have) const
{
    const bool isWhole = have < m_completeSince;
    config_update update { isWhole ? revision() : have, m_document.at, {} };
    for (const auto& [key, change] : m_rows) {
        if (isWhole ? change.value.has_value() : change.changedAt > have)
            update.rows.push_back(change);
    }
    return update;
}

revision document_replica::rowRevision(const std::string& key) const
{
    const auto found = m_rows.find(key);
    return found != m_rows.end() && found->second.value ? found->second.changedAt : revision();
}

}
