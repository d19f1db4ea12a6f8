/// \file
/// The platform's list of VMs.

#pragma once

#include <set>

#include "pimentoladder/Base/Ids.h"

namespace pimentoladder {

/// The platform's list of VMs, as last read. It is updated with a delay, so it may
/// not match the running VMs.
struct vm_list {
    std::set<vm_id> live;
    std::set<vm_id> leaving; ///< Still running, but about to be removed.

    /// Returns whether the VM is listed, as live or as leaving.
    bool contains(const vm_id& vm) const { return live.contains(vm) || leaving.contains(vm); }
};

}
