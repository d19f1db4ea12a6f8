/// \file
/// Which software version began each stream, across all routers.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Protocol/Messages.h"

namespace pimentoladder {

/// Remembers the software version that began each stream, so that a caller who takes the
/// stream up at any router reaches the same version, and which versions of each pool have
/// been in use.
///
/// Every router reports the streams that it begins to the readers. A reader forwards them
/// to its followers while a pool has, or lately had, more than one version; before that, the
/// only version in use answers for every stream. A router that has just started knows
/// which versions were in use only as far back as another router tells it, and then answers
/// for recorded streams only. Not thread-safe; call on the loop's thread.
class stream_versions {
public:
    /// Sets the longest time from the beginning of a stream to its last take-up, in which
    /// records and versions are remembered.
    void setLifetime(duration lifetime) { m_lifetime = lifetime; }

    /// Sets the age of the list of servers up to which it proves that no further version is in use.
    /// Another router may know a new version for that long before this one does.
    void setMaxListAge(duration age) { m_maxListAge = age; }

    /// Starts to know the versions in use: the list of servers is complete.
    void setListed(time_point now);

    /// Records that the list of servers was current at \p listedAt.
    void confirm(time_point listedAt);

    /// Records that a server of the version is registered, or was until now.
    void use(time_point now, const pool_id& pool, const std::string& version);

    /// Records that this router sends a request that may begin a stream to a server of the version.
    /// The last record of a stream counts.
    void begin(time_point now, const std::string& id, const pool_id& pool, const std::string& version);

    /// Returns the pool and the version that began the stream of the attempt \p id, if it is recorded.
    std::optional<version_use> findRecord(time_point now, const std::string& id);

    /// Returns the version that began every stream of the pool that can still be taken up;
    /// nothing if there were several, or that is not known. It is not known while the list of servers
    /// is older than `setMaxListAge`: meanwhile streams may have begun elsewhere at a new version.
    std::optional<std::string> onlyVersion(time_point now, const pool_id& pool) const;

    /// Returns whether more than one version of any pool has been in use within the lifetime.
    bool hasSeveralVersions(time_point now) const;

    /// Returns the streams begun here since the last call, and now and then the versions in use.
    stream_origins takeOwn(time_point now);

    /// Merges what another router knows.
    void merge(time_point now, const stream_origins& received);

    /// Returns the records that a follower has not been sent, at most `maxForwarded` at once, and
    /// now and then the versions in use.
    stream_origins forward(time_point now, const vm_id& follower);

    /// Forgets what a follower has been sent, as it may have been restarted.
    void forget(const vm_id& follower) { m_forwarded.erase(follower); }

    std::size_t recordCount() const { return m_records.size(); }

private:
    static constexpr std::size_t maxForwarded = 4096; // 32 KiB of identifiers in a message.
    static constexpr duration usesInterval = std::chrono::seconds(3); // Between two messages with the versions in use.
    static constexpr std::size_t maxRecords = 131'072; // Of about 100 bytes.

    struct stream_record {
        fingerprint stream;
        pool_id pool;
        std::string version;
        time_point at;
    };

    struct follower_state {
        std::uint64_t next = 0; ///< Number of the first record that it has not been sent.
        std::optional<time_point> usesSentAt;
    };

    void addUses(time_point now, std::optional<time_point>& sentAt, stream_origins& to) const;
    void keep(time_point now, stream_record record);
    void expire(time_point now);
    std::vector<version_use> usesWithin(time_point now) const;
    static void append(stream_origins& to, const stream_record& record);

    duration m_lifetime = std::chrono::seconds(15);
    duration m_maxListAge = std::chrono::milliseconds(1200);
    std::optional<time_point> m_listedAt; ///< When the list of servers was last current.
    std::optional<time_point> m_knownSince; ///< All versions in use since then are known.
    std::map<pool_id, std::map<std::string, time_point>> m_uses; ///< When each version was last in use.
    std::deque<stream_record> m_records; ///< In order of arrival.
    std::uint64_t m_firstRecord = 0; ///< Number of the first record.
    std::unordered_map<fingerprint, std::uint64_t> m_byStream; ///< Number of the last record of each stream.
    std::vector<stream_record> m_unreported;
    std::optional<time_point> m_usesReportedAt;
    std::map<vm_id, follower_state> m_forwarded;
};

}
