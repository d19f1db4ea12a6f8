#include "pimentoladder/Replica/RowRelay.h"

#include <algorithm>
#include <utility>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr double retryJitter = 0.5;
    // Maximum number of messages to the source that wait for a response.
    constexpr std::size_t maxUnanswered = 16;
    // Interval between two checks for a better source.
    constexpr duration sourceCheckInterval = 100ms;
    // Maximum time to the next tick.
    constexpr duration idleInterval = 1s;

    // The first two tables, operators and servers, must be current for a confirmation.
    constexpr std::ptrdiff_t basisTables = 2;

    constexpr std::array allTables { followed_table::operators, followed_table::servers, followed_table::members };

    constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325;
    constexpr std::uint64_t fnvPrime = 0x100000001b3;

    std::uint64_t hashOf(const vm_id& vm)
    {
        std::uint64_t hash = fnvOffset;
        for (const char c : vm.value())
            hash = (hash ^ static_cast<unsigned char>(c)) * fnvPrime;
        return hash ^ (hash >> 29);
    }

}

row_relay::row_relay(vm_id self, data_centre_id ownDataCentre, const row_significance& significance, relay_limits limits, std::uint64_t seed)
    : m_self(std::move(self))
    , m_ownDataCentre(std::move(ownDataCentre))
    , m_limits(limits)
    , m_random(seed)
{
    for (const followed_table table : allTables)
        m_tables.emplace_back(row_replica(static_cast<std::uint32_t>(table), significance));
}

void row_relay::setMembers(std::vector<fleet_router> members)
{
    std::sort(members.begin(), members.end(), [](const fleet_router& left, const fleet_router& right) {
        return std::pair(left.cores, hashOf(left.vm)) > std::pair(right.cores, hashOf(right.vm));
    });
    m_members = std::move(members);
    m_readers.clear();
    std::set<data_centre_id> covered;
    std::vector<fleet_router> others;
    for (const fleet_router& each : m_members)
        (covered.insert(each.dataCentre).second ? m_readers : others).push_back(each);
    for (std::size_t i = 0; i < others.size() && m_readers.size() < m_limits.minReaders; ++i)
        m_readers.push_back(others[i]);
}

void row_relay::refreshMembers()
{
    table_state& members = state(followed_table::members);
    members.needsWhole = true;
    members.nextReadAt = {};
}

bool row_relay::isReader() const
{
    return std::any_of(m_readers.begin(), m_readers.end(), [this](const fleet_router& each) { return each.vm == m_self; });
}

bool row_relay::mustReadStore(time_point now) const
{
    return isReader() || std::any_of(m_followers.begin(), m_followers.end(), [&](const auto& each) { return now - each.second <= m_limits.sourceTimeout; });
}

bool row_relay::hasRead(const table_state& table, time_point now) const
{
    return table.readAt && now - *table.readAt <= m_limits.maxBasisAge;
}

bool row_relay::isStoreReachable(time_point now) const
{
    return std::all_of(m_tables.begin(), m_tables.begin() + basisTables, [&](const table_state& each) { return hasRead(each, now); });
}

bool row_relay::isStoreFailing() const
{
    return m_source.isEmpty() && std::any_of(m_tables.begin(), m_tables.begin() + basisTables, [](const table_state& each) { return each.isFailing; });
}

bool row_relay::isStale(time_point now) const
{
    const time_point from = std::max(m_basis.value_or(time_point()), m_startedAt.value_or(now) + m_limits.startGrace);
    return now - from > m_limits.maxBasisAge;
}

bool row_relay::readsStore(time_point now) const
{
    const bool isStarting = !m_startedAt || now < *m_startedAt + m_limits.startGrace;
    return mustReadStore(now) || (m_source.isEmpty() && !isStarting);
}

bool row_relay::isWanted(followed_table table, time_point now) const
{
    const table_state& each = m_tables[static_cast<std::size_t>(table)];
    // Each router must read the members itself at its start, to find the readers.
    const bool isStart = table == followed_table::members && each.needsWhole;
    if (each.isReading || (!isStart && !readsStore(now)))
        return false;
    // Until a read succeeds, only the first table is read, to check whether the store is
    // reachable.
    const bool isProbing = !isStart && !mustReadStore(now) && !hasRead(m_tables.front(), now);
    return !isProbing || table == allTables.front();
}

duration row_relay::retryPause(const table_state& failed, time_point now)
{
    const retry_pauses& pauses = mustReadStore(now) ? m_limits.readerRetry : m_limits.otherRetry;
    duration pause = pauses.first;
    for (std::uint32_t i = 1; i < failed.failures && pause < pauses.longest; ++i)
        pause *= 2;
    return m_random.jittered(std::min(pause, pauses.longest), retryJitter);
}

std::optional<vm_id> row_relay::bestSource(time_point now) const
{
    std::optional<vm_id> best;
    bool isBestLocal = false;
    for (const fleet_router& each : m_readers) {
        const auto avoided = m_cooldownUntil.find(each.vm);
        const bool isUsable = each.vm != m_self && m_linked.contains(each.vm) && (avoided == m_cooldownUntil.end() || now >= avoided->second);
        const bool isLocal = each.dataCentre == m_ownDataCentre;
        if (!isUsable || (best && (isBestLocal || !isLocal)))
            continue;
        best = each.vm;
        isBestLocal = isLocal;
    }
    return best;
}

void row_relay::chooseSource(time_point now, relay_actions& out)
{
    const bool isSilent = now - m_heardAt > m_limits.sourceTimeout;
    const bool isDisconnected = !m_linked.contains(m_source);
    // The source's data cannot be newer than its own reads, so if this router is stale
    // although it follows the source, the source is stale too.
    const bool isSourceStale = isStale(now) && now - m_chosenAt > m_limits.sourceTimeout;
    const bool needsSource = !isReader() || (isStale(now) && !isStoreReachable(now)) || (!m_source.isEmpty() && !isStoreReachable(now));
    const bool isLost = !m_source.isEmpty() && (isSilent || isDisconnected || isSourceStale);
    if (!m_source.isEmpty() && needsSource && !isLost)
        return;
    if (isLost)
        m_cooldownUntil[m_source] = now + m_limits.sourceCooldown;
    const vm_id next = needsSource ? bestSource(now).value_or(vm_id()) : vm_id();
    if (next == m_source)
        return;
    m_chosenAt = now;
    m_heardAt = now;
    m_followAt = now;
    m_unanswered.clear();
    const std::string_view lost = isDisconnected ? "link_closed" : (isSilent ? "silent" : "stale");
    switchSource(next, isLost ? lost : "store_in_reach", out);
}

void row_relay::switchSource(vm_id next, std::string_view reason, relay_actions& out)
{
    m_source = std::move(next);
    if (std::exchange(m_hasSourceBasis, false))
        out.push_back(source_changed { {}, reason });
}

void row_relay::follow(time_point now, relay_actions& out)
{
    if (m_source.isEmpty() || now < m_followAt)
        return;
    m_followAt = now + m_limits.followInterval;
    follow_rows asked;
    asked.sequence = ++m_sequence;
    for (const followed_table table : allTables)
        asked.have.push_back({ static_cast<std::uint32_t>(table), state(table).replica.position() });
    m_unanswered[asked.sequence] = now;
    if (m_unanswered.size() > maxUnanswered)
        m_unanswered.erase(m_unanswered.begin());
    out.push_back(send_to_router { m_source, std::move(asked) });
}

relay_actions row_relay::onTick(time_point now)
{
    relay_actions out;
    if (!m_startedAt)
        m_startedAt = now;
    chooseSource(now, out);
    follow(now, out);
    for (const followed_table table : allTables) {
        table_state& each = state(table);
        if (!isWanted(table, now) || now < each.nextReadAt)
            continue;
        const auto index = static_cast<std::size_t>(table);
        each.isReading = true;
        each.sentAt = now;
        out.push_back(read_table { table, each.needsWhole, each.replica.position(), m_limits.wait[index] });
    }
    return out;
}

time_point row_relay::nextDeadline(time_point now) const
{
    time_point next = now + (m_startedAt ? idleInterval : duration::zero());
    if (m_startedAt && now < *m_startedAt + m_limits.startGrace)
        next = std::min(next, *m_startedAt + m_limits.startGrace);
    for (const followed_table table : allTables) {
        if (isWanted(table, now))
            next = std::min(next, std::max(now, m_tables[static_cast<std::size_t>(table)].nextReadAt));
    }
    if (m_source.isEmpty() && !isReader())
        return std::max(now, std::min(next, now + sourceCheckInterval));
    if (!m_source.isEmpty())
        next = std::min({ next, m_followAt, m_heardAt + m_limits.sourceTimeout + 1ms });
    if (m_basis)
        next = std::min(next, std::max(*m_basis + m_limits.maxBasisAge + 1ms, now + sourceCheckInterval));
    return next;
}

void row_relay::report(followed_table table, const std::vector<published_row>& changed, relay_actions& out)
{
    for (const published_row& row : changed)
        out.push_back(row_changed { table, row });
}

void row_relay::confirm(relay_actions& out)
{
    time_point oldest = time_point::max();
    for (std::size_t table = 0; table < static_cast<std::size_t>(basisTables); ++table) {
        if (!m_tables[table].confirmedAt)
            return;
        oldest = std::min(oldest, *m_tables[table].confirmedAt);
    }
    if (m_basis && oldest <= *m_basis)
        return;
    m_basis = oldest;
    out.push_back(basis_confirmed { oldest });
}

relay_actions row_relay::onRead(time_point now, followed_table table, const result<rows_page>& answer)
{
    relay_actions out;
    table_state& read = state(table);
    read.isReading = false;
    if (!answer) {
        ++read.failures;
        read.nextReadAt = now + retryPause(read, now);
        // A gap in the history is not an outage: the complete table is read at once.
        if (answer.error().kind == error_kind::notFound) {
            read.needsWhole = true;
            read.nextReadAt = now;
        } else if (!std::exchange(read.isFailing, true)) {
            out.push_back(store_lost { table, answer.error() });
        }
        return out;
    }
    if (std::exchange(read.isFailing, false)) {
        m_returnedAt = now;
        out.push_back(table_reads_recovered { table });
        out.push_back(store_recovered { now });
        for (table_state& each : m_tables)
            each.nextReadAt = std::min(each.nextReadAt, now);
    }
    read.failures = 0;
    read.nextReadAt = read.sentAt + m_limits.pause[static_cast<std::size_t>(table)];
    const bool isWhole = std::exchange(read.needsWhole, false);
    const store_position before = read.replica.position();
    const auto changed = isWhole ? read.replica.applyWhole(answer->rows, answer->position()) : read.replica.apply(answer->rows, answer->position());
    report(table, changed, out);
    if (isWhole)
        out.push_back(table_listed { table });
    read.readAt = read.sentAt;
    read.confirmedAt = std::max(read.confirmedAt.value_or(read.sentAt), read.sentAt);
    confirm(out);
    publish(now, table, before, changed, out);
    return out;
}

std::optional<duration> row_relay::returnedAge(time_point now) const
{
    if (!m_returnedAt || now - *m_returnedAt > m_limits.recoveryNoticePeriod)
        return std::nullopt;
    return now - *m_returnedAt;
}

void row_relay::publish(time_point now, followed_table table, store_position before, const std::vector<published_row>& changed, relay_actions& out)
{
    std::erase_if(m_followers, [&](const auto& each) { return now - each.second > m_limits.sourceTimeout; });
    if (changed.empty())
        return;
    rows_update update;
    update.returnedAge = returnedAge(now);
    update.tables.push_back({ static_cast<std::uint32_t>(table), before, state(table).replica.position(), false, changed });
    for (const auto& [vm, askedAt] : m_followers)
        out.push_back(send_to_router { vm, update });
}

relay_actions row_relay::onMessage(time_point now, const member_ref& from, const message& received)
{
    relay_actions out;
    if (const auto* asked = std::get_if<follow_rows>(&received))
        answerFollower(now, from, *asked, out);
    if (const auto* update = std::get_if<rows_update>(&received))
        applyUpdate(now, from, *update, out);
    return out;
}

void row_relay::answerFollower(time_point now, const member_ref& from, const follow_rows& asked, relay_actions& out)
{
    m_followers[from.vm] = now;
    rows_update answer;
    answer.echoSequence = asked.sequence;
    // Without `basisAge`, the follower switches to another reader at once.
    if (m_basis && !isStoreFailing())
        answer.basisAge = now - *m_basis;
    answer.returnedAge = returnedAge(now);
    for (const table_position& have : asked.have) {
        if (have.table >= m_tables.size() || !m_tables[have.table].replica.isWhole())
            continue;
        table_update update = m_tables[have.table].replica.updateSince(have.position);
        if (update.isWhole || !update.rows.empty() || update.to > have.position)
            answer.tables.push_back(std::move(update));
    }
    out.push_back(send_to_router { from.vm, std::move(answer) });
}

void row_relay::applyUpdate(time_point now, const member_ref& from, const rows_update& received, relay_actions& out)
{
    // Removals of rows that expired in the outage are delayed here as at the sender.
    const bool isNewRecovery = received.returnedAge && (!m_returnedAt || now - *received.returnedAge > *m_returnedAt + m_limits.recoveryNoticePeriod);
    if (isNewRecovery) {
        m_returnedAt = now - *received.returnedAge;
        out.push_back(store_recovered { *m_returnedAt });
    }
    bool hasGap = false;
    for (const table_update& update : received.tables) {
        if (update.table >= m_tables.size())
            continue;
        const auto table = static_cast<followed_table>(update.table);
        table_state& held = state(table);
        if (update.isWhole && update.to >= held.replica.position()) {
            const auto changed = held.replica.applyWhole(update.rows, update.to);
            held.needsWhole = false;
            report(table, changed, out);
            out.push_back(table_listed { table });
            continue;
        }
        const bool isContiguous = held.replica.isWhole() && update.from <= held.replica.position();
        if (!isContiguous) {
            hasGap = true;
            continue;
        }
        report(table, held.replica.apply(update.rows, update.to), out);
    }
    const auto asked = m_unanswered.find(received.echoSequence);
    if (from.vm != m_source || asked == m_unanswered.end())
        return;
    m_heardAt = now;
    // The response was made after the request was sent, so the time of the request minus
    // `basisAge` is a lower bound for the time of the confirmation. After a gap it does not
    // cover the missing rows.
    const auto isWhole = [](const table_state& each) { return each.replica.isWhole(); };
    const bool isComplete = !hasGap && std::all_of(m_tables.begin(), m_tables.begin() + basisTables, isWhole);
    if (received.basisAge && isComplete) {
        const time_point basis = asked->second - *received.basisAge;
        for (std::size_t table = 0; table < static_cast<std::size_t>(basisTables); ++table)
            m_tables[table].confirmedAt = std::max(m_tables[table].confirmedAt.value_or(basis), basis);
        confirm(out);
        const bool isSourceFresh = *received.basisAge <= m_limits.maxBasisAge;
        if (isSourceFresh && !std::exchange(m_hasSourceBasis, true))
            out.push_back(source_changed { m_source, "found" });
    }
    m_unanswered.erase(m_unanswered.begin(), std::next(asked));
    // If several readers have lost the store, waiting until this router is stale itself
    // would take too long.
    const bool isSourceStale = !received.basisAge || *received.basisAge > m_limits.maxBasisAge;
    if (!isSourceStale)
        return;
    m_cooldownUntil[m_source] = now + m_limits.sourceCooldownWithoutStore;
    switchSource({}, "without_store", out);
}

}
