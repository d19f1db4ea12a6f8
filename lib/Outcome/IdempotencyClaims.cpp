#include "pimentoladder/Outcome/IdempotencyClaims.h"

#include <algorithm>
#include <utility>

namespace pimentoladder {

namespace {

    const claim_row* findRow(const std::vector<claim_row>& rows, const claim_key& key)
    {
        const auto found = std::find_if(rows.begin(), rows.end(), [&key](const claim_row& row) { return row.key == key; });
        return found == rows.end() ? nullptr : &*found;
    }

    std::string objectName(const claim_row& row)
    {
        return "outcome/" + row.key.workspace.value() + "/" + row.key.keyHash;
    }

}

std::string claimRowName(const claim_key& key)
{
    return "claim/" + key.workspace.value() + "/" + key.keyHash;
}

idempotency_claims::idempotency_claims(member_ref self, owner_check isAlive)
    : m_self(std::move(self))
    , m_isAlive(std::move(isAlive))
{
}

claim_actions idempotency_claims::claim(
    time_point now, request_number request, const claim_key& key, fingerprint print)
{
    claim_actions actions;
    const auto known = m_byKey.find(key);
    if (known != m_byKey.end()) {
        const entry& other = m_entries.at(known->second);
        answerFromPendingClaim(request, print, other, actions);
        return actions;
    }
    entry created;
    created.row = { key, print, { m_self, request }, claim_state::running, {}, {} };
    created.startedAt = now;
    m_entries.emplace(request, std::move(created));
    m_byKey.emplace(key, request);
    enqueue(request);
    startCall(now, actions);
    return actions;
}

void idempotency_claims::answerFromPendingClaim(
    request_number request, fingerprint print, const entry& other, claim_actions& actions) const
{
    if (other.row.requestFingerprint != print) {
        actions.emplace_back(claim_refused { request, refusal_kind::keyReused });
        return;
    }
    if (other.next == task::update && other.row.state == claim_state::ended) {
        actions.emplace_back(claim_replayed { request, other.row.outcome });
        return;
    }
    if (other.next == task::update) {
        actions.emplace_back(claim_refused { request, refusal_kind::outcomeUnknown });
        return;
    }
    actions.emplace_back(claim_refused { request, refusal_kind::claimInProgress });
}

claim_actions idempotency_claims::release(time_point now, request_number request)
{
    claim_actions actions;
    entry* found = find(request);
    const bool isReleasable = found && (found->next == task::create || found->next == task::none);
    if (!isReleasable)
        return actions;
    if (found->next == task::create && !found->mayBeInTable) {
        drop(request);
        return actions;
    }
    startRemoval(request, *found);
    startCall(now, actions);
    return actions;
}

claim_actions idempotency_claims::record(
    time_point now, request_number request, std::optional<recorded_outcome> outcome)
{
    claim_actions actions;
    entry* found = find(request);
    if (!found || found->next != task::none)
        return actions;
    found->row.state = outcome ? claim_state::ended : claim_state::outcomeUnknown;
    if (outcome)
        found->row.outcome = std::move(*outcome);
    recorded_outcome& kept = found->row.outcome;
    if (kept.body.size() > inlineBodyBytes) {
        found->next = task::storeBody;
        kept.bodyObject = objectName(found->row);
        actions.emplace_back(store_body { request, kept.bodyObject, std::exchange(kept.body, {}) });
        return actions;
    }
    found->next = task::update;
    enqueue(request);
    startCall(now, actions);
    return actions;
}

claim_actions idempotency_claims::bodyStored(time_point now, request_number request, bool isStored)
{
    claim_actions actions;
    entry* found = find(request);
    if (!found || found->next != task::storeBody)
        return actions;
    if (!isStored) {
        // Without its body the answer cannot be replayed in full.
        found->row.state = claim_state::outcomeUnknown;
        found->row.outcome = {};
    }
    found->next = task::update;
    enqueue(request);
    startCall(now, actions);
    return actions;
}

claim_actions idempotency_claims::writeAnswered(time_point now, const claim_write_answer& answer)
{
    claim_actions actions;
    if (!m_call || m_call->isRead || m_call->batch != answer.batch)
        return actions;
    const call ended = *std::exchange(m_call, std::nullopt);
    for (const called_task& each : ended.tasks) {
        entry* found = find(each.request);
        if (!found)
            continue;
        const bool isChanged = found->next != each.task;
        const bool isAmbiguous = answer.result == claim_write_result::unknown;
        if (isChanged || isAmbiguous)
            enqueueRead(each.request, *found);
        else if (answer.result == claim_write_result::committed)
            handleCommitted(each.request, *found, answer.at, actions);
        else if (answer.result == claim_write_result::unavailable)
            handleUnavailable(now, each.request, *found, actions);
        else
            reconcileWithTable(each.request, *found, findRow(answer.present, found->row.key), actions);
    }
    startCall(now, actions);
    return actions;
}

claim_actions idempotency_claims::readAnswered(time_point now, const claim_read_answer& answer)
{
    claim_actions actions;
    if (!m_call || !m_call->isRead || m_call->batch != answer.batch)
        return actions;
    const call ended = *std::exchange(m_call, std::nullopt);
    for (const called_task& each : ended.tasks) {
        entry* found = find(each.request);
        if (!found)
            continue;
        if (!answer.isAvailable) {
            found->retryAt = now + retryInterval;
            continue;
        }
        found->mustRead = false;
        reconcileWithTable(each.request, *found, findRow(answer.present, found->row.key), actions);
    }
    startCall(now, actions);
    return actions;
}

claim_actions idempotency_claims::tick(time_point now)
{
    claim_actions actions;
    if (m_call && now >= m_call->startedAt + tableTimeout) {
        const call overdue = *std::exchange(m_call, std::nullopt);
        for (const called_task& each : overdue.tasks) {
            entry* found = find(each.request);
            if (found)
                enqueueRead(each.request, *found);
        }
    }
    for (auto each = m_entries.begin(); each != m_entries.end();) {
        const request_number request = each->first;
        entry& current = (each++)->second;
        if (current.retryAt && now >= *current.retryAt)
            enqueue(request);
        if (current.next == task::create && now >= current.startedAt + claimTimeout)
            abandonClaim(request, current, actions);
    }
    startCall(now, actions);
    return actions;
}

std::optional<time_point> idempotency_claims::deadline() const
{
    std::optional<time_point> earliest;
    const auto consider = [&earliest](time_point due) {
        if (!earliest || due < *earliest)
            earliest = due;
    };
    if (m_call)
        consider(m_call->startedAt + tableTimeout);
    for (const auto& [request, each] : m_entries) {
        if (each.next == task::create)
            consider(each.startedAt + claimTimeout);
        if (each.retryAt)
            consider(*each.retryAt);
    }
    return earliest;
}

void idempotency_claims::enqueue(request_number request)
{
    entry& queued = m_entries.at(request);
    queued.retryAt.reset();
    if (queued.isQueued)
        return;
    queued.isQueued = true;
    m_queue.push_back(request);
}

void idempotency_claims::enqueueRead(request_number request, entry& target)
{
    target.mustRead = true;
    target.isAmbiguous = true;
    enqueue(request);
}

void idempotency_claims::startCall(time_point now, claim_actions& actions)
{
    if (m_call)
        return;
    std::erase_if(m_queue, [this](request_number request) { return !m_entries.contains(request); });
    if (m_queue.empty())
        return;
    call started;
    started.batch = table_batch(++m_lastBatch);
    started.startedAt = now;
    started.isRead = m_entries.at(m_queue.front()).mustRead;
    std::erase_if(m_queue, [this, &started](request_number request) {
        entry& each = m_entries.at(request);
        if (each.mustRead != started.isRead || started.tasks.size() == maximumBatchRows)
            return false;
        each.isQueued = false;
        started.tasks.push_back({ request, each.next });
        return true;
    });
    actions.emplace_back(started.isRead ? claim_action(readOf(started)) : claim_action(writeOf(started)));
    m_call = std::move(started);
}

read_claims idempotency_claims::readOf(const call& started) const
{
    read_claims read { started.batch, {} };
    for (const called_task& each : started.tasks)
        read.keys.push_back(m_entries.at(each.request).row.key);
    return read;
}

write_claims idempotency_claims::writeOf(const call& started)
{
    write_claims write { started.batch, {} };
    for (const called_task& each : started.tasks) {
        entry& written = m_entries.at(each.request);
        written.mayBeInTable = true;
        write.writes.push_back({ written.row, written.expected, each.task == task::remove });
    }
    return write;
}

void idempotency_claims::handleCommitted(request_number request, entry& target, revision at, claim_actions& actions)
{
    if (target.next != task::create) {
        drop(request);
        return;
    }
    grantClaim(request, target, at, actions);
}

void idempotency_claims::grantClaim(request_number request, entry& target, revision at, claim_actions& actions)
{
    target.expected = at;
    target.next = task::none;
    actions.emplace_back(claim_granted { request });
}

void idempotency_claims::handleUnavailable(time_point now, request_number request, entry& target, claim_actions& actions)
{
    if (target.next == task::create) {
        target.mayBeInTable = target.isAmbiguous;
        abandonClaim(request, target, actions);
        return;
    }
    target.retryAt = now + retryInterval;
}

void idempotency_claims::reconcileWithTable(
    request_number request, entry& target, const claim_row* present, claim_actions& actions)
{
    if (target.next == task::create) {
        reconcileCreate(request, target, present, actions);
        return;
    }
    const bool isOwnRunning = present && present->owner == target.row.owner && present->state == claim_state::running;
    if (!isOwnRunning) {
        drop(request);
        return;
    }
    target.expected = present->changedAt;
    enqueue(request);
}

void idempotency_claims::reconcileCreate(
    request_number request, entry& target, const claim_row* present, claim_actions& actions)
{
    if (!present) {
        target.expected = {};
        enqueue(request);
        return;
    }
    if (present->owner == target.row.owner) {
        grantClaim(request, target, present->changedAt, actions);
        return;
    }
    if (present->requestFingerprint != target.row.requestFingerprint) {
        refuse(request, refusal_kind::keyReused, actions);
        return;
    }
    if (present->state == claim_state::ended) {
        actions.emplace_back(claim_replayed { request, present->outcome });
        drop(request);
        return;
    }
    if (present->state == claim_state::running && m_unsentClaims.contains(present->owner)) {
        target.expected = present->changedAt;
        enqueue(request);
        return;
    }
    refuse(request, refusalForIncompleteClaim(*present), actions);
}

refusal_kind idempotency_claims::refusalForIncompleteClaim(const claim_row& present) const
{
    if (present.state == claim_state::outcomeUnknown)
        return refusal_kind::outcomeUnknown;
    // A claim made by this incarnation that is no longer in memory ended without
    // recording an outcome.
    if (present.owner.router == m_self)
        return refusal_kind::outcomeUnknown;
    return m_isAlive(present.owner.router) ? refusal_kind::claimInProgress : refusal_kind::outcomeUnknown;
}

void idempotency_claims::abandonClaim(request_number request, entry& target, claim_actions& actions)
{
    actions.emplace_back(claim_refused { request, refusal_kind::claimUnavailable });
    if (target.mayBeInTable)
        startRemoval(request, target);
    else
        drop(request);
}

void idempotency_claims::refuse(request_number request, refusal_kind kind, claim_actions& actions)
{
    actions.emplace_back(claim_refused { request, kind });
    drop(request);
}

void idempotency_claims::startRemoval(request_number request, entry& target)
{
    recordUnsentClaim(target.row.owner);
    if (target.next == task::create)
        target.mustRead = true;
    target.next = task::remove;
    enqueue(request);
}

void idempotency_claims::recordUnsentClaim(const claim_owner& owner)
{
    if (!m_unsentClaims.insert(owner).second)
        return;
    m_unsentClaimOrder.push_back(owner);
    if (m_unsentClaimOrder.size() <= maximumUnsentClaims)
        return;
    m_unsentClaims.erase(m_unsentClaimOrder.front());
    m_unsentClaimOrder.pop_front();
}

void idempotency_claims::drop(request_number request)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end())
        return;
    m_byKey.erase(found->second.row.key);
    m_entries.erase(found);
}

idempotency_claims::entry* idempotency_claims::find(request_number request)
{
    const auto found = m_entries.find(request);
    return found == m_entries.end() ? nullptr : &found->second;
}

}
