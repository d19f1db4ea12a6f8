/// \file
/// The platform's list of VMs.

#pragma once

#include <set>

#include "pimentoladder/Base/Ids.h"

namespace pimentoladder {

/// The platform's list of VMs, as last read. It lags behind the VMs.
struct vm_list {
    std::set<vm_id> live;
    std::set<vm_id> leaving; ///< Still running, to be removed soon.

    /// Returns whether the list names the VM at all.
    bool contains(const vm_id& vm) const { return live.contains(vm) || leaving.contains(vm); }
};

}
