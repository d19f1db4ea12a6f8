#include "pimentoladder/Dispatch/FleetView.h"

#include <algorithm>
#include <span>
#include <utility>

namespace pimentoladder {

namespace {

    constexpr const char* dataCentreLabel = "data-centre";

    std::span<const workspace_keys> listedWorkspaces(const serving_plan& plan)
    {
        return plan.workspaces ? std::span<const workspace_keys>(*plan.workspaces) : std::span<const workspace_keys>();
    }

}

fleet_view::fleet_view(freshness_limits limits)
    : m_limits(limits)
{
}

const workspace_id& fleet_view::anonymous()
{
    static const workspace_id id("anonymous");
    return id;
}

bool fleet_view::applyPlan(serving_plan plan, bool mayBeOlder)
{
    if (!mayBeOlder && m_plan && plan.version <= m_plan->version)
        return false;
    m_plan = std::move(plan);
    m_routes = route_table(m_plan->routes);
    m_byKey.clear();
    for (const workspace_keys& each : listedWorkspaces(*m_plan)) {
        for (const std::string& digest : each.keyDigests)
            m_byKey[digest] = &each;
    }
    invalidate();
    return true;
}

void fleet_view::confirm(time_point sentAt)
{
    if (!m_confirmedAt || sentAt > *m_confirmedAt)
        m_confirmedAt = sentAt;
}

void fleet_view::setOutOfService(std::set<data_centre_id> dataCentres)
{
    if (dataCentres == m_outOfService)
        return;
    m_outOfService = std::move(dataCentres);
    invalidate();
}

bool fleet_view::putServer(const registered_server& server)
{
    m_removals.erase(server.id);
    registered_server& known = m_servers[server.id];
    const bool isNew = known.id.isEmpty() || known.start != server.start;
    const bool isSame = known == server;
    known = server;
    if (!isSame)
        invalidate();
    return isNew;
}

duration fleet_view::removeServer(const server_id& id, time_point now)
{
    if (!m_servers.contains(id))
        return duration::zero();
    const time_point due = m_returnedAt ? std::max(now, std::min(*m_returnedAt, now) + m_limits.returnGrace) : now;
    const auto added = m_removals.try_emplace(id, pending_removal { now, due }).first;
    const duration delay = std::max(added->second.due - now, duration::zero());
    onTick(now);
    return delay;
}

void fleet_view::onStoreRecovered(time_point at)
{
    m_returnedAt = at;
    for (auto& [id, removal] : m_removals)
        removal.due = std::max(removal.due, std::min(at, removal.learntAt) + m_limits.returnGrace);
}

void fleet_view::onOutageRefuted()
{
    m_returnedAt.reset();
    for (auto& [id, removal] : m_removals)
        removal.due = removal.learntAt;
}

std::vector<removed_server> fleet_view::onTick(time_point now)
{
    std::vector<removed_server> removed;
    for (auto each = m_removals.begin(); each != m_removals.end();) {
        if (each->second.due > now) {
            ++each;
            continue;
        }
        removed.push_back({ each->first, now - each->second.learntAt });
        m_servers.erase(each->first);
        each = m_removals.erase(each);
    }
    if (!removed.empty())
        invalidate();
    return removed;
}

std::optional<time_point> fleet_view::nextRemoval() const
{
    std::optional<time_point> next;
    for (const auto& [id, removal] : m_removals)
        next = next ? std::min(*next, removal.due) : removal.due;
    return next;
}

caller_identity fleet_view::identify(const std::string* keyDigest) const
{
    if (m_plan && !m_plan->workspaces)
        return { key_standing::notRequired, nullptr };
    const auto found = keyDigest ? m_byKey.find(*keyDigest) : m_byKey.end();
    if (found == m_byKey.end())
        return { key_standing::unknown, nullptr };
    return { key_standing::held, found->second };
}

const pool_profile* fleet_view::profileOf(const pool_id& pool) const
{
    if (!m_plan)
        return nullptr;
    const auto found = m_plan->pools.find(pool);
    return found == m_plan->pools.end() ? nullptr : &found->second;
}

const registered_server* fleet_view::findServer(const server_id& id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

std::shared_ptr<const document> fleet_view::buildDocument() const
{
    auto built = std::make_shared<document>();
    built->workspaces[anonymous()].id = anonymous();
    access_rule everyone;
    everyone.id = rule_id("everyone");
    built->accessRules[everyone.id] = everyone;
    if (m_plan) {
        built->at = m_plan->version;
        for (const workspace_keys& each : listedWorkspaces(*m_plan))
            built->workspaces[each.workspace].id = each.workspace;
        for (const auto& [id, profile] : m_plan->pools) {
            built->pools[id].id = id;
            built->pools[id].kind = profile.kind;
        }
    }
    for (const auto& [id, server] : m_servers) {
        backend_server& added = built->servers[id];
        added.id = id;
        added.pool = server.pool;
        added.dataCentre = server.dataCentre;
        added.location = server.location;
        added.ceiling = server.slots;
        added.isLeaving = server.isLeaving;
        data_centre& place = built->dataCentres[server.dataCentre];
        place.id = server.dataCentre;
        place.labels[dataCentreLabel] = server.dataCentre.value();
    }
    for (const data_centre_id& id : m_outOfService) {
        service_rule& rule = built->serviceRules[rule_id("out-" + id.value())];
        rule.id = rule_id("out-" + id.value());
        rule.dataCentresOut = selector({ { dataCentreLabel, selector_operator::equals, { id.value() } } });
    }
    return built;
}

const access_index& fleet_view::access() const
{
    if (!m_access)
        m_access.emplace(buildDocument());
    return *m_access;
}

std::optional<duration> fleet_view::basisAge(time_point now) const
{
    if (!m_confirmedAt)
        return std::nullopt;
    return now - *m_confirmedAt;
}

bool fleet_view::mayUseKeys(time_point now) const
{
    const auto age = basisAge(now);
    return age && *age <= m_limits.maxKeyBasisAge;
}

bool fleet_view::isReady(time_point now) const
{
    const auto age = basisAge(now);
    return hasPlan() && age && *age <= m_limits.maxReadyBasisAge;
}

}
