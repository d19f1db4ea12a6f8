#include "pimentoladder/Replica/RowReplica.h"

#include <algorithm>
#include <set>

namespace pimentoladder {

namespace {

    // Maximum number of deleted rows stored for peers that have not received the deletion.
    constexpr std::size_t maxDeletedRows = 1024;

}

row_replica::row_replica(std::uint32_t table, const row_significance& significance)
    : m_table(table)
    , m_significance(significance)
{
}

bool row_replica::applyRow(const published_row& row)
{
    const auto [found, isNew] = m_rows.try_emplace(row.key);
    held_row& held = found->second;
    if (!isNew && row.position <= held.row.position)
        return false;
    const bool isSame = !isNew && row.isDeleted == held.row.isDeleted && (row.isDeleted || !m_significance.isSignificant(m_table, held.row, row));
    held.row = row;
    if (isSame)
        return false;
    held.changedAt = row.position;
    return true;
}

std::vector<published_row> row_replica::apply(const std::vector<published_row>& rows, store_position position)
{
    std::vector<published_row> changed;
    for (const published_row& row : rows) {
        if (applyRow(row))
            changed.push_back(row);
    }
    m_position = std::max(m_position, position);
    forgetDeleted();
    return changed;
}

std::vector<published_row> row_replica::applyWhole(const std::vector<published_row>& rows, store_position position)
{
    std::set<std::string_view> present;
    for (const published_row& row : rows)
        present.insert(row.key);
    std::vector<published_row> all = rows;
    forEachRow([&](const published_row& held) {
        if (!present.contains(held.key) && held.position < position)
            all.push_back({ held.key, {}, position, true });
    });
    m_isWhole = true;
    return apply(all, position);
}

table_update row_replica::updateSince(store_position have) const
{
    table_update update { m_table, have, std::max(have, m_position), false, {} };
    update.isWhole = have < m_forgottenUpTo || have.at == revision();
    for (const auto& [key, held] : m_rows) {
        const bool isWanted = update.isWhole ? !held.row.isDeleted : held.changedAt > have;
        if (isWanted)
            update.rows.push_back(held.row);
    }
    return update;
}

const published_row* row_replica::findStored(const std::string& key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() || found->second.row.isDeleted ? nullptr : &found->second.row;
}

const published_row* row_replica::find(const std::string& key) const
{
    return findStored(key);
}

void row_replica::forgetDeleted()
{
    const auto isDeleted = [](const auto& each) { return each.second.row.isDeleted; };
    if (static_cast<std::size_t>(std::count_if(m_rows.begin(), m_rows.end(), isDeleted)) <= maxDeletedRows)
        return;
    std::erase_if(m_rows, isDeleted);
    m_forgottenUpTo = m_position;
}

}
