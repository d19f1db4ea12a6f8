/// \file
/// The set of members that are suspended while the table cannot be written.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Config/Document.h"

namespace pimentoladder {

/// A set of suspended members that grows by union, so that merges may be reordered,
/// lost or repeated. An entry is removed only when the document
/// supersedes it: it lists a newer incarnation, or no longer lists the member.
///
/// A member that was suspended or removed returns under a new incarnation, so
/// a superseded entry never takes effect again.
///
/// Not thread-safe; call on the loop's thread.
class suspension_set {
public:
    /// Adds a member that a majority of witnesses agreed to suspend.
    /// \p listedBy is the revision of a document that lists the member.
    /// Returns whether the set changed.
    bool add(const member_ref& member, revision listedBy);

    /// Adds every member of a peer's set and records the digest of that set as
    /// covered. Returns whether the set changed.
    bool merge(const std::vector<member_ref>& suspended, revision listedBy);

    /// Drops the entries that \p applied supersedes.
    void documentApplied(const document& applied);

    bool contains(const member_ref& member) const { return m_entries.contains(member); }
    bool isEmpty() const { return m_entries.empty(); }

    /// Returns the digest of the set; zero if it is empty.
    std::uint64_t digest() const { return m_digest; }

    /// Returns whether every entry of the set with this digest is known to be
    /// in this set or superseded. Returns false if the record of merging that set
    /// has been evicted, until it is merged again.
    bool covers(std::uint64_t digest) const;

    /// Returns the entries, sorted.
    std::vector<member_ref> members() const;

    /// Returns a revision by which every entry had been in the document, for the
    /// field of the same name in `suspend`.
    revision listedBy() const;

    /// Returns the digest of a set given as a list in any order.
    static std::uint64_t digestOf(std::vector<member_ref> members);

private:
    bool isSuperseded(const member_ref& member, revision listedBy) const;
    bool insert(const member_ref& member, revision listedBy);
    void refreshDigest();
    void rememberCovered(std::uint64_t digest);

    std::map<member_ref, revision> m_entries; // Value: a revision whose document lists the member.
    std::map<vm_id, incarnation> m_listed;
    revision m_applied;
    std::uint64_t m_digest = 0;
    std::deque<std::uint64_t> m_covered;
};

}
