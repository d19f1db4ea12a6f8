/// \file
/// Decoded rows of the document. A row's key is `config/<kind>/<id>`,
/// `member/<vm>` or `roster`.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// The decoded value of one row.
using document_value = std::variant<workspace, pool, backend_server, data_centre, access_rule, service_rule, member,
    witness_roster>;

/// One row to write or, without a value, to delete.
struct row_change {
    std::string key;
    std::optional<document_value> value;
    revision changedAt; ///< Revision of the transaction that wrote the row.

    bool operator==(const row_change&) const = default;
};

/// Returns the key of the row that holds \p value. Thread-safe.
std::string rowKey(const document_value& value);

/// Returns whether rows with this key belong to the document. Thread-safe.
bool isDocumentKey(std::string_view key);

/// Returns a default object for the row \p key: its id is taken from the key,
/// every other field has its default.
/// Errors: `invalidArgument` if the key does not belong to the document.
/// Thread-safe.
result<document_value> defaultRowValue(std::string_view key);

/// Returns the revision of the transaction that wrote the row, or that of the
/// document if it is not recorded. Thread-safe.
revision rowRevision(const document& source, std::string_view key);

/// Returns the object in row \p key, or none if there is no such row.
/// Thread-safe.
std::optional<document_value> findRow(const document& source, std::string_view key);

/// Applies one row to \p target, without changing the document's revision.
/// Errors: `invalidArgument` if the key does not belong to the document or
/// does not match the object in the value. Not thread-safe.
result<void> applyRow(document& target, const row_change& change);

/// Returns every row of \p source, sorted by key, each with the revision of the
/// transaction that wrote it. Thread-safe.
std::vector<row_change> allRows(const document& source);

}
