/// \file
/// A router as it registers itself among the others.

#pragma once

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

struct fleet_router {
    vm_id vm;
    incarnation start;
    data_centre_id dataCentre;
    endpoint peerLocation; ///< Where other routers connect to it.
    double cores = 1; ///< Processor share of its VM.

    bool operator==(const fleet_router&) const = default;
};

}
