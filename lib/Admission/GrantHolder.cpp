#include "pimentoladder/Admission/GrantHolder.h"

#include <algorithm>
#include <utility>

namespace pimentoladder {

namespace {

    constexpr double progressReportFactor = 1.25;
    // Grant numbers kept to detect repeated messages. A repeated message that is
    // older than this many grants of the shard contains only expired grants.
    constexpr std::size_t maxSeenGrants = 4096;

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
    // Unused grants of the previous owner expire without a report, and the new
    // owner must not rely on reports about them.
    m_unusedGrants.clear();
    m_unusedAdvanceGrants.clear();
    m_seenGrants.clear();
    std::erase_if(m_reports, [](const grant_report_entry& entry) { return entry.event == grant_event::returned; });
    onLinkReplaced(now);
}

void grant_holder::onLinkReplaced(time_point now)
{
    m_isInFlightDue = true;
    m_resentAt = now;
    m_lastAdvanceWanted = 0;
    m_unsent.clear();
    for (const auto& [request, waiting] : m_waiting)
        m_unsent.push_back(request);
}

void grant_holder::onRequest(const demand_entry& request, time_point now)
{
    m_waiting.emplace(request.request, waiting_request { request, now });
    m_unsent.push_back(request.request);
    m_lastRequestAt = now;
}

void grant_holder::onWithdrawn(request_number request)
{
    if (m_waiting.erase(request) == 0)
        return;
    if (std::erase(m_unsent, request) == 0)
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
        // The owner acts on an older acquire message that arrived after a newer
        // one when the link was replaced, and would keep issuing advance grants
        // until it receives the current number again.
        if (isAdvance && m_lastAdvanceWanted == 0)
            m_isAdvanceWantedDue = true;
        auto& target = isAdvance ? m_unusedAdvanceGrants : m_unusedGrants;
        target.push_back({ entry, received.token });
    }
}

bool grant_holder::isRepeated(grant_number number)
{
    if (!m_seenGrants.insert(number).second)
        return true;
    if (m_seenGrants.size() > maxSeenGrants)
        m_seenGrants.erase(m_seenGrants.begin());
    // A running grant taken for a new one would be returned, which would release
    // its slot while the request runs.
    return std::ranges::any_of(m_running, [&](const auto& entry) {
        const held_grant& held = entry.second.grant;
        return held.entry.number == number && held.token == m_token;
    });
}

void grant_holder::onRecall(const recall& received)
{
    if (received.token != m_token)
        return;
    for (const held_grant& held : std::exchange(m_unusedAdvanceGrants, {}))
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

void grant_holder::startWithGrant(const held_grant& held, waiting_map::iterator waiting, holder_actions& actions)
{
    const demand_entry& demand = waiting->second.demand;
    addReport(held, grant_event::started, demand.workspace, demand.costHint, duration::zero());
    actions.starts.push_back({ demand.request, held.entry.server, held.entry.number, held.token, held.entry.expiresAt });
    m_running[demand.request] = { held, demand.workspace, demand.costHint };
    m_waiting.erase(waiting);
}

void grant_holder::useGrants(time_point ownerClock, holder_actions& actions)
{
    for (const held_grant& held : std::exchange(m_unusedGrants, {})) {
        const auto waiting = m_waiting.find(held.entry.request);
        if (waiting != m_waiting.end() && ownerClock < held.entry.expiresAt) {
            startWithGrant(held, waiting, actions);
            continue;
        }
        returnGrant(held);
        // The grant expired before it was used. The owner removed the demand when
        // it issued the grant, so the demand must be sent again.
        if (waiting != m_waiting.end())
            m_unsent.push_back(held.entry.request);
    }
}

void grant_holder::useAdvanceGrants(time_point ownerClock, holder_actions& actions)
{
    std::vector<held_grant> kept;
    for (const held_grant& held : std::exchange(m_unusedAdvanceGrants, {})) {
        if (ownerClock >= held.entry.expiresAt) {
            returnGrant(held);
            continue;
        }
        const auto isEligible = [&](const auto& entry) {
            const demand_entry& demand = entry.second.demand;
            // Only the owner knows which servers have a model loaded.
            return demand.requestFingerprint == fingerprint() && demand.model.isEmpty() && m_view.mayUse(demand.workspace, held.entry.server);
        };
        const auto waiting = std::ranges::find_if(m_waiting, isEligible);
        if (waiting == m_waiting.end()) {
            kept.push_back(held);
            continue;
        }
        if (std::erase(m_unsent, waiting->first) == 0)
            m_withdrawn.push_back(waiting->first);
        startWithGrant(held, waiting, actions);
    }
    m_unusedAdvanceGrants = std::move(kept);
}

void grant_holder::reportProgress(time_point now)
{
    if (now < m_progressAt + m_settings.progressInterval)
        return;
    m_progressAt = now;
    for (auto& [request, running] : m_running) {
        // Reports only a cost that is a quarter above the last reported one, or
        // above the hint, so that a long stream causes a few reports instead of
        // four each second.
        if (running.cost <= progressReportFactor * std::max(running.reportedCost, running.costHint))
            continue;
        running.reportedCost = running.cost;
        addReport(running.grant, grant_event::progress, running.workspace, running.cost, duration::zero());
    }
}

void grant_holder::resendUnansweredDemands(time_point now)
{
    if (now < m_resentAt + m_settings.resendAfter)
        return;
    m_resentAt = now;
    std::uint32_t resent = 0;
    for (const auto& [request, waiting] : m_waiting) {
        if (resent == m_settings.maxResentDemands)
            return;
        if (now < waiting.sentAt + m_settings.resendAfter || std::ranges::count(m_unsent, request) > 0)
            continue;
        m_unsent.push_back(request);
        ++resent;
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
    for (const request_number request : std::exchange(m_unsent, {})) {
        const auto found = m_waiting.find(request);
        if (found == m_waiting.end())
            continue;
        found->second.sentAt = now;
        built.waiting.push_back(found->second.demand);
    }
    m_lastAdvanceWanted = built.advanceWanted;
    m_isAdvanceWantedDue = false;
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
    if (mayCoalesce() && m_sentAt && now < *m_sentAt + m_settings.coalescingInterval)
        return actions;
    reportProgress(now);
    resendUnansweredDemands(now);
    if (isInFlightReportNeeded() && now >= m_inFlightAt + m_settings.inFlightInterval)
        m_isInFlightDue = true;
    // Grant reports go first, so that the in-flight report has the highest
    // sequence number and the owner knows every ended request before it compares.
    if (!m_reports.empty()) {
        actions.report = grant_report { m_shard, m_token, ++m_reportSequence, std::exchange(m_reports, {}) };
        m_hasReported = true;
    }
    if (m_isInFlightDue)
        actions.inFlight = buildInFlight(now);
    if (!m_unsent.empty() || !m_withdrawn.empty() || m_isAdvanceWantedDue || m_lastAdvanceWanted != advanceWanted(now))
        actions.demand = buildAcquire(now);
    if (actions.report || actions.inFlight || actions.demand)
        m_sentAt = now;
    return actions;
}

bool grant_holder::isDue(time_point now) const
{
    if (!m_unusedGrants.empty() || !m_unusedAdvanceGrants.empty())
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
    const bool isFrameDue = !m_reports.empty() || !m_unsent.empty() || !m_withdrawn.empty() || m_isAdvanceWantedDue || m_isInFlightDue;
    if (isFrameDue)
        consider(m_sentAt && mayCoalesce() ? *m_sentAt + m_settings.coalescingInterval : m_resentAt);
    if (!m_waiting.empty())
        consider(m_resentAt + m_settings.resendAfter);
    if (!m_running.empty())
        consider(m_progressAt + m_settings.progressInterval);
    if (isInFlightReportNeeded())
        consider(m_inFlightAt + m_settings.inFlightInterval);
    if (m_lastAdvanceWanted != 0 && m_lastRequestAt)
        consider(*m_lastRequestAt + m_settings.activityWindow);
    if (next && m_sentAt && mayCoalesce())
        next = std::max(*next, *m_sentAt + m_settings.coalescingInterval);
    return next;
}

}
