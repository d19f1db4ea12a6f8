/// \file
/// Keeps this router's row among the members, and the key that all share.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Replica/FleetRouter.h"
#include "pimentoladder/Replica/RowReplica.h"

namespace pimentoladder {

/// Form of a member in its row. Thread-safe.
class member_codec {
public:
    virtual ~member_codec() = default;
    virtual std::string encode(const fleet_router& source) const = 0;

    /// Errors: `corruptData`.
    virtual result<fleet_router> decode(const std::string& text) const = 0;
};

/// A row to be written to the table of members.
struct member_row_write {
    std::string key;
    std::string value;
    bool mustBeAbsent = false;
};

/// Compares the table of members with what it should hold. A write whose outcome
/// is unknown is settled by reading the table again.
/// Not thread-safe; call on the loop's thread.
class member_registration {
public:
    /// \p freshKey is proposed as the key of the fleet if there is none yet; it
    /// holds at least 16 characters. \p codec outlives the registration.
    member_registration(fleet_router self, std::string freshKey, const member_codec& codec);

    /// Returns the next row to write, or nothing if the table, as last read,
    /// holds what it should or a write is in progress.
    std::optional<member_row_write> next(time_point now, const row_replica& members);

    /// A write has ended. The table must be read again.
    void onWritten() { m_isWriting = false; }

    /// Returns the key of the fleet, once the table holds it.
    static std::optional<std::string> fleetKey(const row_replica& members);

    /// Returns the members that the table names. Unreadable rows name none.
    std::vector<fleet_router> list(const row_replica& members) const;

private:
    fleet_router m_self;
    std::string m_freshKey;
    const member_codec& m_codec;
    time_point m_nextWriteAt;
    bool m_isWriting = false;
};

}
