#include "pimentoladder/Admission/GrantBook.h"

#include <algorithm>
#include <utility>

namespace pimentoladder {

namespace {

    bool isInUse(grant_state state)
    {
        return state != grant_state::expired;
    }

    bool isRunning(grant_state state)
    {
        return state == grant_state::started || state == grant_state::orphaned;
    }

}

grant_book::grant_book(grant_book_settings settings)
    : m_settings(settings)
{
}

void grant_book::updateUse(const grant_record& record, int sign)
{
    if (!isInUse(record.state))
        return;
    server_use& use = m_use[record.server];
    use.total += sign;
    if (isRunning(record.state))
        use.started += sign;
    if (record.isSuspect)
        use.suspects += sign;
    if (use.total == 0)
        m_use.erase(record.server);
}

void grant_book::add(const grant_key& key, const grant_record& record)
{
    if (!m_records.emplace(key, record).second)
        return;
    updateUse(record, 1);
    if (record.state == grant_state::issued)
        m_unreported.push_back({ record.issuedAt + m_settings.unreportedTime, key });
    if (record.state == grant_state::started)
        m_runningByRouter[record.router].insert(key);
}

void grant_book::markRunning(const grant_key& key, grant_record& record, grant_state state)
{
    updateUse(record, -1);
    record.state = state;
    updateUse(record, 1);
    m_runningByRouter[record.router].insert(key);
}

grant_record* grant_book::find(const grant_key& key)
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

const grant_record* grant_book::find(const grant_key& key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

void grant_book::start(const grant_key& key)
{
    grant_record* record = find(key);
    if (!record || record->state == grant_state::started)
        return;
    markRunning(key, *record, grant_state::started);
}

std::optional<grant_record> grant_book::close(const grant_key& key)
{
    const auto found = m_records.find(key);
    if (found == m_records.end())
        return std::nullopt;
    grant_record closed = std::move(found->second);
    m_records.erase(found);
    updateUse(closed, -1);
    const auto running = m_runningByRouter.find(closed.router);
    if (running != m_runningByRouter.end())
        running->second.erase(key);
    return closed;
}

void grant_book::orphanGrantsOf(const vm_id& router, time_point now)
{
    for (auto& [key, record] : m_records) {
        const bool isOpen = record.state == grant_state::issued || record.state == grant_state::started;
        if (record.router != router || !isOpen)
            continue;
        markRunning(key, record, grant_state::orphaned);
        m_orphans.push_back({ now, key });
    }
}

void grant_book::eraseRouter(const vm_id& router)
{
    m_runningByRouter.erase(router);
}

std::vector<grant_key> grant_book::runningBy(const vm_id& router) const
{
    const auto found = m_runningByRouter.find(router);
    if (found == m_runningByRouter.end())
        return {};
    return { found->second.begin(), found->second.end() };
}

void grant_book::closeOrphans(const server_id& server, std::uint32_t count, time_point takenAt)
{
    for (const timed_grant& orphan : m_orphans) {
        if (count == 0 || orphan.at >= takenAt)
            return;
        const grant_record* record = find(orphan.key);
        if (!record || record->state != grant_state::orphaned || record->server != server)
            continue;
        close(orphan.key);
        --count;
    }
}

std::vector<grant_record> grant_book::expire(time_point now)
{
    std::vector<grant_record> expired;
    for (; !m_unreported.empty() && m_unreported.front().at <= now; m_unreported.pop_front()) {
        grant_record* record = find(m_unreported.front().key);
        if (!record || record->state != grant_state::issued)
            continue;
        updateUse(*record, -1);
        expired.push_back(*record);
        record->state = grant_state::expired;
        record->charged = 0;
        m_expired.push_back({ now + m_settings.lateReportWindow, m_unreported.front().key });
    }
    for (; !m_expired.empty() && m_expired.front().at <= now; m_expired.pop_front()) {
        const grant_record* record = find(m_expired.front().key);
        if (record && record->state == grant_state::expired)
            close(m_expired.front().key);
    }
    for (; !m_orphans.empty() && m_orphans.front().at + m_settings.maxOrphanTime <= now; m_orphans.pop_front()) {
        const grant_record* record = find(m_orphans.front().key);
        if (record && record->state == grant_state::orphaned)
            close(m_orphans.front().key);
    }
    return expired;
}

std::optional<time_point> grant_book::nextDeadline() const
{
    std::optional<time_point> next;
    if (!m_unreported.empty())
        next = m_unreported.front().at;
    if (!m_orphans.empty()) {
        const time_point orphanEnd = m_orphans.front().at + m_settings.maxOrphanTime;
        next = next ? std::min(*next, orphanEnd) : orphanEnd;
    }
    return next;
}

server_use grant_book::use(const server_id& server) const
{
    const auto found = m_use.find(server);
    return found == m_use.end() ? server_use {} : found->second;
}

}
