/// \file
/// Registration of this router in the table of members, and creation of the fleet's
/// shared key.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Replica/FleetRouter.h"
#include "pimentoladder/Replica/RowReplica.h"

namespace pimentoladder {

/// Encodes and decodes the value of a member's row. Thread-safe.
class member_codec {
public:
    virtual ~member_codec() = default;
    virtual std::string encode(const fleet_router& source) const = 0;

    /// Errors: `corruptData`.
    virtual result<fleet_router> decode(const std::string& text) const = 0;
};

/// A row to write to the table of members.
struct member_row_write {
    std::string key;
    std::string value;
    bool mustBeAbsent = false;
};

/// Determines the rows that are missing or outdated in the table of members. If the outcome
/// of a write is unknown, reading the table again shows whether it took effect.
/// Not thread-safe; call on the loop's thread.
class member_registration {
public:
    /// \p proposedKey becomes the fleet's key if there is none yet; it has at least 16
    /// characters. \p codec outlives the registration.
    member_registration(fleet_router self, std::string proposedKey, const member_codec& codec);

    /// Returns the next row to write, or nothing if the table as last read is up to date,
    /// a write is in progress, or the last write was too recent.
    std::optional<member_row_write> next(time_point now, const row_replica& members);

    /// Records the end of a write. The caller must read the table again.
    void onWritten() { m_isWriting = false; }

    /// Returns the key of the fleet, or nothing if the table has none yet.
    static std::optional<std::string> fleetKey(const row_replica& members);

    /// Returns the members in the table. Rows that cannot be decoded are skipped.
    std::vector<fleet_router> list(const row_replica& members) const;

private:
    fleet_router m_self;
    std::string m_proposedKey;
    const member_codec& m_codec;
    time_point m_nextWriteAt;
    bool m_isWriting = false;
};

}
