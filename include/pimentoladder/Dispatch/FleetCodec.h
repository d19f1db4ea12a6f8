/// \file
/// Interface to decode the rows in which operators and backend servers publish their
/// state.

#pragma once

#include <string>
#include <variant>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Dispatch/ServingPlan.h"
#include "pimentoladder/Rollout/RolloutOrder.h"

namespace pimentoladder {

/// The data centre is out of service while the row exists.
struct evacuated_data_centre {
    data_centre_id dataCentre;
};

/// An operator's order to move a pool's requests to another software version, while the row exists.
struct ordered_rollout {
    rollout_order order;
};

/// A row that the router ignores.
struct unrelated_row { };

using operator_row = std::variant<serving_plan, evacuated_data_centre, ordered_rollout, unrelated_row>;

/// Decodes published rows. Thread-safe.
class fleet_codec {
public:
    virtual ~fleet_codec() = default;

    virtual std::string operatorTable() const = 0;
    virtual std::string serverTable() const = 0;

    /// Table and key of the row in which the operator reads the state of a pool's roll-out.
    virtual std::string stateTable() const = 0;
    virtual std::string rolloutStateKey(const pool_id& pool) const = 0;

    /// Encodes the value of that row.
    virtual std::string encodeRolloutState(const std::string& version, rollout_state state) const = 0;

    /// Decodes a row of the operators' table. Errors: `corruptData`.
    virtual result<operator_row> decodeOperatorRow(const std::string& key, const std::string& value) const = 0;

    /// Decodes the registration of a server. Errors: `corruptData`.
    virtual result<registered_server> decodeServer(const std::string& key, const std::string& value) const = 0;
};

}
