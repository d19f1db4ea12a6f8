#include "pimentoladder/Replica/RowSources.h"

#include <algorithm>
#include <utility>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    // Maximum number of unanswered questions to one reader that are remembered.
    constexpr std::size_t maxUnanswered = 16;
    // Interval between two checks for a source while there is none.
    constexpr duration sourceCheckInterval = 100ms;

}

row_sources::row_sources(vm_id self, data_centre_id ownDataCentre, const relay_limits& limits)
    : m_self(std::move(self))
    , m_ownDataCentre(std::move(ownDataCentre))
    , m_limits(limits)
{
}

bool row_sources::isReader(const vm_id& router) const
{
    return std::any_of(m_readers.begin(), m_readers.end(), [&](const fleet_router& each) { return each.vm == router; });
}

void row_sources::onLinkClosed(const vm_id& peer)
{
    m_linked.erase(peer);
    m_unanswered.erase(peer);
}

bool row_sources::isLate(const vm_id& reader, time_point now) const
{
    const auto asked = m_unanswered.find(reader);
    if (asked == m_unanswered.end())
        return false;
    return std::any_of(asked->second.begin(), asked->second.end(), [&](const auto& each) {
        const duration age = now - each.second;
        return age >= m_limits.hedgeDelay && age <= m_limits.sourceCooldown;
    });
}

bool row_sources::isUsable(const fleet_router& reader, time_point now) const
{
    const auto avoided = m_cooldownUntil.find(reader.vm);
    const bool isAvoided = avoided != m_cooldownUntil.end() && now < avoided->second;
    return reader.vm != m_self && isLinked(reader.vm) && !isAvoided && !isLate(reader.vm, now);
}

std::optional<vm_id> row_sources::best(time_point now) const
{
    std::optional<vm_id> found;
    for (const fleet_router& each : m_readers) {
        if (!isUsable(each, now))
            continue;
        if (each.dataCentre == m_ownDataCentre)
            return each.vm;
        if (!found)
            found = each.vm;
    }
    return found;
}

std::optional<vm_id> row_sources::nextHedge(time_point now) const
{
    for (const fleet_router& each : m_readers) {
        if (isUsable(each, now) && !m_asked.contains(each.vm))
            return each.vm;
    }
    return std::nullopt;
}

std::optional<std::string_view> row_sources::choose(time_point now, own_rows_state own)
{
    const bool isFollowing = !m_source.isEmpty();
    const bool isSilent = now - m_heardAt > m_limits.sourceTimeout;
    const bool isDisconnected = !isLinked(m_source);
    // The source's data cannot be newer than its own reads, so if this router is stale
    // although it follows the source, the source is stale too.
    const bool isSourceStale = own.isStale && now - m_chosenAt > m_limits.sourceTimeout;
    const bool needsSource = !isReader(m_self) || (!own.isStoreReachable && (own.isStale || isFollowing));
    const bool isLost = isFollowing && (isSilent || isDisconnected || isSourceStale);
    // A source that is no reader relays rows, but receives no reports of usage from the others.
    const bool isDemoted = isFollowing && !isReader(m_source) && best(now);
    if (isFollowing && needsSource && !isLost && !isDemoted)
        return std::nullopt;
    if (isLost)
        m_cooldownUntil[m_source] = now + m_limits.sourceCooldown;
    const vm_id next = needsSource ? best(now).value_or(vm_id()) : vm_id();
    if (next == m_source)
        return std::nullopt;
    const std::string_view lost = isDisconnected ? "link_closed" : (isSilent ? "silent" : "stale");
    const std::string_view left = needsSource ? "not_reader" : "store_in_reach";
    return follow(now, next, isLost ? lost : left);
}

std::optional<std::string_view> row_sources::follow(time_point now, vm_id next, std::string_view reason)
{
    m_source = std::move(next);
    m_chosenAt = now;
    m_heardAt = now;
    m_nextRoundAt = now;
    if (std::exchange(m_hasConfirmed, false))
        return reason;
    return std::nullopt;
}

source_question row_sources::ask(time_point now, const vm_id& reader)
{
    auto& unanswered = m_unanswered[reader];
    unanswered[++m_sequence] = now;
    if (unanswered.size() > maxUnanswered)
        unanswered.erase(unanswered.begin());
    m_asked.insert(reader);
    return { reader, m_sequence };
}

std::vector<source_question> row_sources::takeQuestions(time_point now)
{
    std::vector<source_question> due;
    if (m_source.isEmpty())
        return due;
    if (now >= m_nextRoundAt) {
        m_nextRoundAt = now + m_limits.followInterval;
        m_nextHedgeAt = now + (isLate(m_source, now) ? duration::zero() : m_limits.hedgeDelay);
        m_isRoundOver = false;
        m_asked.clear();
        due.push_back(ask(now, m_source));
    }
    if (m_isRoundOver || now < m_nextHedgeAt)
        return due;
    m_nextHedgeAt = now + m_limits.hedgeDelay;
    if (const auto next = nextHedge(now))
        due.push_back(ask(now, *next));
    return due;
}

std::optional<time_point> row_sources::onAnswer(time_point now, const vm_id& from, std::uint64_t sequence)
{
    const auto asked = m_unanswered.find(from);
    if (asked == m_unanswered.end())
        return std::nullopt;
    const auto question = asked->second.find(sequence);
    if (question == asked->second.end())
        return std::nullopt;
    const time_point sentAt = question->second;
    asked->second.erase(asked->second.begin(), std::next(question));
    m_answeredAt = now;
    if (from == m_source)
        m_heardAt = now;
    return sentAt;
}

bool row_sources::onConfirmed(const vm_id& from)
{
    m_isRoundOver = true;
    return from == m_source && !std::exchange(m_hasConfirmed, true);
}

std::optional<std::string_view> row_sources::onWithoutStore(time_point now, const vm_id& from)
{
    m_cooldownUntil[from] = now + m_limits.sourceCooldownWithoutStore;
    m_nextHedgeAt = now;
    if (from != m_source)
        return std::nullopt;
    return follow(now, {}, "without_store");
}

bool row_sources::hasAnswered(time_point now) const
{
    const bool isAnyLinked = std::any_of(m_readers.begin(), m_readers.end(), [&](const fleet_router& each) { return isLinked(each.vm); });
    return isAnyLinked && m_answeredAt && now - *m_answeredAt <= m_limits.sourceTimeout;
}

time_point row_sources::nextDeadline(time_point now) const
{
    if (m_source.isEmpty())
        return isReader(m_self) ? time_point::max() : now + sourceCheckInterval;
    const time_point lostAt = m_heardAt + m_limits.sourceTimeout + 1ms;
    const time_point asksAt = m_isRoundOver ? m_nextRoundAt : std::min(m_nextRoundAt, m_nextHedgeAt);
    return std::max(now, std::min(lostAt, asksAt));
}

}
