#include "standins/platform/RowTables.h"

#include <algorithm>

namespace pimentoladder::standins {

bool row_tables::commit(const std::vector<row_expectation>& expected, const std::vector<row_write>& writes)
{
    const bool isExpected = std::ranges::all_of(expected, [this](const row_expectation& each) { return versionOf(each.name) == each.version; });
    if (!isExpected)
        return false;
    ++m_newest;
    for (const row_write& each : writes) {
        row& written = m_rows[each.name];
        m_overwritten.push_back({ m_newest, each.name, written });
        written = { each.value, m_newest };
    }
    return true;
}

void row_tables::restore(std::uint64_t version)
{
    while (!m_overwritten.empty() && m_overwritten.back().version > version) {
        const overwritten_row& last = m_overwritten.back();
        if (last.before.version == 0)
            m_rows.erase(last.name);
        else
            m_rows[last.name] = last.before;
        m_overwritten.pop_back();
    }
    m_newest = std::min(m_newest, version);
    m_historyFrom = std::min(m_historyFrom, m_newest);
}

std::uint64_t row_tables::versionOf(const row_name& name) const
{
    const auto found = m_rows.find(name);
    return found == m_rows.end() || !found->second.value ? 0 : found->second.version;
}

std::optional<std::string> row_tables::valueOf(const row_name& name) const
{
    const auto found = m_rows.find(name);
    return found == m_rows.end() ? std::nullopt : found->second.value;
}

std::vector<stored_row> row_tables::list(const std::string& table, const std::string& part, const std::string& startKey, std::size_t limit) const
{
    std::vector<stored_row> rows;
    for (auto each = m_rows.lower_bound({ table, part, startKey }); each != m_rows.end() && rows.size() < limit; ++each) {
        if (each->first.table != table || each->first.part != part)
            break;
        if (each->second.value)
            rows.push_back({ each->first, each->second.value, each->second.version });
    }
    return rows;
}

std::optional<std::vector<stored_row>> row_tables::changes(const std::string& table, std::uint64_t since) const
{
    if (since < m_historyFrom || since > m_newest)
        return std::nullopt;
    std::vector<stored_row> rows;
    for (const auto& [name, kept] : m_rows) {
        if (name.table == table && kept.version > since)
            rows.push_back({ name, kept.value, kept.version });
    }
    std::ranges::sort(rows, {}, &stored_row::version);
    return rows;
}

}
