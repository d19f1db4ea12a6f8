#include "pimentoladder/Fairness/ServiceLedger.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pimentoladder {

service_ledger::service_ledger(member_ref self)
    : m_self(std::move(self))
{
}

void service_ledger::setWeight(const workspace_id& workspace, double weight)
{
    assert(weight > 0 && "the weight of a workspace is above 0");
    m_accounts[workspace].weight = weight;
}

service_ledger::account& service_ledger::ownAccount(const workspace_id& workspace)
{
    account& owned = m_accounts[workspace];
    if (!owned.own)
        owned.own = &*m_counters.try_emplace(counter_key { m_self, workspace }).first;
    return owned;
}

void service_ledger::charge(const workspace_id& workspace, cost_units cost)
{
    assert(cost >= 0 && "a charge is not negative; use credit");
    account& owned = ownAccount(workspace);
    owned.service += cost;
    owned.own->second.charged += cost;
    recordChange(*owned.own);
}

void service_ledger::credit(const workspace_id& workspace, cost_units cost)
{
    assert(cost >= 0 && "a credit is not negative; use charge");
    account& owned = ownAccount(workspace);
    owned.service -= cost;
    owned.own->second.credited += cost;
    recordChange(*owned.own);
}

double service_ledger::virtualTime(const shard_id& shard, const workspace_id& workspace) const
{
    const lift* lifted = findLift(shard, workspace);
    const double base = lifted ? lifted->value : 0;
    const auto found = m_accounts.find(workspace);
    if (found == m_accounts.end())
        return base;
    return found->second.service / found->second.weight + base;
}

void service_ledger::liftTo(const shard_id& shard, const workspace_id& workspace, double target)
{
    const double missing = target - virtualTime(shard, workspace);
    if (missing <= 0)
        return;
    const lift* lifted = findLift(shard, workspace);
    const double base = lifted ? lifted->value : 0;
    if (const auto raised = raiseLift(shard, workspace, base + missing))
        recordChange(*raised);
}

double service_ledger::clock(const shard_id& shard) const
{
    const lift* found = findLift(shard, workspace_id());
    return found ? found->value : 0;
}

void service_ledger::advanceClock(const shard_id& shard, double virtualTime)
{
    if (const auto raised = raiseLift(shard, workspace_id(), virtualTime))
        recordChange(*raised);
}

cost_units service_ledger::service(const workspace_id& workspace) const
{
    const auto found = m_accounts.find(workspace);
    return found == m_accounts.end() ? 0 : found->second.service;
}

const service_ledger::lift* service_ledger::findLift(const shard_id& shard, const workspace_id& workspace) const
{
    const auto found = m_lifts.find(lift_key { shard, workspace });
    return found == m_lifts.end() ? nullptr : &found->second;
}

service_ledger::lift_map::pointer service_ledger::raiseLift(
    const shard_id& shard, const workspace_id& workspace, double value)
{
    auto& entry = *m_lifts.try_emplace(lift_key { shard, workspace }).first;
    if (value <= entry.second.value)
        return nullptr;
    entry.second.value = value;
    return &entry;
}

void service_ledger::recordChange(counter_map::reference changed)
{
    m_counterChanges.erase(changed.second.changedAt);
    changed.second.changedAt = ++m_version;
    m_counterChanges.emplace_hint(m_counterChanges.end(), m_version, &changed);
}

void service_ledger::recordChange(lift_map::reference changed)
{
    m_liftChanges.erase(changed.second.changedAt);
    changed.second.changedAt = ++m_version;
    m_liftChanges.emplace_hint(m_liftChanges.end(), m_version, &changed);
}

void service_ledger::mergeCounter(const service_counter& received)
{
    if (received.owner == m_self)
        return;
    counter& known = m_counters[counter_key { received.owner, received.workspace }];
    const cost_units charged = std::max(known.charged, received.charged);
    const cost_units credited = std::max(known.credited, received.credited);
    if (charged == known.charged && credited == known.credited)
        return;
    m_accounts[received.workspace].service += (charged - known.charged) - (credited - known.credited);
    known.charged = charged;
    known.credited = credited;
    ++m_mergeCount;
}

void service_ledger::merge(const service_counters& received, const member_ref& from)
{
    for (const service_counter& entry : received.entries) {
        if (entry.owner == from && from != m_self)
            recordReceived(entry);
        mergeCounter(entry);
    }
    for (const service_lift& entry : received.lifts) {
        if (raiseLift(entry.shard, entry.workspace, entry.lift))
            ++m_mergeCount;
    }
}

service_counters service_ledger::takeChanges(const member_ref& peer)
{
    service_counters changes;
    const auto addCounter = [&](counter_map::const_reference entry) {
        const auto& [key, value] = entry;
        changes.entries.push_back({ key.owner, key.workspace, value.charged, value.credited });
    };
    const auto addLift = [&](lift_map::const_reference entry) {
        changes.lifts.push_back({ entry.first.shard, entry.first.workspace, entry.second.value });
    };
    const auto [sent, isFirst] = m_sentUpTo.try_emplace(peer, 0);
    if (isFirst) {
        std::ranges::for_each(m_counters, addCounter);
        std::ranges::for_each(m_lifts, addLift);
    } else {
        for (auto entry = m_counterChanges.upper_bound(sent->second); entry != m_counterChanges.end(); ++entry)
            addCounter(*entry->second);
        for (auto entry = m_liftChanges.upper_bound(sent->second); entry != m_liftChanges.end(); ++entry)
            addLift(*entry->second);
    }
    sent->second = m_version;
    return changes;
}

void service_ledger::recordReceived(const service_counter& received)
{
    peer_interest& interest = m_peerInterest[received.owner];
    const auto [latest, isFirst] = interest.lastReceived.try_emplace(received.workspace, m_round);
    if (isFirst || m_round - latest->second > interestRounds)
        interest.pendingCounters.insert(received.workspace);
    latest->second = m_round;
}

service_counters service_ledger::takeNeededChanges(
    const member_ref& peer, const std::set<workspace_id>& waiting, bool isSuccessor)
{
    peer_interest& interest = m_peerInterest[peer];
    if (!m_sentUpTo.contains(peer)) {
        // This router may hold the only remaining copies of other owners' counters
        // and lifts, so the first message contains all of them.
        service_counters known = takeChanges(peer);
        for (const auto& [workspace, round] : interest.lastReceived)
            interest.pendingCounters.insert(workspace);
        interest.lastSent.clear();
        std::erase_if(known.entries, [&](const service_counter& entry) {
            return !isSuccessor && entry.owner == m_self && !waiting.contains(entry.workspace);
        });
        return known;
    }
    const auto sent = m_sentUpTo.find(peer);
    for (const workspace_id& workspace : waiting) {
        const auto [latest, isFirst] = interest.lastSent.try_emplace(workspace, m_round);
        if (!isFirst && m_round - latest->second < resendRounds)
            continue;
        latest->second = m_round;
        interest.pendingCounters.insert(workspace);
    }
    std::erase_if(interest.lastReceived, [this](const auto& entry) { return m_round - entry.second > interestRounds; });
    std::erase_if(interest.lastSent, [this](const auto& entry) { return m_round - entry.second > resendRounds; });

    service_counters changes;
    const auto addCounter = [&](counter_map::const_reference entry) {
        const auto& [key, value] = entry;
        changes.entries.push_back({ key.owner, key.workspace, value.charged, value.credited });
    };
    for (auto entry = m_counterChanges.upper_bound(sent->second); entry != m_counterChanges.end(); ++entry) {
        const counter_key& key = entry->second->first;
        const bool isNeeded = isSuccessor || key.owner != m_self || interest.lastReceived.contains(key.workspace);
        if (!isNeeded)
            continue;
        interest.pendingCounters.erase(key.workspace);
        addCounter(*entry->second);
    }
    for (const workspace_id& workspace : std::exchange(interest.pendingCounters, {})) {
        const auto found = m_counters.find(counter_key { m_self, workspace });
        if (found != m_counters.end())
            addCounter(*found);
    }
    for (auto entry = m_liftChanges.upper_bound(sent->second); isSuccessor && entry != m_liftChanges.end(); ++entry)
        changes.lifts.push_back({ entry->second->first.shard, entry->second->first.workspace, entry->second->second.value });
    sent->second = m_version;
    return changes;
}

void service_ledger::resendAllTo(const member_ref& peer)
{
    m_sentUpTo.erase(peer);
}

void service_ledger::resendCountersOf(const member_ref& owner)
{
    m_sentUpTo.erase(owner);
    const auto first = m_counters.lower_bound(counter_key { owner, workspace_id() });
    for (auto entry = first; entry != m_counters.end() && entry->first.owner == owner; ++entry)
        recordChange(*entry);
}

}
