#include "pimentoladder/Replica/RowReplica.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pimentoladder {

namespace {

    // Maximum number of deleted rows stored for peers that have not received the deletion.
    constexpr std::size_t maxDeletedRows = 1024;

}

row_replica::row_replica(std::uint32_t table, const row_rules& rules)
    : m_table(table)
    , m_rules(rules)
{
}

bool row_replica::isDifferent(const published_row& left, const published_row& right) const
{
    if (left.isDeleted || right.isDeleted)
        return left.isDeleted != right.isDeleted;
    return m_rules.isSignificant(m_table, left, right);
}

void row_replica::applyRow(const published_row& row, store_position completeUpTo, row_changes& changes)
{
    const bool wasDeleted = row.position <= completeUpTo && !m_rows.contains(row.key);
    if (wasDeleted)
        return;
    const auto [found, isNew] = m_rows.try_emplace(row.key);
    held_row& held = found->second;
    if (!isNew && row.position <= held.row.position)
        return;
    // A peer may hold the row that was written between the two deletions.
    const bool isDeletedAgain = !isNew && held.row.isDeleted && row.isDeleted;
    const bool isChanged = isNew || isDeletedAgain || isDifferent(held.row, row);
    std::string lastValue = std::move(held.row.value);
    held.row = row;
    if (row.isDeleted)
        held.row.value = std::move(lastValue);
    const auto retained = m_retained.find(row.key);
    const bool isRetained = retained != m_retained.end();
    // A row that its writer wrote before the one in force is written again after a
    // restoration, on the way to the newest.
    const bool isOlder = isRetained && !row.isDeleted && std::is_lt(m_rules.order(m_table, row, retained->second));
    const bool endsRetention = isRetained && !isOlder;
    if (!isChanged && !endsRetention)
        return;
    held.changedAt = row.position;
    changes.stored.push_back(row);
    if (isOlder)
        return;
    const bool isInForceChanged = isRetained ? isDifferent(retained->second, row) : !isDeletedAgain;
    if (isInForceChanged)
        changes.inForce.push_back(row);
    if (isRetained)
        m_retained.erase(retained);
}

row_changes row_replica::apply(const std::vector<published_row>& rows, store_position position)
{
    return applyRows(rows, position, m_isWhole ? m_position : store_position());
}

row_changes row_replica::applyRows(const std::vector<published_row>& rows, store_position position, store_position completeUpTo)
{
    row_changes changes;
    if (position.era != m_position.era)
        return changes;
    for (const published_row& row : rows)
        applyRow(row, completeUpTo, changes);
    m_position = std::max(m_position, position);
    forgetDeleted();
    return changes;
}

row_changes row_replica::applyWhole(const std::vector<published_row>& rows, store_position position)
{
    if (!std::exchange(m_isWhole, true)) {
        m_position = { position.era, revision() };
        m_forgottenUpTo = position;
        m_gap = { position, position };
    }
    if (position.era < m_position.era)
        return {};
    if (position.era > m_position.era)
        return enterEra(rows, position);
    if (position > m_position && m_position.at != revision()) {
        if (m_forgottenUpTo < m_gap.to)
            m_forgottenUpTo = m_gap.to;
        m_gap = { m_position, position };
    }
    std::set<std::string_view> present;
    for (const published_row& row : rows)
        present.insert(row.key);
    std::vector<published_row> all = rows;
    for (const auto& [key, held] : m_rows) {
        if (!held.row.isDeleted && !present.contains(key) && held.row.position < position)
            all.push_back({ key, {}, position, true });
    }
    return applyRows(all, position, position < m_position ? m_position : store_position());
}

bool row_replica::isRetainedAgainst(const published_row& inForce, const published_row& copied) const
{
    if (!isDifferent(inForce, copied))
        return false;
    const std::partial_ordering order = m_rules.order(m_table, inForce, copied);
    return inForce.isDeleted ? !std::is_lt(order) : !std::is_lteq(order);
}

row_changes row_replica::enterEra(const std::vector<published_row>& rows, store_position position)
{
    row_changes changes;
    std::map<std::string, published_row> before = std::exchange(m_retained, {});
    for (auto& [key, held] : std::exchange(m_rows, {}))
        before.try_emplace(key, std::move(held.row));
    m_position = position;
    m_forgottenUpTo = position;
    m_gap = { position, position };
    m_hasAcceptedStored = false;
    m_hasAcceptedAbsent = false;
    for (const published_row& row : rows) {
        m_rows[row.key] = { row, row.position };
        const auto inForce = before.find(row.key);
        const bool isKnown = inForce != before.end();
        if (isKnown && isRetainedAgainst(inForce->second, row)) {
            ++changes.dropped;
            continue;
        }
        if (!isKnown || isDifferent(inForce->second, row))
            changes.inForce.push_back(row);
        before.erase(row.key);
    }
    // Deleted rows that the copy lacks are included: a further restoration may contain them.
    m_retained = std::move(before);
    return changes;
}

table_update row_replica::updateSince(store_position have) const
{
    const bool isOtherEra = have.era != m_position.era;
    const bool isInGap = m_gap.from < have && have < m_gap.to;
    const bool isWhole = isOtherEra || have.at == revision() || have < m_forgottenUpTo || isInGap;
    const store_position from = isOtherEra ? store_position { m_position.era, revision() } : have;
    table_update update { m_table, from, std::max(from, m_position), isWhole, {} };
    for (const auto& [key, held] : m_rows) {
        const bool isWanted = update.isWhole ? !held.row.isDeleted : held.changedAt > have;
        if (!isWanted)
            continue;
        update.rows.push_back(held.row);
        if (held.row.isDeleted)
            update.rows.back().value.clear();
    }
    return update;
}

bool row_replica::isAdopted(const published_row& row, store_position position) const
{
    const auto retained = m_retained.find(row.key);
    if (retained != m_retained.end()) {
        const std::partial_ordering order = m_rules.order(m_table, retained->second, row);
        return std::is_lt(order) || (!std::is_gt(order) && retained->second.position < row.position);
    }
    const auto stored = m_rows.find(row.key);
    if (stored == m_rows.end())
        return !row.isDeleted;
    // The peer has compared this row of the store with the one that it retains.
    if (stored->second.row.position <= position)
        return isDifferent(stored->second.row, row);
    return !row.isDeleted && !stored->second.row.isDeleted && std::is_lt(m_rules.order(m_table, stored->second.row, row));
}

std::vector<published_row> row_replica::adoptRetained(const std::vector<published_row>& rows, store_position position)
{
    std::vector<published_row> changed;
    if (!m_isWhole || position.era != m_position.era || m_hasAcceptedStored)
        return changed;
    for (const published_row& row : rows) {
        const bool isAcceptedAbsent = m_hasAcceptedAbsent && !row.isDeleted && !findStored(row.key);
        if (isAcceptedAbsent || !isAdopted(row, position))
            continue;
        const published_row* before = find(row.key);
        const bool isChanged = before ? isDifferent(*before, row) : !row.isDeleted;
        m_retained.insert_or_assign(row.key, row);
        if (isChanged)
            changed.push_back(row);
    }
    return changed;
}

void row_replica::accept(const published_row& retained, std::vector<published_row>& changed)
{
    const published_row* stored = findStored(retained.key);
    if (stored && isDifferent(retained, *stored))
        changed.push_back(*stored);
    if (stored)
        return;
    if (!retained.isDeleted)
        changed.push_back({ retained.key, {}, m_position, true });
    m_rows.try_emplace(retained.key, held_row { { retained.key, retained.value, { m_position.era, revision() }, true }, { m_position.era, revision() } });
}

std::vector<published_row> row_replica::acceptStored()
{
    m_hasAcceptedStored = true;
    std::vector<published_row> changed;
    for (const auto& [key, row] : std::exchange(m_retained, {}))
        accept(row, changed);
    forgetDeleted();
    return changed;
}

std::vector<published_row> row_replica::acceptAbsent()
{
    m_hasAcceptedAbsent = true;
    std::vector<published_row> changed;
    for (auto each = m_retained.begin(); each != m_retained.end();) {
        published_row& row = each->second;
        if (row.isDeleted || findStored(row.key)) {
            ++each;
            continue;
        }
        accept(row, changed);
        each = m_retained.erase(each);
    }
    return changed;
}

const published_row* row_replica::findStored(const std::string& key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() || found->second.row.isDeleted ? nullptr : &found->second.row;
}

const published_row* row_replica::find(const std::string& key) const
{
    const auto retained = m_retained.find(key);
    if (retained == m_retained.end())
        return findStored(key);
    return retained->second.isDeleted ? nullptr : &retained->second;
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
