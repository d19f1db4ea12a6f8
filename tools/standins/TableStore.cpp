#include "standins/TableStore.h"

namespace pimentoladder::standins {

std::uint64_t table_namespace::liveRevision(const std::string& key) const
{
    const auto found = m_rows.find(key);
    return found != m_rows.end() && found->second.value ? found->second.revision : 0;
}

table_outcome table_namespace::apply(const table_transaction& transaction)
{
    for (const table_condition& condition : transaction.conditions) {
        const std::uint64_t current = liveRevision(condition.key);
        if (current != condition.revision)
            return { false, current, condition.key };
    }
    ++m_revision;
    for (const table_write& write : transaction.writes)
        m_rows[write.key] = { write.value, m_revision };
    return { true, m_revision, {} };
}

std::vector<table_row> table_namespace::rows(std::string_view prefix, std::uint64_t since) const
{
    std::vector<table_row> found;
    for (auto entry = m_rows.lower_bound(prefix); entry != m_rows.end() && entry->first.starts_with(prefix); ++entry) {
        const row& held = entry->second;
        const bool isShown = held.revision > since && (held.value || since > 0);
        if (isShown)
            found.push_back({ entry->first, held.value, held.revision });
    }
    return found;
}

}
