/// \file
/// Decisions of the administration API: what each request reads or changes, and
/// how it is answered.

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

/// What this router knows of a router of the fleet.
struct router_status {
    vm_id vm;
    incarnation start;
    data_centre_id dataCentre;
    std::string state; ///< For example `fresh`, `suspected`, `lost`, `suspended`.
    std::optional<revision> applied; ///< None if it has not stated one.
    std::optional<duration> basisAge; ///< None if it is not fresh.
};

/// What a request is decided on.
struct admin_view {
    const document& current;
    const std::vector<router_status>& routers;
    revision accepted; ///< Highest accepted revision.
    time_point now;
    std::chrono::system_clock::time_point wallTime; ///< For the records of changes.
};

struct admin_settings {
    std::size_t bodyBytes = 64 * 1024;
    std::size_t changesInProgress = 256; ///< Changes that may await the table or acceptance.
    duration acceptanceTimeout = std::chrono::seconds(4); ///< After it, a committed change is answered as not yet accepted.
    document_limits limits;
};

using admin_responder = std::function<void(admin_response)>;

/// Answers requests of operators. Every request gets exactly one answer, unless
/// the service is destroyed before.
///
/// A change is answered as accepted, as conflict with the revision it lost to,
/// as committed but not yet accepted, or as unknown with its change id. It is
/// submitted with its records, the rows `change/<id>` and `history/<revision>`,
/// in one transaction. An ambiguous write is resolved by reading the first of
/// them back.
///
/// Not thread-safe; call on the loop's thread.
class admin_service {
public:
    /// \p store must outlive the service. \p onCommitted is told each revision
    /// that the service has committed, so that it can be announced to peers.
    /// \p seed drives the change ids of requests that bring none; it must
    /// differ between starts.
    admin_service(admin_settings settings, operator_directory operators, change_store& store,
        std::function<void(revision)> onCommitted, std::uint64_t seed);
    ~admin_service();
    admin_service(const admin_service&) = delete;
    admin_service& operator=(const admin_service&) = delete;

    /// Answers a request, at once or later. The view is used only during the call.
    void handle(const admin_request& request, const admin_view& view, admin_responder respond);

    /// Answers the changes that are accepted now that \p upTo is.
    void accepted(revision upTo);

    /// Answers the committed changes whose time to be accepted is over.
    void tick(time_point now);

    /// Returns when `tick` is due, or none.
    std::optional<time_point> nextDeadline() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
