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
    change_store& store, std::function<void(revision)> onCommitted, std::size_t limit)
    : m_store(store)
    , m_onCommitted(std::move(onCommitted))
    , m_limit(limit)
{
}

void change_submitter::submit(submitted_change change)
{
    if (m_inProgress >= m_limit) {
        change.respond(refusalReply(admin_refusal::tooManyChanges, "too many changes are in progress; send it again later"));
        return;
    }
    ++m_inProgress;
    const auto shared = std::make_shared<submitted_change>(std::move(change));
    if (shared->mayBeRepeat)
        lookUpEarlier(shared);
    else
        sendTransaction(shared);
}

// A change that was sent again is answered by its record. Otherwise a repeat
// would be refused because its own first attempt changed the object.
void change_submitter::lookUpEarlier(const shared_change& change)
{
    m_store.readChange(change->transaction.changeId,
        [weak = weak_from_this(), change](const result<change_lookup>& read) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (!read)
                return self->answer(*change, refusalReply(read.error()));
            if (read->row)
                return self->onRecorded(change, *read->row);
            self->sendTransaction(change);
        });
}

void change_submitter::sendTransaction(const shared_change& change)
{
    if (change->refusal)
        return answer(*change, *change->refusal);
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
        return answer(*change,
            refusalReply(admin_refusal::unavailable, "the table did not take the change; send it again later"));
    m_store.readChange(change->transaction.changeId,
        [weak = weak_from_this(), change, submitted](const result<change_lookup>& read) {
            if (const auto self = weak.lock())
                self->onReadBack(change, submitted, read);
        });
}

// Once the table has moved on without the change's record, the transaction
// cannot commit any more, because it is conditional on the revision before.
void change_submitter::onReadBack(
    const shared_change& change, submit_result submitted, const result<change_lookup>& read)
{
    if (!read)
        return answerUnknown(*change);
    if (read->row)
        return onRecorded(change, *read->row);
    if (submitted.state == submit_state::conflict)
        return answerConflict(*change, submitted.at);
    if (read->tableAt > change->transaction.basedOn)
        return answerConflict(*change, read->tableAt);
    answerUnknown(*change);
}

void change_submitter::onRecorded(const shared_change& change, const stored_row& row)
{
    const json record = recordJson(row);
    if (record.value("requestDigest", json()) == change->requestDigest)
        return awaitAcceptance(change, row.at);
    answer(*change,
        refusalReply(admin_refusal::changeIdReused, "this change id belongs to a different request; use another",
            { { "changeId", change->transaction.changeId }, { "revision", row.at.value() } }));
}

void change_submitter::awaitAcceptance(const shared_change& change, revision at)
{
    if (at <= m_accepted)
        return answer(*change, committedReply(*change, at, true));
    m_waiting.push_back({ std::move(*change), at });
    if (m_onCommitted)
        m_onCommitted(at);
}

void change_submitter::accepted(revision upTo)
{
    if (upTo <= m_accepted)
        return;
    m_accepted = upTo;
    std::list<waiting_change> done;
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        const auto next = std::next(entry);
        if (entry->at <= upTo)
            done.splice(done.end(), m_waiting, entry);
        entry = next;
    }
    for (auto& entry : done)
        answer(entry.change, committedReply(entry.change, entry.at, true));
}

void change_submitter::tick(time_point now)
{
    std::list<waiting_change> late;
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        const auto next = std::next(entry);
        if (entry->change.deadline <= now)
            late.splice(late.end(), m_waiting, entry);
        entry = next;
    }
    for (auto& entry : late)
        answer(entry.change, committedReply(entry.change, entry.at, false));
}

std::optional<time_point> change_submitter::nextDeadline() const
{
    const auto first = std::min_element(m_waiting.begin(), m_waiting.end(),
        [](const auto& a, const auto& b) { return a.change.deadline < b.change.deadline; });
    if (first == m_waiting.end())
        return std::nullopt;
    return first->change.deadline;
}

void change_submitter::answer(submitted_change& change, const admin_response& response)
{
    --m_inProgress;
    change.respond(response);
}

void change_submitter::answerConflict(submitted_change& change, revision lostTo)
{
    answer(change,
        refusalReply(admin_refusal::conflict,
            "another change was committed at revision " + std::to_string(lostTo.value())
                + " first; read the object again and repeat the change",
            { { "outcome", "conflict" }, { "changeId", change.transaction.changeId }, { "revision", lostTo.value() } }));
}

void change_submitter::answerUnknown(submitted_change& change)
{
    answer(change,
        refusalReply(admin_refusal::outcomeUnknown,
            "the change may have been committed; ask for its outcome at /v1/changes/" + change.transaction.changeId,
            { { "outcome", "unknown" }, { "changeId", change.transaction.changeId } }));
}

}
