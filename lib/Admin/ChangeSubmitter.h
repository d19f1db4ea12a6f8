/// \file
/// Carries changes through the table to acceptance, and answers them.

#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "pimentoladder/Admin/AdminService.h"

namespace pimentoladder {

/// A change to carry out.
struct submitted_change {
    change_transaction transaction;
    std::optional<admin_response> refusal; ///< Answer if the change was not carried out before; otherwise it is submitted.
    std::string requestDigest;
    bool mayBeRepeat = false; ///< Whether the operator chose the change id and may have sent it before.
    int acceptedStatus = 200;
    time_point deadline; ///< After it, the change is answered as not yet accepted.
    admin_responder respond;
};

/// Not thread-safe; call on the loop's thread. Always held by a shared pointer,
/// because calls to the store may outlive it.
class change_submitter : public std::enable_shared_from_this<change_submitter> {
public:
    change_submitter(change_store& store, std::function<void(revision)> onCommitted, std::size_t limit);

    void submit(submitted_change change);
    void accepted(revision upTo);
    void tick(time_point now);
    std::optional<time_point> nextDeadline() const;
    revision acceptedRevision() const { return m_accepted; }

private:
    struct waiting_change {
        submitted_change change;
        revision at;
    };
    using shared_change = std::shared_ptr<submitted_change>;

    void lookUpEarlier(const shared_change& change);
    void sendTransaction(const shared_change& change);
    void onSubmitted(const shared_change& change, submit_result submitted);
    void onReadBack(const shared_change& change, submit_result submitted, const result<change_lookup>& read);
    void onRecorded(const shared_change& change, const stored_row& row);
    void awaitAcceptance(const shared_change& change, revision at);
    void answer(submitted_change& change, const admin_response& response);
    void answerConflict(submitted_change& change, revision lostTo);
    void answerUnknown(submitted_change& change);

    change_store& m_store;
    std::function<void(revision)> m_onCommitted;
    std::size_t m_limit;
    std::size_t m_inProgress = 0;
    revision m_accepted;
    std::list<waiting_change> m_waiting;
};

}
