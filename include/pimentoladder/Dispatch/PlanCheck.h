/// \file
/// Checks of an operators' configuration before it is put in force.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Dispatch/ServingPlan.h"

namespace pimentoladder {

/// What a finding is about.
enum class finding_kind {
    error, ///< Routers reject or ignore it.
    unmatched, ///< No request can ever match it.
    contradiction, ///< Limits that cannot hold together.
    difference, ///< A change from the version in force.
};

/// One finding, with its place in the configuration.
struct plan_finding {
    finding_kind kind {};
    std::string place; ///< For example `route "bulletins" (host/prefix/)`.
    std::string reason;
    std::string remedy;

    bool operator==(const plan_finding&) const = default;
};

/// What the routers that the configuration is for can bear.
struct plan_check_limits {
    std::uint64_t routerMemory = std::uint64_t { 120 } * 1024 * 1024; ///< Bytes, of the smallest router.
    duration minIdleTimeout = std::chrono::seconds(5); ///< Callers use kept connections that have rested for four fifths of the idle timeout.
};

/// Returns what is wrong with a configuration, in the order of its entries for each check.
/// Thread-safe.
std::vector<plan_finding> checkPlan(const serving_plan& plan, const plan_check_limits& limits);

/// Returns what putting \p next in force changes, compared with \p inForce. Thread-safe.
std::vector<plan_finding> comparePlans(const serving_plan& inForce, const serving_plan& next);

/// Returns the name of a kind in lower case. Thread-safe.
std::string_view findingKindName(finding_kind kind);

}
