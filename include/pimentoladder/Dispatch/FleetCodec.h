/// \file
/// Interface to decode the rows in which operators and backend servers publish their
/// state.

#pragma once

#include <string>
#include <variant>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Dispatch/ServingPlan.h"

namespace pimentoladder {

/// The data centre is out of service while the row exists.
struct evacuated_data_centre {
    data_centre_id dataCentre;
};

/// A row that the router ignores.
struct unrelated_row { };

using operator_row = std::variant<serving_plan, evacuated_data_centre, unrelated_row>;

/// Decodes published rows. Thread-safe.
class fleet_codec {
public:
    virtual ~fleet_codec() = default;

    virtual std::string operatorTable() const = 0;
    virtual std::string serverTable() const = 0;

    /// Decodes a row of the operators' table. Errors: `corruptData`.
    virtual result<operator_row> decodeOperatorRow(const std::string& key, const std::string& value) const = 0;

    /// Decodes the registration of a server. Errors: `corruptData`.
    virtual result<registered_server> decodeServer(const std::string& key, const std::string& value) const = 0;
};

}
