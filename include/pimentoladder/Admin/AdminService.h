/// \file
/// Request handling of the administration API: authentication, reads, changes
/// and their responses, without network input or output.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "pimentoladder/Admin/AdminMessage.h"
#include "pimentoladder/Admin/ChangeStore.h"
#include "pimentoladder/Admin/Operators.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Config/Document.h"
#include "pimentoladder/Config/Validation.h"

namespace pimentoladder {

/// State of one router of the fleet, as this router knows it.
struct router_status {
    vm_id vm;
    incarnation start;
    data_centre_id dataCentre;
    std::string state; ///< For example `fresh`, `suspected`, `lost`, `suspended`.
    std::optional<revision> applied; ///< Revision that it applied last; none if it has not reported one.
    std::optional<duration> basisAge; ///< Age of the data its decisions are based on; none if it is not fresh.
};

/// State of the router from which a request is answered.
struct admin_context {
    const document& current;
    const std::vector<router_status>& routers;
    revision accepted; ///< Highest accepted revision.
    time_point now;
    std::chrono::system_clock::time_point wallTime; ///< Written to change records.
};

struct admin_settings {
    std::size_t bodyBytes = 65536;
    std::size_t changesInProgress = 256; ///< Most changes that may await the table or acceptance.
    duration acceptanceTimeout = std::chrono::seconds(4); ///< After this time, a change is reported as committed but not yet accepted.
    document_limits limits;
};

using admin_responder = std::function<void(admin_response)>;

/// Handles requests of operators. Every request gets exactly one response, unless
/// the service is destroyed first.
///
/// The outcome of a change is accepted, conflict with the revision that was
/// committed first, committed but not yet accepted, or unknown with its change
/// id. The change is submitted in one transaction with its records, the rows
/// `change/<id>` and `history/<revision>`. If the result of the write is
/// ambiguous, it is resolved by reading the row `change/<id>` back.
///
/// Not thread-safe; call on the loop's thread.
class admin_service {
public:
    /// \p store must outlive the service. \p onCommitted is called with each
    /// revision that the service commits, so that it can be announced to peers.
    /// \p seed seeds the generator of change ids for requests without one; it
    /// must differ between starts.
    admin_service(admin_settings settings, operator_directory operators, change_store& store,
        std::function<void(revision)> onCommitted, std::uint64_t seed);
    ~admin_service();
    admin_service(const admin_service&) = delete;
    admin_service& operator=(const admin_service&) = delete;

    /// Handles a request and responds at once or later. \p view is used only
    /// during the call.
    void handle(const admin_request& request, const admin_context& view, admin_responder respond);

    /// Notifies the service that all revisions up to \p upTo are accepted, and
    /// responds to the changes among them.
    void onAccepted(revision upTo);

    /// Responds to the committed changes whose acceptance timed out.
    void tick(time_point now);

    /// Returns when `tick` is due, or none.
    std::optional<time_point> nextDeadline() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
