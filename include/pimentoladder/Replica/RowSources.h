/// \file
/// Choice of the reader from which a router gets the store's rows, and of the times at which
/// it asks readers.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"
#include "pimentoladder/Replica/FleetRouter.h"
#include "pimentoladder/Replica/RelayLimits.h"

namespace pimentoladder {

/// A question to a reader that is due.
struct source_question {
    vm_id reader;
    std::uint64_t sequence = 0; ///< Increases with each question; the answer echoes it.
};

/// What a router knows of its own rows when it chooses a source.
struct own_rows_state {
    bool isStale = false; ///< The last confirmation is older than `relay_limits::maxBasisAge`.
    bool isStoreReachable = false; ///< Its own recent reads of the store succeeded.
};

/// Chooses which reader this router follows, the *source*, and when it asks readers.
///
/// Each `followInterval` a round of questions begins with the source. Until one reader has
/// answered, the next one is asked after each `hedgeDelay`, without waiting for the source
/// to count as lost. Readers that have left a question unanswered are not asked in place of
/// others for `sourceCooldown`. The source itself changes only when it is lost, so that a
/// late reader keeps its followers.
/// Not thread-safe; call on the loop's thread.
class row_sources {
public:
    row_sources(vm_id self, data_centre_id ownDataCentre, const relay_limits& limits);

    /// Sets the routers that read the store, in the order of preference within a data centre.
    void setReaders(std::vector<fleet_router> readers) { m_readers = std::move(readers); }
    const std::vector<fleet_router>& readers() const { return m_readers; }
    bool isReader(const vm_id& router) const;

    void onLinkOpened(const vm_id& peer) { m_linked.insert(peer); }
    void onLinkClosed(const vm_id& peer);
    bool isLinked(const vm_id& peer) const { return m_linked.contains(peer); }

    /// Leaves a source that is lost, no longer needed or no longer a reader, and chooses
    /// another one if there is any. Returns the reason if a source that had confirmed rows
    /// was left.
    std::optional<std::string_view> choose(time_point now, own_rows_state own);

    /// Returns the questions that are due, and records them as asked.
    std::vector<source_question> takeQuestions(time_point now);

    /// Returns when the question \p sequence to \p from was asked, or nothing if it is unknown
    /// or answered already. Earlier questions to \p from need no answer any more.
    std::optional<time_point> onAnswer(time_point now, const vm_id& from, std::uint64_t sequence);

    /// Records that \p from has confirmed the rows. Returns whether it is the source, and
    /// confirms them for the first time.
    bool onConfirmed(const vm_id& from);

    /// Records that \p from answered without current rows. Returns the reason if it was a
    /// source that had confirmed rows.
    std::optional<std::string_view> onWithoutStore(time_point now, const vm_id& from);

    /// Returns whether a reader has answered within `sourceTimeout`, and one is connected.
    bool hasAnswered(time_point now) const;

    /// Returns the source; empty: none is followed.
    const vm_id& source() const { return m_source; }

    /// Returns when `choose` and `takeQuestions` are to be called next.
    time_point nextDeadline(time_point now) const;

private:
    bool isLate(const vm_id& reader, time_point now) const;
    bool isUsable(const fleet_router& reader, time_point now) const;
    std::optional<vm_id> best(time_point now) const;
    std::optional<vm_id> nextHedge(time_point now) const;
    std::optional<std::string_view> follow(time_point now, vm_id next, std::string_view reason);
    source_question ask(time_point now, const vm_id& reader);

    vm_id m_self;
    data_centre_id m_ownDataCentre;
    relay_limits m_limits;
    std::vector<fleet_router> m_readers;
    std::set<vm_id> m_linked;
    std::map<vm_id, time_point> m_cooldownUntil;
    std::map<vm_id, std::map<std::uint64_t, time_point>> m_unanswered; ///< Send times of unanswered questions, by sequence number.
    vm_id m_source;
    time_point m_chosenAt; ///< When the source was chosen.
    time_point m_heardAt; ///< Time of the source's last answer, or at which it was chosen.
    bool m_hasConfirmed = false; ///< The source has confirmed the rows at least once.
    std::optional<time_point> m_answeredAt; ///< Time of the last answer of any reader.
    std::set<vm_id> m_asked; ///< Readers asked in the current round.
    bool m_isRoundOver = false; ///< A reader has confirmed the rows in the current round.
    time_point m_nextRoundAt;
    time_point m_nextHedgeAt;
    std::uint64_t m_sequence = 0;
};

}
