/// \file
/// Commits changes to the table, waits for their acceptance and responds.

#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "pimentoladder/Admin/AdminService.h"

namespace pimentoladder {

/// A change to commit.
struct submitted_change {
    change_transaction transaction;
    std::optional<admin_response> refusal; ///< If set, the change is not submitted and gets this response, unless an earlier attempt committed it.
    std::string requestDigest;
    bool mayBeRepeat = false; ///< Whether the operator chose the change id, so that this may be a retry.
    int acceptedStatus = 200; ///< HTTP status once the change is accepted.
    time_point deadline; ///< After this time, the change is reported as committed but not yet accepted.
    admin_responder respond;
};

/// Submits changes to the store and responds to each exactly once. Must be owned
/// by a shared pointer, because callbacks of the store may run after the owner
/// released it. Not thread-safe; call on the loop's thread.
class change_submitter : public std::enable_shared_from_this<change_submitter> {
public:
    change_submitter(change_store& store, std::function<void(revision)> onCommitted, std::size_t maxInProgress);

    void submit(submitted_change change);
    void onAccepted(revision upTo);
    void tick(time_point now);
    std::optional<time_point> nextDeadline() const;
    revision acceptedRevision() const { return m_acceptedRevision; }

private:
    struct waiting_change {
        submitted_change change;
        revision at;
    };
    using shared_change = std::shared_ptr<submitted_change>;

    void lookUpRecord(const shared_change& change);
    void sendTransaction(const shared_change& change);
    void onSubmitted(const shared_change& change, submit_result submitted);
    void onReadBack(const shared_change& change, submit_result submitted, const result<change_lookup>& read);
    void onRecorded(const shared_change& change, const stored_row& row);
    void awaitAcceptance(const shared_change& change, revision at);
    void respond(submitted_change& change, const admin_response& response);
    void respondConflict(submitted_change& change, revision committedAt);
    void respondOutcomeUnknown(submitted_change& change);

    change_store& m_store;
    std::function<void(revision)> m_onCommitted;
    std::size_t m_maxInProgress;
    std::size_t m_inProgress = 0;
    revision m_acceptedRevision;
    std::list<waiting_change> m_awaitingAcceptance;
};

}
