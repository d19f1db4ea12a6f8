#include "ChangeSubmitter.h"

#include <algorithm>
#include <utility>

#include "ChangeRecord.h"
#include "Replies.h"

namespace pimentoladder {

namespace {

    using nlohmann::json;

    admin_response committedReply(const submitted_change& change, revision at, bool isAccepted)
    {
        const json body {
            { "outcome", isAccepted ? "accepted" : "committed" },
            { "changeId", change.transaction.changeId },
            { "revision", at.value() },
        };
        admin_response response = jsonReply(isAccepted ? change.acceptedStatus : 202, body);
        setEntityTag(response, at);
        return response;
    }

}

change_submitter::change_submitter(
    change_store& store, std::function<void(revision)> onCommitted, std::size_t maxInProgress)
    : m_store(store)
    , m_onCommitted(std::move(onCommitted))
    , m_maxInProgress(maxInProgress)
{
}

void change_submitter::submit(submitted_change change)
{
    if (m_inProgress >= m_maxInProgress) {
        change.respond(refusalReply(admin_refusal::tooManyChanges, "too many changes are in progress; send it again later"));
        return;
    }
    ++m_inProgress;
    const auto shared = std::make_shared<submitted_change>(std::move(change));
    if (shared->mayBeRepeat)
        lookUpRecord(shared);
    else
        sendTransaction(shared);
}

// Makes a retry of a change idempotent: the response comes from the record of
// the first attempt. Without it, the retry would conflict with the first attempt,
// which changed the object.
void change_submitter::lookUpRecord(const shared_change& change)
{
    m_store.readChange(change->transaction.changeId,
        [weak = weak_from_this(), change](const result<change_lookup>& read) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (!read)
                return self->respond(*change, refusalReply(read.error()));
            if (read->row)
                return self->onRecorded(change, *read->row);
            self->sendTransaction(change);
        });
}

void change_submitter::sendTransaction(const shared_change& change)
{
    if (change->refusal)
        return respond(*change, *change->refusal);
    m_store.submit(change->transaction, [weak = weak_from_this(), change](submit_result submitted) {
        if (const auto self = weak.lock())
            self->onSubmitted(change, submitted);
    });
}

void change_submitter::onSubmitted(const shared_change& change, submit_result submitted)
{
    if (submitted.state == submit_state::committed)
        return awaitAcceptance(change, submitted.at);
    if (submitted.state == submit_state::unavailable)
        return respond(*change,
            refusalReply(admin_refusal::unavailable, "the table did not take the change; send it again later"));
    m_store.readChange(change->transaction.changeId,
        [weak = weak_from_this(), change, submitted](const result<change_lookup>& read) {
            if (const auto self = weak.lock())
                self->onReadBack(change, submitted, read);
        });
}

// Once another change was committed after the revision that this one is based
// on, the transaction of this one can no longer commit. A newer revision of the
// table alone does not prove that, because routers write rows as well.
void change_submitter::onReadBack(
    const shared_change& change, submit_result submitted, const result<change_lookup>& read)
{
    if (!read)
        return respondOutcomeUnknown(*change);
    if (read->row)
        return onRecorded(change, *read->row);
    if (submitted.state == submit_state::conflict)
        return respondConflict(*change, submitted.at);
    if (read->lastChange && *read->lastChange > change->transaction.basedOn)
        return respondConflict(*change, *read->lastChange);
    respondOutcomeUnknown(*change);
}

void change_submitter::onRecorded(const shared_change& change, const stored_row& row)
{
    const json record = recordJson(row);
    if (record.value("requestDigest", json()) == change->requestDigest)
        return awaitAcceptance(change, row.at);
    respond(*change,
        refusalReply(admin_refusal::changeIdReused, "this change id belongs to a different request; use another",
            { { "changeId", change->transaction.changeId }, { "revision", row.at.value() } }));
}

void change_submitter::awaitAcceptance(const shared_change& change, revision at)
{
    if (at <= m_acceptedRevision)
        return respond(*change, committedReply(*change, at, true));
    m_awaitingAcceptance.push_back({ std::move(*change), at });
    if (m_onCommitted)
        m_onCommitted(at);
}

void change_submitter::onAccepted(revision upTo)
{
    if (upTo <= m_acceptedRevision)
        return;
    m_acceptedRevision = upTo;
    std::list<waiting_change> done;
    for (auto entry = m_awaitingAcceptance.begin(); entry != m_awaitingAcceptance.end();) {
        const auto next = std::next(entry);
        if (entry->at <= upTo)
            done.splice(done.end(), m_awaitingAcceptance, entry);
        entry = next;
    }
    for (auto& entry : done)
        respond(entry.change, committedReply(entry.change, entry.at, true));
}

void change_submitter::tick(time_point now)
{
    std::list<waiting_change> late;
    for (auto entry = m_awaitingAcceptance.begin(); entry != m_awaitingAcceptance.end();) {
        const auto next = std::next(entry);
        if (entry->change.deadline <= now)
            late.splice(late.end(), m_awaitingAcceptance, entry);
        entry = next;
    }
    for (auto& entry : late)
        respond(entry.change, committedReply(entry.change, entry.at, false));
}

std::optional<time_point> change_submitter::nextDeadline() const
{
    const auto first = std::min_element(m_awaitingAcceptance.begin(), m_awaitingAcceptance.end(),
        [](const auto& a, const auto& b) { return a.change.deadline < b.change.deadline; });
    if (first == m_awaitingAcceptance.end())
        return std::nullopt;
    return first->change.deadline;
}

void change_submitter::respond(submitted_change& change, const admin_response& response)
{
    --m_inProgress;
    change.respond(response);
}

void change_submitter::respondConflict(submitted_change& change, revision committedAt)
{
    respond(change,
        refusalReply(admin_refusal::conflict,
            "another change was committed at revision " + std::to_string(committedAt.value())
                + " first; read the object again and repeat the change",
            { { "outcome", "conflict" }, { "changeId", change.transaction.changeId }, { "revision", committedAt.value() } }));
}

void change_submitter::respondOutcomeUnknown(submitted_change& change)
{
    respond(change,
        refusalReply(admin_refusal::outcomeUnknown,
            "the change may have been committed; ask for its outcome at /v1/changes/" + change.transaction.changeId,
            { { "outcome", "unknown" }, { "changeId", change.transaction.changeId } }));
}

}
