/// \file
/// Client of the platform's list of VMs.

#pragma once

#include <functional>
#include <string>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Platform/CallRunner.h"

namespace pimentoladder {

/// A VM as listed by the platform; the list lags behind the actual state.
struct listed_vm {
    vm_id id;
    std::string address; ///< Numeric IP address.
    data_centre_id dataCentre;
    bool isLeaving = false;

    bool operator==(const listed_vm&) const = default;
};

/// Reads the list of VMs. Not thread-safe; call on the loop's thread. The runner
/// must outlive it and the calls in flight.
class vm_list_client {
public:
    explicit vm_list_client(call_runner& runner)
        : m_runner(runner)
    {
    }

    /// Reads the list.
    /// Errors: those of `call_runner::run`, and `corruptData`.
    void read(time_point deadline, std::function<void(result<std::vector<listed_vm>>)> onEnd);

private:
    call_runner& m_runner;
};

}
