#include "pimentoladder/Admission/GrantHolder.h"

#include <algorithm>
#include <utility>

namespace pimentoladder {

namespace {

    constexpr double progressStep = 1.25;
    // A repeated message that is older than this many grants of the shard has
    // expired grants only.
    constexpr std::size_t grantsRemembered = 4096;

}

grant_holder::grant_holder(shard_id shard, const shard_view& view, grant_holder_settings settings)
    : m_shard(std::move(shard))
    , m_view(view)
    , m_settings(settings)
{
}

void grant_holder::onOwner(fencing_token token, time_point now)
{
    if (token <= m_token)
        return;
    m_token = token;
    // The earlier owner's grants expire by themselves; the new one must not
    // count on reports about them.
    m_arrived.clear();
    m_advance.clear();
    m_seen.clear();
    std::erase_if(m_reports, [](const grant_report_entry& entry) { return entry.event == grant_event::returned; });
    onLinkReplaced(now);
}

void grant_holder::onLinkReplaced(time_point now)
{
    m_isInFlightDue = true;
    m_restatedAt = now;
    m_advanceStated = 0;
    m_unstated.clear();
    for (const auto& [request, waiting] : m_waiting)
        m_unstated.push_back(request);
}

void grant_holder::onRequest(const demand_entry& request, time_point now)
{
    m_waiting.emplace(request.request, waiting_request { request, now });
    m_unstated.push_back(request.request);
    m_lastRequestAt = now;
}

void grant_holder::onWithdrawn(request_number request)
{
    if (m_waiting.erase(request) == 0)
        return;
    if (std::erase(m_unstated, request) == 0)
        m_withdrawn.push_back(request);
}

void grant_holder::onGrant(const grant& received)
{
    if (received.token != m_token)
        return;
    for (const grant_entry& entry : received.entries) {
        if (isRepeated(entry.number))
            continue;
        const bool isAdvance = entry.request == request_number();
        // The owner acts on an earlier statement that was overtaken by the
        // replacement of the link, and would go on until it is told otherwise.
        if (isAdvance && m_advanceStated == 0)
            m_isAdvanceDue = true;
        auto& kind = isAdvance ? m_advance : m_arrived;
        kind.push_back({ entry, received.token });
    }
}

bool grant_holder::isRepeated(grant_number number)
{
    if (!m_seen.insert(number).second)
        return true;
    if (m_seen.size() > grantsRemembered)
        m_seen.erase(m_seen.begin());
    // Returning a grant that is in use would give its slot away.
    return std::ranges::any_of(m_running, [&](const auto& entry) {
        const held_grant& held = entry.second.grant;
        return held.entry.number == number && held.token == m_token;
    });
}

void grant_holder::onRecall(const recall& received)
{
    if (received.token != m_token)
        return;
    for (const held_grant& held : std::exchange(m_advance, {}))
        returnGrant(held);
}

void grant_holder::onProgress(request_number request, cost_units cost)
{
    const auto found = m_running.find(request);
    if (found != m_running.end())
        found->second.cost = std::max(found->second.cost, cost);
}

void grant_holder::onEnded(request_number request, grant_event event, cost_units cost, duration firstByteLatency)
{
    const auto found = m_running.find(request);
    if (found == m_running.end())
        return;
    addReport(found->second.grant, event, found->second.workspace, cost, firstByteLatency);
    m_running.erase(found);
}

void grant_holder::addReport(const held_grant& held, grant_event event, const workspace_id& workspace,
    cost_units cost, duration firstByteLatency)
{
    m_reports.push_back({ held.entry.number, held.token, event, workspace, cost, firstByteLatency });
}

void grant_holder::returnGrant(const held_grant& held)
{
    addReport(held, grant_event::returned, workspace_id(), 0, duration::zero());
}

void grant_holder::startUnder(const held_grant& held, waiting_map::iterator waiting, holder_actions& actions)
{
    const demand_entry& demand = waiting->second.demand;
    addReport(held, grant_event::started, demand.workspace, demand.costHint, duration::zero());
    actions.starts.push_back({ demand.request, held.entry.server, held.entry.number, held.token, held.entry.expiresAt });
    m_running[demand.request] = { held, demand.workspace, demand.costHint };
    m_waiting.erase(waiting);
}

void grant_holder::useGrants(time_point ownerClock, holder_actions& actions)
{
    for (const held_grant& held : std::exchange(m_arrived, {})) {
        const auto waiting = m_waiting.find(held.entry.request);
        if (waiting != m_waiting.end() && ownerClock < held.entry.expiresAt) {
            startUnder(held, waiting, actions);
            continue;
        }
        returnGrant(held);
        // The grant came too late; the owner no longer knows the demand.
        if (waiting != m_waiting.end())
            m_unstated.push_back(held.entry.request);
    }
}

void grant_holder::useAdvanceGrants(time_point ownerClock, holder_actions& actions)
{
    std::vector<held_grant> kept;
    for (const held_grant& held : std::exchange(m_advance, {})) {
        if (ownerClock >= held.entry.expiresAt) {
            returnGrant(held);
            continue;
        }
        const auto isEligible = [&](const auto& entry) {
            const demand_entry& demand = entry.second.demand;
            // Only the owner knows which servers have a model loaded.
            return demand.print == fingerprint() && demand.model.isEmpty() && m_view.mayUse(demand.workspace, held.entry.server);
        };
        const auto waiting = std::ranges::find_if(m_waiting, isEligible);
        if (waiting == m_waiting.end()) {
            kept.push_back(held);
            continue;
        }
        if (std::erase(m_unstated, waiting->first) == 0)
            m_withdrawn.push_back(waiting->first);
        startUnder(held, waiting, actions);
    }
    m_advance = std::move(kept);
}

void grant_holder::reportProgress(time_point now)
{
    if (now < m_progressAt + m_settings.progressInterval)
        return;
    m_progressAt = now;
    for (auto& [request, running] : m_running) {
        // Each report states a quarter more than the last, or than the hint, so
        // that a long stream costs a few reports and not four each second.
        if (running.cost <= progressStep * std::max(running.reportedCost, running.costHint))
            continue;
        running.reportedCost = running.cost;
        addReport(running.grant, grant_event::progress, running.workspace, running.cost, duration::zero());
    }
}

void grant_holder::restateOldDemands(time_point now)
{
    if (now < m_restatedAt + m_settings.restateAfter)
        return;
    m_restatedAt = now;
    std::uint32_t restated = 0;
    for (const auto& [request, waiting] : m_waiting) {
        if (restated == m_settings.restatedAtOnce)
            return;
        if (now < waiting.statedAt + m_settings.restateAfter || std::ranges::count(m_unstated, request) > 0)
            continue;
        m_unstated.push_back(request);
        ++restated;
    }
}

std::uint32_t grant_holder::advanceWanted(time_point now) const
{
    if (!m_lastRequestAt || now >= *m_lastRequestAt + m_settings.activityWindow)
        return 0;
    return m_settings.advanceGrants;
}

acquire grant_holder::buildAcquire(time_point now)
{
    acquire built { m_shard, m_token, {}, std::exchange(m_withdrawn, {}), advanceWanted(now) };
    for (const request_number request : std::exchange(m_unstated, {})) {
        const auto found = m_waiting.find(request);
        if (found == m_waiting.end())
            continue;
        found->second.statedAt = now;
        built.waiting.push_back(found->second.demand);
    }
    m_advanceStated = built.advanceWanted;
    m_isAdvanceDue = false;
    return built;
}

in_flight_report grant_holder::buildInFlight(time_point now)
{
    m_isInFlightDue = false;
    m_hasReported = false;
    m_inFlightAt = now;
    in_flight_report built { m_shard, m_token, ++m_reportSequence, {} };
    for (const auto& [request, running] : m_running) {
        const held_grant& held = running.grant;
        built.entries.push_back({ held.entry.number, held.token, held.entry.server, running.workspace,
            running.costHint, running.cost });
    }
    return built;
}

holder_actions grant_holder::onTick(time_point now, std::optional<time_point> ownerClockUpperBound)
{
    holder_actions actions;
    if (m_token == fencing_token())
        return actions;
    if (ownerClockUpperBound) {
        useGrants(*ownerClockUpperBound, actions);
        useAdvanceGrants(*ownerClockUpperBound, actions);
    }
    if (mayHoldBack() && m_sentAt && now < *m_sentAt + m_settings.coalescing)
        return actions;
    reportProgress(now);
    restateOldDemands(now);
    if (isStatementWanted() && now >= m_inFlightAt + m_settings.inFlightInterval)
        m_isInFlightDue = true;
    // Reports go first, so that the statement of what is in flight is the
    // newest of all and the owner knows every end before it compares.
    if (!m_reports.empty()) {
        actions.report = grant_report { m_shard, m_token, ++m_reportSequence, std::exchange(m_reports, {}) };
        m_hasReported = true;
    }
    if (m_isInFlightDue)
        actions.inFlight = buildInFlight(now);
    if (!m_unstated.empty() || !m_withdrawn.empty() || m_isAdvanceDue || m_advanceStated != advanceWanted(now))
        actions.demand = buildAcquire(now);
    if (actions.report || actions.inFlight || actions.demand)
        m_sentAt = now;
    return actions;
}

bool grant_holder::isDue(time_point now) const
{
    if (!m_arrived.empty() || !m_advance.empty())
        return true;
    const auto next = nextDeadline();
    return next && *next <= now;
}

std::optional<time_point> grant_holder::nextDeadline() const
{
    if (m_token == fencing_token())
        return std::nullopt;
    std::optional<time_point> next;
    const auto consider = [&](time_point at) { next = next ? std::min(*next, at) : at; };
    const bool isFrameDue = !m_reports.empty() || !m_unstated.empty() || !m_withdrawn.empty() || m_isAdvanceDue || m_isInFlightDue;
    if (isFrameDue)
        consider(m_sentAt && mayHoldBack() ? *m_sentAt + m_settings.coalescing : m_restatedAt);
    if (!m_waiting.empty())
        consider(m_restatedAt + m_settings.restateAfter);
    if (!m_running.empty())
        consider(m_progressAt + m_settings.progressInterval);
    if (isStatementWanted())
        consider(m_inFlightAt + m_settings.inFlightInterval);
    if (m_advanceStated != 0 && m_lastRequestAt)
        consider(*m_lastRequestAt + m_settings.activityWindow);
    if (next && m_sentAt && mayHoldBack())
        next = std::max(*next, *m_sentAt + m_settings.coalescing);
    return next;
}

}
