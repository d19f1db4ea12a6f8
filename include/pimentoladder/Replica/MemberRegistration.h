/// \file
/// Registration of this router in the table of members, and creation of the fleet's
/// shared key.

#pragma once

#include <map>
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

/// Determines the rows that are missing or outdated in the store's table of members. If the
/// outcome of a write is unknown, reading the table again shows whether it took effect.
///
/// After the store has been restored from a copy, each router writes its own row again if the
/// copy lacks it, at its own turn, so that not all routers write at the same moment. The first
/// few of them also write the key again that is in use.
/// Not thread-safe; call on the loop's thread.
class member_registration {
public:
    /// \p proposedKey becomes the fleet's key if there is none yet; it has at least 16
    /// characters. \p codec outlives the registration.
    member_registration(fleet_router self, std::string proposedKey, const member_codec& codec);

    /// Returns the next row to write, or nothing if the store's table as last read is up to
    /// date, a write is in progress, or it is not yet time.
    std::optional<member_row_write> next(time_point now, const row_replica& members);

    /// Returns the earliest time of the next write, or the past.
    time_point nextWriteAt() const { return m_nextWriteAt; }

    /// Records the end of the write that `next` returned. Returns whether the caller must read
    /// the table again to learn what the store holds.
    bool onWritten(time_point now, const result<void>& outcome);

    /// Returns the key that is in use, or nothing if the fleet has none yet.
    static std::optional<std::string> fleetKey(const row_replica& members);

    /// Returns the members in the table. Rows that cannot be decoded are skipped.
    std::vector<fleet_router> list(const row_replica& members) const;

private:
    struct write_in_progress {
        std::string key;
        std::optional<store_era> era; ///< Last known era at its start.
    };

    void enterEra(time_point now, const row_replica& members);
    std::optional<member_row_write> missingRow(time_point now, const row_replica& members) const;
    bool isDue(time_point now, const std::string& key) const;

    fleet_router m_self;
    std::string m_proposedKey;
    const member_codec& m_codec;
    std::optional<store_era> m_era; ///< Of the table as last seen.
    bool m_wasRestored = false; ///< The store has been restored since this router's start.
    time_point m_nextWriteAt;
    std::optional<write_in_progress> m_writing;
    std::map<std::string, time_point> m_notBefore; ///< When each row may be written, by key.
};

}
