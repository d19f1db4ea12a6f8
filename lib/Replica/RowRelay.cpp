#include "pimentoladder/Replica/RowRelay.h"

#include <algorithm>
#include <utility>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    // Minimum time to the next tick of a router whose rows are too old.
    constexpr duration staleInterval = 100ms;
    // Maximum time to the next tick.
    constexpr duration idleInterval = 1s;

    // The first two tables, operators and servers, must be current for a confirmation.
    constexpr std::ptrdiff_t basisTables = 2;

    constexpr std::array allTables { followed_table::operators, followed_table::servers, followed_table::members };

    // Maximum size of the retained rows in one message, which keeps it below the maximum
    // size of a frame.
    constexpr std::size_t maxRetainedSize = 256UL * 1024;
    // Maximum number of messages with retained rows that wait for their era.
    constexpr std::size_t maxPendingRetained = 8;

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

row_relay::row_relay(vm_id self, data_centre_id ownDataCentre, const row_rules& rules, relay_limits limits, std::uint64_t seed)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_sources(m_self, std::move(ownDataCentre), limits)
    , m_random(seed)
{
    for (const followed_table table : allTables)
        m_tables.emplace_back(row_replica(static_cast<std::uint32_t>(table), rules));
    // Each router must read the members itself at its start, to find the readers.
    state(followed_table::members).needsOwnRead = true;
}

void row_relay::setMembers(std::vector<fleet_router> members)
{
    std::sort(members.begin(), members.end(), [](const fleet_router& left, const fleet_router& right) {
        return std::pair(left.cores, hashOf(left.vm)) > std::pair(right.cores, hashOf(right.vm));
    });
    m_members = std::move(members);
    std::vector<fleet_router> readers;
    std::set<data_centre_id> covered;
    std::vector<fleet_router> others;
    for (const fleet_router& each : m_members)
        (covered.insert(each.dataCentre).second ? readers : others).push_back(each);
    for (std::size_t i = 0; i < others.size() && readers.size() < m_limits.minReaders; ++i)
        readers.push_back(others[i]);
    m_sources.setReaders(std::move(readers));
}

void row_relay::refreshMembers()
{
    table_state& members = state(followed_table::members);
    members.needsOwnRead = true;
    members.nextReadAt = {};
}

bool row_relay::mustReadStore(time_point now) const
{
    return m_sources.isReader(m_self) || std::any_of(m_followers.begin(), m_followers.end(), [&](const auto& each) { return now - each.second <= m_limits.sourceTimeout; });
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
    return m_sources.source().isEmpty() && std::any_of(m_tables.begin(), m_tables.begin() + basisTables, [](const table_state& each) { return each.isFailing; });
}

bool row_relay::isStale(time_point now) const
{
    const time_point from = m_basis.value_or(m_startedAt.value_or(now) + m_limits.startGrace);
    return now - from > m_limits.maxBasisAge;
}

bool row_relay::readsStore(time_point now) const
{
    const bool isStarting = !m_startedAt || now < *m_startedAt + m_limits.startGrace;
    return mustReadStore(now) || (!isStarting && (m_sources.source().isEmpty() || isStale(now)));
}

bool row_relay::isWanted(followed_table table, time_point now) const
{
    const table_state& each = m_tables[static_cast<std::size_t>(table)];
    if (each.isReading || (!each.needsOwnRead && !readsStore(now)))
        return false;
    // Until a read succeeds, only the first table is read, to check whether the store is
    // reachable.
    const bool isProbing = !each.needsOwnRead && !mustReadStore(now) && !hasRead(m_tables.front(), now);
    return !isProbing || table == allTables.front();
}

const retry_pauses& row_relay::retryPauses(followed_table table, time_point now) const
{
    const table_state& failed = m_tables[static_cast<std::size_t>(table)];
    // Known members may be older than the other rows.
    const bool isUrgent = table != followed_table::members || !failed.replica.isWhole();
    // A single failure must not make the rows too old at a router that reads them itself.
    if (isUrgent && (mustReadStore(now) || hasRead(failed, now)))
        return m_limits.readerRetry;
    return m_sources.hasAnswered(now) ? m_limits.otherRetry : m_limits.loneRetry;
}

duration row_relay::retryPause(followed_table table, time_point now)
{
    const retry_pauses& pauses = retryPauses(table, now);
    duration pause = pauses.first;
    for (std::uint32_t i = 1; i < state(table).failures && pause < pauses.longest; ++i)
        pause *= 2;
    return m_random.jittered(std::min(pause, pauses.longest), pauses.jitter);
}

time_point row_relay::readDueAt(const table_state& each, time_point now) const
{
    const bool isAlone = each.failures > 0 && !mustReadStore(now) && !m_sources.hasAnswered(now);
    // The pause may have been chosen while readers answered.
    return isAlone ? std::min(each.nextReadAt, each.sentAt + m_limits.longestReturn) : each.nextReadAt;
}

void row_relay::reportSource(std::optional<std::string_view> reasonOfChange, relay_actions& out) const
{
    // A source is reported by name once it has confirmed the rows.
    if (reasonOfChange)
        out.push_back(source_changed { {}, *reasonOfChange });
}

void row_relay::askReaders(time_point now, relay_actions& out)
{
    for (const source_question& each : m_sources.takeQuestions(now)) {
        follow_rows asked;
        asked.sequence = each.sequence;
        for (const followed_table table : allTables)
            asked.have.push_back({ static_cast<std::uint32_t>(table), state(table).replica.position() });
        out.push_back(send_to_router { each.reader, std::move(asked) });
    }
}

void row_relay::reportOverdue(time_point now, relay_actions& out)
{
    const bool isOverdue = m_basis && !m_sources.source().isEmpty() && !mustReadStore(now) && isStale(now);
    if (isOverdue && !std::exchange(m_isOverdue, true))
        out.push_back(rows_overdue { m_sources.source(), now - *m_basis });
}

/// The store may hold a read only for the time that is left until the rows are too old.
duration row_relay::readWait(followed_table table, time_point now) const
{
    const duration left = m_basis ? *m_basis + m_limits.maxBasisAge - now : duration::zero();
    return std::clamp(left, duration::zero(), m_limits.wait[static_cast<std::size_t>(table)]);
}

relay_actions row_relay::onTick(time_point now)
{
    relay_actions out;
    if (!m_startedAt)
        m_startedAt = now;
    endRetention(now, out);
    std::erase_if(m_followers, [&](const auto& each) { return now - each.second > m_limits.sourceTimeout; });
    reportSource(m_sources.choose(now, { isStale(now), isStoreReachable(now) }), out);
    askReaders(now, out);
    reportOverdue(now, out);
    for (const followed_table table : allTables) {
        table_state& each = state(table);
        if (!isWanted(table, now) || now < readDueAt(each, now))
            continue;
        each.isReading = true;
        each.isReadingWhole = each.needsWhole;
        each.isReadingOwn = std::exchange(each.needsOwnRead, false);
        each.sentInEra = m_era;
        each.sentAt = now;
        out.push_back(read_table { table, each.needsWhole, each.replica.position(), readWait(table, now) });
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
            next = std::min(next, std::max(now, readDueAt(m_tables[static_cast<std::size_t>(table)], now)));
    }
    next = std::min(next, std::max(now, nextRetentionEnd()));
    next = std::min(next, m_sources.nextDeadline(now));
    if (m_basis)
        next = std::min(next, std::max(*m_basis + m_limits.maxBasisAge + 1ms, now + staleInterval));
    return std::max(now, next);
}

void row_relay::report(followed_table table, const std::vector<published_row>& changed, bool mayBeOlder, relay_actions& out)
{
    for (const published_row& row : changed)
        out.push_back(row_changed { table, row, mayBeOlder });
}

void row_relay::confirmTable(followed_table table, time_point at)
{
    table_state& confirmed = state(table);
    confirmed.confirmedAt = std::max(confirmed.confirmedAt.value_or(at), at);
    if (table == followed_table::servers) {
        m_servedUntil = std::max(m_servedUntil.value_or(at), at);
        m_heardUntil = std::max(m_heardUntil.value_or(at), at);
    }
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
    m_isOverdue = false;
    out.push_back(basis_confirmed { oldest });
}

void row_relay::learnEra(time_point now, const vm_id& source, store_era era, relay_actions& out)
{
    if (era <= m_era)
        return;
    m_era = era;
    const auto isWhole = [](const table_state& each) { return each.replica.isWhole(); };
    if (std::none_of(m_tables.begin(), m_tables.end(), isWhole))
        return;
    for (table_state& each : m_tables) {
        each.needsWhole = true;
        each.nextReadAt = std::min(each.nextReadAt, now);
    }
    // Servers whose registrations the copy lacks need time to register again.
    m_returnedAt = now;
    m_recoveredAt = now;
    m_outageEnd = now;
    m_outageSince.reset();
    out.push_back(store_recovered { source, now, {} });
}

store_era row_relay::basisEra() const
{
    store_era earliest = m_era;
    for (std::size_t table = 0; table < static_cast<std::size_t>(basisTables); ++table)
        earliest = std::min(earliest, m_tables[table].replica.position().era);
    return earliest;
}

/// Records the end of an outage at \p end if nobody has confirmed the servers for too long
/// before \p current.
void row_relay::noticeOutageEnd(time_point current, time_point end, const vm_id& source, relay_actions& out)
{
    const table_state& servers = state(followed_table::servers);
    const time_point servedUntil = m_servedUntil.value_or(time_point());
    m_heardUntil = std::max(m_heardUntil.value_or(current), current);
    if (source.isEmpty())
        m_servedUntil = std::max(servedUntil, current);
    if (current - servedUntil <= m_limits.outageAge)
        return;
    m_servedSince = current;
    // A process that has just started had no rows to lose before.
    const time_point since = std::max(servedUntil, m_startedAt.value_or(current));
    if (!servers.replica.isWhole() || current - since <= m_limits.outageAge)
        return;
    m_outageSince = since;
    m_recoveredAt = current;
    m_outageEnd = end;
    out.push_back(store_recovered { source, end, current - since });
}

/// Another router has been served since \p servedSince. If that was so before the last outage
/// could have made registrations expire, only this router did not hear of it.
void row_relay::learnServedSince(time_point servedSince, const vm_id& source, relay_actions& out)
{
    const bool isRefuted = m_outageSince && servedSince - *m_outageSince <= m_limits.outageAge;
    if (!isRefuted) {
        learnReturn(servedSince, source, out);
        return;
    }
    m_outageSince.reset();
    m_recoveredAt.reset();
    m_servedSince = servedSince;
    out.push_back(outage_refuted { source });
}

/// Another router reached the store again at \p returnedAt. If an outage of this one ended at
/// about the same time, that tells its end more exactly than the rare reads of a follower.
void row_relay::learnReturn(time_point returnedAt, const vm_id& source, relay_actions& out)
{
    const bool isCommon = m_recoveredAt && returnedAt - *m_recoveredAt <= m_limits.readerRetry.longestWithJitter();
    if (!isCommon || returnedAt <= *m_outageEnd)
        return;
    m_outageEnd = returnedAt;
    out.push_back(store_recovered { source, returnedAt, {} });
}

/// Failures say nothing about the store once a source has confirmed the rows. A router that
/// must read the store goes on to try it.
void row_relay::forgetFailures(time_point now, const vm_id& source, relay_actions& out)
{
    if (readsStore(now))
        return;
    for (const followed_table table : allTables) {
        table_state& each = state(table);
        if (each.failures == 0 || each.needsOwnRead || each.isReading)
            continue;
        if (std::exchange(each.isFailing, false))
            out.push_back(table_reads_recovered { table, source, each.failures, now - m_failedAt.value_or(now) });
        each.failures = 0;
        each.nextReadAt = std::min(each.nextReadAt, now);
    }
}

void row_relay::onReadFailed(time_point now, followed_table table, error reason, relay_actions& out)
{
    table_state& read = state(table);
    ++read.failures;
    read.needsOwnRead |= read.isReadingOwn;
    read.nextReadAt = std::max(now, read.sentAt + retryPause(table, now));
    // A gap in the history is not an outage: the complete table is read at once.
    if (reason.kind == error_kind::notFound) {
        read.needsWhole = true;
        read.nextReadAt = now;
        return;
    }
    m_failedAt = read.sentAt;
    if (!std::exchange(read.isFailing, true))
        out.push_back(store_lost { table, std::move(reason) });
}

row_changes row_relay::applyRows(time_point now, followed_table table, const rows_page& page, bool isWhole, const vm_id& source, relay_actions& out)
{
    table_state& held = state(table);
    const store_position before = held.replica.position();
    const bool isNewEra = held.replica.isWhole() && before.era < page.era;
    row_changes changes = isWhole ? held.replica.applyWhole(page.rows, page.position()) : held.replica.apply(page.rows, page.position());
    report(table, changes.inForce, false, out);
    if (isNewEra) {
        held.enteredAt = now;
        held.holdsAbsent = table == followed_table::servers;
        out.push_back(store_era_changed { table, source, before, held.replica.position(), changes.inForce.size(), held.replica.retained().size(), changes.dropped });
    }
    if (!isWhole)
        return changes;
    held.needsWhole = false;
    if (isNewEra && !source.isEmpty())
        sendUnknown(now, table, out);
    for (const retained_rows& each : std::exchange(held.pending, {}))
        adopt(now, table, each, out);
    out.push_back(table_listed { table, source, before, held.replica.position() });
    return changes;
}

relay_actions row_relay::onRead(time_point now, followed_table table, const result<rows_page>& answer)
{
    relay_actions out;
    table_state& read = state(table);
    read.isReading = false;
    if (!answer) {
        onReadFailed(now, table, answer.error(), out);
        return out;
    }
    if (answer->era < m_era && read.sentInEra < m_era) {
        // The read was sent before this router knew of the later era.
        read.needsOwnRead |= read.isReadingOwn;
        read.nextReadAt = now;
        return out;
    }
    if (answer->era < m_era) {
        onReadFailed(now, table, { error_kind::corruptData, "the store is in era " + std::to_string(answer->era.value()) + " after era " + std::to_string(m_era.value()) + "; restart the routers if its eras were reset" }, out);
        return out;
    }
    if (std::exchange(read.isFailing, false)) {
        m_returnedAt = now;
        out.push_back(table_reads_recovered { table, {}, read.failures, read.sentAt - m_failedAt.value_or(read.sentAt) });
        for (table_state& each : m_tables)
            each.nextReadAt = std::min(each.nextReadAt, now);
    }
    if (table == followed_table::servers) {
        const bool hasFailed = m_failedAt > read.confirmedAt;
        noticeOutageEnd(now, hasFailed ? std::min(now, *m_failedAt + m_limits.latestEnd) : now, {}, out);
    }
    learnEra(now, {}, answer->era, out);
    read.failures = 0;
    read.readAt = read.sentAt;
    const store_position before = read.replica.position();
    const bool wasWhole = read.replica.isWhole();
    const bool isNewEra = wasWhole && before.era < answer->era;
    if (isNewEra && !read.isReadingWhole) {
        // The changes may continue another history than the one that this replica holds.
        read.needsOwnRead |= read.isReadingOwn;
        read.nextReadAt = now;
        return out;
    }
    read.nextReadAt = read.sentAt + m_limits.pause[static_cast<std::size_t>(table)];
    const row_changes changes = applyRows(now, table, *answer, read.isReadingWhole, {}, out);
    confirmTable(table, read.sentAt);
    confirm(out);
    if (isNewEra)
        publishEra(now, table, before, out);
    else if (!wasWhole) // Rows that followers hold may have been deleted before this read.
        publish(now, read.replica.updateSince(before), out);
    else if (!changes.stored.empty() && !read.isReadingWhole) // After a gap, what a follower needs depends on its position.
        publish(now, { static_cast<std::uint32_t>(table), before, read.replica.position(), false, changes.stored }, out);
    return out;
}

std::optional<duration> row_relay::servedAge(time_point now) const
{
    const bool isServed = m_servedSince && now - *m_heardUntil <= m_limits.outageAge;
    return isServed ? std::optional(now - *m_servedSince) : std::nullopt;
}

std::optional<duration> row_relay::returnedAge(time_point now) const
{
    if (!m_returnedAt || now - *m_returnedAt > m_limits.recoveryNoticePeriod)
        return std::nullopt;
    return now - *m_returnedAt;
}

/// Sends the readers the rows retained here that none of them has sent. All readers may have
/// been restarted since they were changed.
void row_relay::sendUnknown(time_point now, followed_table table, relay_actions& out) const
{
    const table_state& held = m_tables[static_cast<std::size_t>(table)];
    std::set<std::string> known;
    for (const retained_rows& each : held.pending) {
        for (const published_row& row : each.rows)
            known.insert(row.key);
    }
    const auto isUnknown = [&](const auto& each) {
        const bool isNeeded = !each.second.isDeleted || held.replica.findStored(each.first);
        return isNeeded && !known.contains(each.first);
    };
    const auto& retained = held.replica.retained();
    if (std::none_of(retained.begin(), retained.end(), isUnknown))
        return;
    for (const fleet_router& each : m_sources.readers()) {
        if (m_sources.isLinked(each.vm))
            sendRetained(now, each.vm, std::span(&table, 1), out);
    }
}

/// Retained rows are sent first, so that a router that did not see a deletion does not put
/// the older rows in force.
void row_relay::publishEra(time_point now, followed_table table, store_position before, relay_actions& out)
{
    std::set<vm_id> peers;
    for (const fleet_router& each : m_sources.readers()) {
        if (m_sources.isLinked(each.vm))
            peers.insert(each.vm);
    }
    for (const auto& [vm, askedAt] : m_followers)
        peers.insert(vm);
    for (const vm_id& each : peers)
        sendRetained(now, each, std::span(&table, 1), out);
    publish(now, state(table).replica.updateSince(before), out);
}

void row_relay::publish(time_point now, table_update update, relay_actions& out)
{
    rows_update published;
    published.returnedAge = returnedAge(now);
    published.servedAge = servedAge(now);
    published.era = basisEra();
    published.tables.push_back(std::move(update));
    for (const auto& [vm, askedAt] : m_followers)
        out.push_back(send_to_router { vm, published });
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
    for (const table_position& have : asked.have)
        learnEra(now, from.vm, have.position.era, out);
    rows_update answer;
    answer.echoSequence = asked.sequence;
    // Without `basisAge`, the follower switches to another reader at once.
    if (m_basis && !isStoreFailing())
        answer.basisAge = now - *m_basis;
    answer.era = basisEra();
    answer.returnedAge = returnedAge(now);
    answer.servedAge = servedAge(now);
    for (const table_position& have : asked.have) {
        if (have.table >= m_tables.size() || !m_tables[have.table].replica.isWhole())
            continue;
        const row_replica& replica = m_tables[have.table].replica;
        // A version without eras would take each complete table for an older one.
        const store_position position = have.hasEra ? have.position : store_position { replica.position().era, have.position.at };
        if (position.era > replica.position().era)
            continue;
        table_update update = replica.updateSince(position);
        if (update.isWhole || !update.rows.empty() || update.to > position)
            answer.tables.push_back(std::move(update));
    }
    // Sent first, so that a router that has been restarted never has the older rows in force.
    const auto isWhole = [](const table_update& each) { return each.isWhole; };
    if (std::any_of(answer.tables.begin(), answer.tables.end(), isWhole))
        sendRetained(now, from.vm, allTables, out);
    out.push_back(send_to_router { from.vm, std::move(answer) });
}

/// Returns false if rows between the table's position and the update's are missing.
bool row_relay::applyTable(time_point now, const vm_id& source, const table_update& update, relay_actions& out)
{
    learnEra(now, source, update.to.era, out);
    if (update.to.era < m_era)
        return false;
    const auto table = static_cast<followed_table>(update.table);
    const row_replica& held = state(table).replica;
    const rows_page page { update.rows, update.to.at, update.to.era };
    const bool isLate = held.isWhole() && update.to < held.position();
    if (update.isWhole && !isLate) {
        applyRows(now, table, page, true, source, out);
        return true;
    }
    const bool isContiguous = held.isWhole() && update.from <= held.position();
    if (isContiguous)
        applyRows(now, table, page, false, source, out);
    return isContiguous;
}

void row_relay::sendRetained(time_point now, const vm_id& to, std::span<const followed_table> tables, relay_actions& out) const
{
    rows_update sent;
    sent.era = basisEra();
    std::size_t size = 0;
    for (const followed_table table : tables) {
        const table_state& each = m_tables[static_cast<std::size_t>(table)];
        if (!each.enteredAt)
            continue;
        retained_rows part { static_cast<std::uint32_t>(table), each.replica.position(), *each.enteredAt + m_limits.restoredHold - now, {} };
        for (const auto& [key, row] : each.replica.retained()) {
            const bool isNeeded = !row.isDeleted || each.replica.findStored(key);
            const std::size_t added = key.size() + row.value.size();
            if (!isNeeded || size + added > maxRetainedSize)
                continue;
            size += added;
            part.rows.push_back(row);
        }
        if (!part.rows.empty())
            sent.retained.push_back(std::move(part));
    }
    if (!sent.retained.empty())
        out.push_back(send_to_router { to, std::move(sent) });
}

relay_actions row_relay::onLinkOpened(time_point now, const vm_id& peer)
{
    m_sources.onLinkOpened(peer);
    relay_actions out;
    sendRetained(now, peer, allTables, out);
    return out;
}

void row_relay::receiveRetained(time_point now, const vm_id& from, const retained_rows& received, relay_actions& out)
{
    if (received.table >= m_tables.size())
        return;
    learnEra(now, from, received.position.era, out);
    const auto table = static_cast<followed_table>(received.table);
    table_state& held = state(table);
    const bool isInEra = held.replica.isWhole() && held.replica.position().era == received.position.era;
    if (isInEra)
        adopt(now, table, received, out);
    else if (received.position.era >= m_era && held.pending.size() < maxPendingRetained)
        held.pending.push_back(received);
}

void row_relay::adopt(time_point now, followed_table table, const retained_rows& received, relay_actions& out)
{
    table_state& held = state(table);
    const std::vector<published_row> changed = held.replica.adoptRetained(received.rows, received.position);
    if (!held.enteredAt)
        held.enteredAt = now - m_limits.restoredHold + std::min(received.remaining, m_limits.restoredHold);
    held.holdsAbsent |= table == followed_table::servers && !changed.empty();
    report(table, changed, true, out);
    if (changed.empty())
        return;
    for (const auto& [vm, askedAt] : m_followers)
        sendRetained(now, vm, std::span(&table, 1), out);
}

time_point row_relay::nextRetentionEnd() const
{
    time_point next = time_point::max();
    for (const table_state& each : m_tables) {
        if (!each.enteredAt)
            continue;
        next = std::min(next, *each.enteredAt + m_limits.restoredHold);
        if (each.holdsAbsent)
            next = std::min(next, *each.enteredAt + m_limits.absentServerHold);
    }
    return next;
}

void row_relay::endRetention(time_point now, relay_actions& out)
{
    for (const followed_table table : allTables) {
        table_state& each = state(table);
        if (!each.enteredAt)
            continue;
        const bool isOver = now >= *each.enteredAt + m_limits.restoredHold;
        const bool isAbsentOver = each.holdsAbsent && now >= *each.enteredAt + m_limits.absentServerHold;
        if (!isOver && !isAbsentOver)
            continue;
        const std::vector<published_row> changed = isOver ? each.replica.acceptStored() : each.replica.acceptAbsent();
        each.holdsAbsent = false;
        if (isOver)
            each.enteredAt.reset();
        report(table, changed, true, out);
        if (!changed.empty())
            out.push_back(restored_rows_accepted { table, changed.size() });
    }
}

/// Returns a time at which the store served the sender of an update, or nothing if the update
/// does not tell. It may have been on its way for long, so that its arrival tells nothing.
std::optional<time_point> row_relay::servedAt(time_point now, std::optional<time_point> askedAt, const rows_update& received) const
{
    if (received.servedAge)
        return now - *received.servedAge;
    if (askedAt && received.basisAge && *received.basisAge <= m_limits.outageAge)
        return *askedAt - *received.basisAge;
    // After an outage the sender may have read the servers, but not yet the other table that its
    // confirmation needs.
    if (received.returnedAge)
        return now - *received.returnedAge;
    return std::nullopt;
}

void row_relay::applyUpdate(time_point now, const member_ref& from, const rows_update& received, relay_actions& out)
{
    const auto askedAt = m_sources.onAnswer(now, from.vm, received.echoSequence);
    if (askedAt)
        out.push_back(reader_answered { from.vm, now - *askedAt });
    for (const retained_rows& each : received.retained)
        receiveRetained(now, from.vm, each, out);
    if (received.servedAge)
        learnServedSince(now - *received.servedAge, from.vm, out);
    const auto isOfServers = [](const table_update& each) { return each.table == static_cast<std::uint32_t>(followed_table::servers); };
    const bool isConfirmed = askedAt && received.basisAge && *received.basisAge <= m_limits.outageAge;
    const auto served = servedAt(now, askedAt, received);
    if (served && (isConfirmed || std::any_of(received.tables.begin(), received.tables.end(), isOfServers)))
        noticeOutageEnd(*served, *served, from.vm, out);
    bool hasGap = false;
    for (const table_update& update : received.tables) {
        if (update.table < m_tables.size())
            hasGap |= !applyTable(now, from.vm, update, out);
    }
    if (received.returnedAge && !received.servedAge)
        learnReturn(now - *received.returnedAge, from.vm, out);
    hasGap |= received.era < m_era || basisEra() < m_era;
    if (askedAt)
        onAnswer(now, from.vm, received, *askedAt, hasGap, out);
}

void row_relay::onAnswer(time_point now, const vm_id& from, const rows_update& received, time_point askedAt, bool hasGap, relay_actions& out)
{
    // The response was made after the request was sent, so the time of the request minus
    // `basisAge` is a lower bound for the time of the confirmation. After a gap it does not
    // cover the missing rows.
    const auto isWhole = [](const table_state& each) { return each.replica.isWhole(); };
    const bool isComplete = !hasGap && std::all_of(m_tables.begin(), m_tables.begin() + basisTables, isWhole);
    if (received.basisAge && isComplete) {
        const time_point basis = askedAt - *received.basisAge;
        for (const followed_table table : { followed_table::operators, followed_table::servers })
            confirmTable(table, basis);
        confirm(out);
    }
    // If several readers have lost the store, waiting until this router is stale itself
    // would take too long.
    const bool isFresh = received.basisAge && *received.basisAge <= m_limits.maxBasisAge;
    if (!isFresh) {
        reportSource(m_sources.onWithoutStore(now, from), out);
        return;
    }
    if (!isComplete)
        return;
    if (m_sources.onConfirmed(from))
        out.push_back(source_changed { from, "found" });
    forgetFailures(now, from, out);
}

}
