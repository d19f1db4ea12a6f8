/// \file
/// A router as registered in the table of members.

#pragma once

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// Identity, address and size of a router.
struct fleet_router {
    vm_id vm;
    incarnation start;
    data_centre_id dataCentre;
    endpoint peerLocation; ///< Where other routers connect to it.
    double cores = 1; ///< CPU cores available to its VM, possibly fractional.

    bool operator==(const fleet_router&) const = default;
};

}
