#include "pimentoladder/Rollout/RolloutCoordinator.h"

#include <algorithm>
#include <tuple>

#include "pimentoladder/Rollout/RolloutEvidence.h"
#include "pimentoladder/Rollout/RolloutJudge.h"
#include "pimentoladder/Rollout/RolloutSchedule.h"

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr duration tickInterval = 100ms;
    constexpr duration rankDelay = 300ms; // A commit and a permit take less between sound routers.
    constexpr duration pollInterval = 500ms;
    constexpr int slowPollFactor = 3;
    constexpr std::size_t fastPollers = 2; // Readers of these ranks poll at the full rate, for a fast takeover.
    constexpr duration retryDelay = 200ms; // After an error of the store.
    // Time without a tick after which the router was paused, and the time for which messages
    // that arrived meanwhile are still handled then.
    constexpr duration pauseLimit = 150ms;
    constexpr duration wakeTime = 200ms;
    constexpr duration waitEventInterval = 1s;
    // Part of the lease by which the owner's authority ends before others may take over, for
    // clocks that differ in rate and for a decision on its way out.
    constexpr duration authorityMargin = 100ms;
    // Time beyond the lease before a takeover: the age of a permit does not count its transit, nor pauses within the limit.
    constexpr duration transitMargin = 200ms;
    // Time after a step before its answers count: the permit must reach the routers first.
    constexpr duration settleTime = 300ms;

    // Time until the rate of requests is known, and the part of the length that it may take.
    constexpr duration rateTime = 1s;
    constexpr int rateTimeDivisor = 6;

    bool isFinal(rollout_state state) { return state != rollout_state::inProgress; }

    // Whether \p one replaces \p other. A final permit is never replaced for its order.
    bool isSuccessor(const rollout_permit& one, const rollout_permit& other)
    {
        const auto rank = [](const rollout_permit& each) { return std::tuple(each.order, isFinal(each.state), each.token, each.sequence); };
        return rank(one) > rank(other);
    }

    bool isSameShare(const rollout_permit& one, const rollout_permit& other)
    {
        return one.state == other.state && one.share == other.share && one.token == other.token;
    }

}

struct rollout_coordinator::rollout {
    struct held_permit {
        rollout_permit permit;
        time_point confirmedAt; ///< By its owner, as far as this router knows.
    };
    struct known_row {
        rollout_record record;
        revision at;
        time_point seenAt; ///< When this revision was first seen.
    };
    struct pending_commit {
        rollout_record record;
        time_point sentAt;
        std::string_view reason;
    };
    struct elapsed_base {
        duration elapsed;
        time_point at;
    };

    // Outlives an order.
    std::size_t targetServers = 0;
    std::size_t otherServers = 0;
    std::optional<known_row> row;
    std::optional<pending_commit> pending;
    std::optional<held_permit> early; ///< For an order that is not known yet.
    time_point commitEndedAt {};
    time_point notBefore {}; ///< Earliest next commit after an error.

    // Of the current order.
    revision at;
    std::optional<rollout_order> order;
    time_point orderedAt {};
    elapsed_base base {};
    rollout_evidence_sum evidence;
    rollout_judge judge;
    rollout_verdict verdict;
    bool isCondemned = false; ///< The target was found faulty, which later answers do not change.
    std::optional<rollout_permit> final;
    std::optional<held_permit> learnt;
    bool isPermitted = false; ///< A permit was in force on the last tick.
    std::optional<time_point> readSentAt; ///< Of the last read that counted since the order.
    bool mustRead = false;
    time_point nextReadAt {};

    // Of this router's ownership.
    bool isOwner = false;
    rollout_permit own;
    time_point confirmedAt {}; ///< When the last commit that succeeded was sent.
    bool isCommitDue = false;
    time_point stepAt {};
    brief_step brief = brief_step::none;
    bool isDoubted = false; ///< The brief step showed faults that are not proven.
    double trialShare = 0; ///< Before the brief step.
    bool isStepSettled = false;
    time_point lastWaitEvent {};
    std::string_view endReason = "committed_by_other";

    duration elapsed(time_point now) const { return std::max(now - orderedAt, base.elapsed + (now - base.at)); }
    bool isActive() const { return order && !final; }
};

rollout_coordinator::rollout_coordinator(vm_id self, incarnation start, rollout_limits limits)
    : m_self(std::move(self))
    , m_start(start)
    , m_limits(limits)
{
}

rollout_coordinator::~rollout_coordinator() = default;

rollout_actions rollout_coordinator::onOrder(time_point now, revision at, const rollout_order& order)
{
    noteCall(now);
    rollout& of = m_rollouts[order.pool];
    if (of.order && of.at == at)
        return {};
    rollout_actions actions;
    if (of.isOwner)
        lose(now, order.pool, of, "order_replaced", actions);
    rollout fresh;
    fresh.targetServers = of.targetServers;
    fresh.otherServers = of.otherServers;
    fresh.row = std::move(of.row);
    fresh.pending = std::move(of.pending);
    fresh.commitEndedAt = of.commitEndedAt;
    if (of.early && of.early->permit.order == at)
        fresh.learnt = std::move(of.early);
    else
        fresh.early = std::move(of.early);
    fresh.at = at;
    fresh.order = order;
    fresh.orderedAt = now;
    fresh.base = { duration::zero(), now };
    fresh.nextReadAt = now + pollInterval;
    of = std::move(fresh);
    if (of.learnt && isFinal(of.learnt->permit.state))
        end(now, order.pool, of, of.learnt->permit, actions);
    if (of.row && of.row->record.order == at && isFinal(of.row->record.state)) {
        const rollout::known_row row = *of.row;
        learnRow(now, order.pool, of, row.record, row.at, actions);
    }
    actions.emplace_back(permits_changed {});
    drive(now, order.pool, of, false, actions);
    return actions;
}

rollout_actions rollout_coordinator::onOrderRemoved(time_point now, const pool_id& pool)
{
    const auto found = m_rollouts.find(pool);
    if (found == m_rollouts.end() || !found->second.order)
        return {};
    rollout_actions actions;
    rollout& of = found->second;
    if (of.isOwner)
        lose(now, pool, of, "order_removed", actions);
    of.order.reset();
    of.final.reset();
    of.learnt.reset();
    of.at = {};
    of.own = {};
    actions.emplace_back(permits_changed {});
    return actions;
}

void rollout_coordinator::noteCall(time_point now)
{
    // Before an order there are no ticks, so the time without one counts as a pause too.
    if (now - m_lastCall > pauseLimit) {
        m_wokeAt = now;
        m_pause = now - m_lastCall;
    }
    m_lastCall = now;
}

void rollout_coordinator::setReaders(std::vector<vm_id> readers, std::size_t routers)
{
    m_readers = std::move(readers);
    m_routers = routers;
}

void rollout_coordinator::setServers(const pool_id& pool, std::size_t target, std::size_t other)
{
    rollout& of = m_rollouts[pool];
    of.targetServers = target;
    of.otherServers = other;
}

rollout_actions rollout_coordinator::onReport(time_point now, const member_ref& from, const rollout_report& report)
{
    // The evidence is judged on the next tick: many routers report within one.
    for (const rollout_evidence& each : report.rollouts) {
        const auto found = m_rollouts.find(each.pool);
        if (found != m_rollouts.end() && found->second.isActive() && found->second.at == each.order)
            found->second.evidence.add(now, from, each);
    }
    return {};
}

rollout_actions rollout_coordinator::onPermits(time_point now, const rollout_permits& received)
{
    noteCall(now);
    // A permit that waited while this router was paused is older than it says.
    const duration wait = now - m_wokeAt < wakeTime ? m_pause : duration::zero();
    rollout_actions actions;
    for (const rollout_permit& permit : received.entries) {
        const time_point confirmedAt = now - permit.age - wait;
        rollout& of = m_rollouts[permit.pool];
        const bool isKnown = of.order && of.at == permit.order;
        if (of.order && permit.order < of.at)
            continue;
        if (!isKnown) {
            if (!of.early || isSuccessor(permit, of.early->permit))
                of.early = rollout::held_permit { permit, confirmedAt };
            continue;
        }
        if (of.final)
            continue;
        if (isFinal(permit.state)) {
            end(now, permit.pool, of, permit, actions);
            continue;
        }
        // This router's own permit may come back to it.
        if (of.isOwner && permit.token <= of.own.token)
            continue;
        if (of.isOwner)
            lose(now, permit.pool, of, "newer_token", actions);
        if (!of.learnt || isSuccessor(permit, of.learnt->permit)) {
            if (!of.learnt || !isSameShare(permit, of.learnt->permit))
                actions.emplace_back(permits_changed {});
            of.learnt = rollout::held_permit { permit, confirmedAt };
        } else if (!isSuccessor(of.learnt->permit, permit)) {
            of.learnt->confirmedAt = std::max(of.learnt->confirmedAt, confirmedAt);
        }
    }
    return actions;
}

rollout_actions rollout_coordinator::onRead(time_point now, const result<std::vector<std::pair<rollout_record, revision>>>& records)
{
    rollout_actions actions;
    const time_point sentAt = std::exchange(m_readSentAt, std::nullopt).value_or(now);
    if (!records) {
        m_readNotBefore = now + retryDelay;
        return actions;
    }
    for (auto& [pool, of] : m_rollouts) {
        // The read may show the row as it was before a commit of this router.
        if (!of.order || of.pending || of.commitEndedAt > sentAt)
            continue;
        of.readSentAt = sentAt;
        of.mustRead = false;
        const auto found = std::find_if(records->begin(), records->end(), [&key = pool](const auto& row) { return row.first.pool == key; });
        if (found != records->end()) {
            learnRow(now, pool, of, found->first, found->second, actions);
        } else {
            of.row.reset();
            if (of.isOwner)
                lose(now, pool, of, "row_removed", actions);
        }
    }
    for (auto& [pool, of] : m_rollouts)
        drive(now, pool, of, false, actions);
    return actions;
}

rollout_actions rollout_coordinator::onCommitted(time_point now, const pool_id& pool, const result<revision>& outcome)
{
    const auto found = m_rollouts.find(pool);
    if (found == m_rollouts.end() || !found->second.pending)
        return {};
    rollout_actions actions;
    rollout& of = found->second;
    const rollout::pending_commit done = *std::exchange(of.pending, std::nullopt);
    of.commitEndedAt = now;
    if (!outcome) {
        const bool mayBeExecuted = outcome.error().kind != error_kind::unavailable && outcome.error().kind != error_kind::timeout;
        of.mustRead = of.mustRead || mayBeExecuted;
        of.isCommitDue = true;
        of.notBefore = now + (outcome.error().kind == error_kind::conflict ? duration::zero() : retryDelay);
        drive(now, pool, of, false, actions);
        return actions;
    }
    of.row = rollout::known_row { done.record, *outcome, now };
    if (!of.order || of.at != done.record.order) {
        drive(now, pool, of, false, actions);
        return actions;
    }
    of.confirmedAt = std::max(of.confirmedAt, done.sentAt);
    if (isFinal(done.record.state)) {
        learnRow(now, pool, of, done.record, *outcome, actions);
        return actions;
    }
    if (!of.isOwner)
        become(now, pool, of, done.reason, actions);
    drive(now, pool, of, false, actions);
    return actions;
}

rollout_actions rollout_coordinator::onTick(time_point now)
{
    noteCall(now);
    rollout_actions actions;
    m_lastTick = now;
    for (auto& [pool, of] : m_rollouts)
        drive(now, pool, of, true, actions);
    return actions;
}

std::optional<time_point> rollout_coordinator::nextDeadline(time_point now) const
{
    if (!isActive())
        return std::nullopt;
    return std::max(now, m_lastTick + tickInterval);
}

rollout_permits rollout_coordinator::permits(time_point now) const
{
    rollout_permits known;
    for (const auto& [pool, of] : m_rollouts) {
        if (!of.order)
            continue;
        if (of.final) {
            known.entries.push_back(*of.final);
            continue;
        }
        if (of.isOwner) {
            if (hasAuthority(of, now) && now - of.confirmedAt < m_limits.permitLifetime) {
                known.entries.push_back(of.own);
                known.entries.back().age = now - of.confirmedAt;
            }
            continue;
        }
        if (!of.learnt || now - of.learnt->confirmedAt >= m_limits.permitLifetime)
            continue;
        known.entries.push_back(of.learnt->permit);
        known.entries.back().age = std::max(duration::zero(), now - of.learnt->confirmedAt);
    }
    return known;
}

rollout_permits rollout_coordinator::permitsForReaders(time_point now) const
{
    rollout_permits known = permits(now);
    std::erase_if(known.entries, [this](const rollout_permit& each) {
        const rollout& of = m_rollouts.at(each.pool);
        return !of.isOwner && !(of.final && isReader());
    });
    return known;
}

bool rollout_coordinator::isActive() const
{
    return std::any_of(m_rollouts.begin(), m_rollouts.end(), [](const auto& entry) { return entry.second.isActive(); });
}

std::optional<std::size_t> rollout_coordinator::rank() const
{
    const auto found = std::find(m_readers.begin(), m_readers.end(), m_self);
    if (found == m_readers.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - m_readers.begin());
}

bool rollout_coordinator::isReader() const { return rank().has_value(); }

bool rollout_coordinator::hasAuthority(const rollout& of, time_point now) const
{
    return of.isOwner && now - of.confirmedAt < m_limits.leaseTime - authorityMargin;
}

bool rollout_coordinator::mayTakeOver(const rollout& of, time_point now) const
{
    if (of.pending || of.mustRead || now < of.notBefore)
        return false;
    const std::size_t ownRank = *rank();
    if (of.row && of.row->record.order > of.at)
        return false;
    // Only a read after the lease's time shows that the row has not changed in it.
    if (of.row && of.row->record.order == of.at)
        return of.readSentAt && *of.readSentAt >= of.row->seenAt + m_limits.leaseTime + transitMargin;
    if (ownRank > 0 && (of.learnt || !of.readSentAt))
        return false;
    return now - of.orderedAt >= static_cast<duration::rep>(ownRank) * rankDelay;
}

void rollout_coordinator::drive(time_point now, const pool_id& pool, rollout& of, bool isTick, rollout_actions& actions)
{
    if (!of.isActive())
        return;
    const bool isPermitted = of.isOwner ? hasAuthority(of, now) : of.learnt && now - of.learnt->confirmedAt < m_limits.permitLifetime;
    if (std::exchange(of.isPermitted, isPermitted) && !isPermitted)
        actions.emplace_back(permits_changed {});
    if (!isReader()) {
        if (of.isOwner)
            lose(now, pool, of, "not_a_reader", actions);
        return;
    }
    // Every reader judges, so that one that takes over knows when faults started.
    if (isTick) {
        of.verdict = of.judge.update(now, of.evidence.totals(), of.evidence);
        of.isCondemned = of.isCondemned || of.verdict.isFaulty;
        of.verdict.isFaulty = of.isCondemned;
    }
    if (!of.isOwner) {
        follow(now, pool, of, actions);
        return;
    }
    if (!hasAuthority(of, now)) {
        // Another router may have taken over since, so the row is read before it is written.
        const bool wasReadSince = of.readSentAt && *of.readSentAt - of.confirmedAt >= m_limits.leaseTime - authorityMargin;
        if (!of.pending && (of.mustRead || !wasReadSince))
            read(now, actions);
        else if (!of.pending && now >= of.notBefore)
            commit(now, pool, of, rollout_state::inProgress, false, actions);
        return;
    }
    if (isTick)
        decide(now, pool, of, actions);
    if (of.mustRead) {
        read(now, actions);
        return;
    }
    const bool isRenewalDue = now - of.confirmedAt >= m_limits.renewInterval;
    if (!of.pending && now >= of.notBefore && (isRenewalDue || of.isCommitDue))
        commit(now, pool, of, rollout_state::inProgress, false, actions);
}

void rollout_coordinator::follow(time_point now, const pool_id& pool, rollout& of, rollout_actions& actions)
{
    const std::size_t ownRank = *rank();
    const bool isFirstTry = !of.readSentAt && !of.learnt && now - of.orderedAt >= static_cast<duration::rep>(ownRank) * rankDelay;
    const bool mayHaveEnded = of.row && of.row->record.order == of.at && now >= of.row->seenAt + m_limits.leaseTime + transitMargin
        && (!of.readSentAt || *of.readSentAt < of.row->seenAt + m_limits.leaseTime + transitMargin);
    if (mayTakeOver(of, now)) {
        commit(now, pool, of, rollout_state::inProgress, true, actions);
        return;
    }
    if (of.pending)
        return;
    if (of.mustRead || mayHaveEnded || now >= of.nextReadAt || (isFirstTry && now >= of.notBefore)) {
        of.nextReadAt = now + pollInterval * (ownRank < fastPollers ? 1 : slowPollFactor);
        read(now, actions);
    }
}

void rollout_coordinator::read(time_point now, rollout_actions& actions)
{
    if (m_readSentAt || now < m_readNotBefore)
        return;
    m_readSentAt = now;
    actions.emplace_back(read_rollouts {});
}

void rollout_coordinator::learnRow(time_point now, const pool_id& pool, rollout& of, const rollout_record& record, revision at, rollout_actions& actions)
{
    if (!of.row || of.row->at != at)
        of.row = rollout::known_row { record, at, now };
    if (record.order != of.at) {
        if (of.isOwner)
            lose(now, pool, of, "other_order", actions);
        return;
    }
    if (isFinal(record.state)) {
        rollout_permit final { pool, of.at, record.token, of.own.sequence + 1, record.state, record.state == rollout_state::completed ? 1.0 : 0.0, duration::zero() };
        end(now, pool, of, final, actions);
        return;
    }
    if (record.elapsed > of.base.elapsed + (of.row->seenAt - of.base.at))
        of.base = { record.elapsed, of.row->seenAt };
    const bool isOwn = record.owner == m_self && record.ownerStart == m_start;
    if (of.isOwner && (!isOwn || record.token != of.own.token)) {
        lose(now, pool, of, "taken_over", actions);
        return;
    }
    // A commit whose answer was lost has been performed.
    if (isOwn && !of.isOwner)
        become(now, pool, of, "answer_lost", actions);
}

void rollout_coordinator::become(time_point now, const pool_id& pool, rollout& of, std::string_view reason, rollout_actions& actions)
{
    const rollout_record& record = of.row->record;
    const bool isSameToken = of.own.order == of.at && of.own.token == record.token;
    of.isOwner = true;
    of.own = { pool, of.at, record.token, isSameToken ? of.own.sequence + 1 : 1, rollout_state::inProgress, record.share, duration::zero() };
    of.learnt.reset();
    of.judge.beginStep(of.evidence.totals());
    of.stepAt = now;
    of.brief = brief_step::none;
    of.isStepSettled = false;
    of.isCommitDue = false;
    actions.emplace_back(describe(now, pool, of, "rollout_owned", reason));
    actions.emplace_back(permits_changed {});
}

void rollout_coordinator::lose(time_point now, const pool_id& pool, rollout& of, std::string_view reason, rollout_actions& actions)
{
    actions.emplace_back(describe(now, pool, of, "rollout_lost", reason));
    actions.emplace_back(permits_changed {});
    of.isOwner = false;
    of.mustRead = true;
}

void rollout_coordinator::end(time_point now, const pool_id& pool, rollout& of, const rollout_permit& final, rollout_actions& actions)
{
    if (of.final)
        return;
    of.final = final;
    of.final->age = duration::zero();
    actions.emplace_back(permits_changed {});
    if (!of.isOwner)
        return;
    const bool isCompleted = final.state == rollout_state::completed;
    actions.emplace_back(describe(now, pool, of, isCompleted ? "rollout_completed" : "rollout_reverted", of.endReason));
    of.isOwner = false;
}

void rollout_coordinator::commit(time_point now, const pool_id& pool, rollout& of, rollout_state state, bool isNewOwner, rollout_actions& actions)
{
    const bool isSameOrder = of.row && of.row->record.order == of.at;
    rollout_record record;
    if (isSameOrder)
        record = of.row->record;
    record.pool = pool;
    record.order = of.at;
    record.version = of.order->version;
    record.elapsed = of.elapsed(now);
    record.state = state;
    if (isNewOwner) {
        record.owner = m_self;
        record.ownerStart = m_start;
        record.token = fencing_token(1 + std::max({ of.row ? of.row->record.token.value() : 0, of.own.token.value(), of.learnt ? of.learnt->permit.token.value() : 0 }));
        record.renewals = 0;
    } else {
        record.share = of.own.share;
        ++record.renewals;
    }
    of.isCommitDue = false;
    of.pending = rollout::pending_commit { record, now, isSameOrder ? "lease_ended" : "new_order" };
    const bool publishesState = isFinal(state) || !isSameOrder;
    actions.emplace_back(commit_rollout { std::move(record), of.row ? of.row->at : revision(), publishesState });
}

void rollout_coordinator::decide(time_point now, const pool_id& pool, rollout& of, rollout_actions& actions)
{
    const rollout_totals totals = of.evidence.totals();
    const duration stepElapsed = now - of.stepAt;
    if (!of.isStepSettled && stepElapsed >= (of.own.share < 1 || of.brief == brief_step::running ? settleTime : rollout_schedule::reactionTime)) {
        of.judge.beginStep(totals);
        of.isStepSettled = true;
        of.verdict.isSound = false;
    }
    const std::chrono::duration<double> known = of.elapsed(now);
    // Good answers at the smaller share do not outweigh faults of the brief step.
    of.isDoubted = of.isDoubted || (of.brief != brief_step::none && of.verdict.isSuspect);
    of.verdict.isSuspect = of.verdict.isSuspect || of.isDoubted;
    of.verdict.isSound = of.verdict.isSound && !of.isDoubted;
    // Requests that were refused for want of room reach no server, so they do not add to the budget.
    const std::uint64_t reached = std::min(totals.requests, totals.all.target.sent + totals.all.current.sent);
    const bool isRateKnown = known > std::min<duration>(rateTime, of.order->length / rateTimeDivisor);
    const rollout_progress progress {
        .length = of.order->length,
        .elapsed = of.elapsed(now),
        .stepElapsed = stepElapsed,
        .share = of.own.share,
        .trialShare = of.trialShare,
        .brief = of.brief,
        .perSecond = isRateKnown ? static_cast<double>(reached) / known.count() : 0,
        .exposed = totals.all.target.sent,
        .answers = totals.all.target.answers,
        .inProgress = totals.inProgress,
        .hasServers = of.targetServers > 0,
        .hasEvidence = isRateKnown && 2 * of.evidence.recentRouters(now) >= m_routers,
        .verdict = of.verdict,
    };
    const rollout_step step = rollout_schedule(m_limits).next(progress);
    if (step.brief == brief_step::running && of.brief == brief_step::none)
        of.trialShare = of.own.share;
    // The evidence of a brief step begins with it and goes on after it.
    const bool isBriefEnd = step.brief == brief_step::ended && of.brief == brief_step::running;
    of.brief = step.brief;
    if (step.share != of.own.share && step.state != rollout_state::completed) {
        of.own.share = step.share;
        ++of.own.sequence;
        of.stepAt = now;
        of.isStepSettled = isBriefEnd || !of.verdict.isSound;
        of.isCommitDue = true;
        actions.emplace_back(describe(now, pool, of, "rollout_step", step.reason));
        actions.emplace_back(permits_changed {});
    } else if (step.state == rollout_state::inProgress && now - of.lastWaitEvent >= waitEventInterval) {
        of.lastWaitEvent = now;
        actions.emplace_back(describe(now, pool, of, "rollout_waits", of.verdict.isOneServer ? "one_server" : step.reason));
    }
    if (!isFinal(step.state) || of.pending || of.mustRead || now < of.notBefore)
        return;
    of.endReason = step.reason;
    commit(now, pool, of, step.state, false, actions);
}

rollout_event rollout_coordinator::describe(time_point now, const pool_id& pool, const rollout& of, std::string_view kind, std::string_view reason) const
{
    const rollout_totals totals = of.evidence.totals();
    rollout_event event;
    event.kind = kind;
    event.pool = pool;
    event.order = of.at;
    event.version = of.order ? of.order->version : std::string();
    event.reason = reason;
    event.token = of.own.token;
    event.share = of.own.share;
    event.elapsed = of.elapsed(now);
    event.exposed = totals.all.target.sent;
    event.requests = totals.requests;
    event.answers = totals.all.target.answers;
    event.failures = totals.all.target.failures;
    event.slow = totals.all.target.slow;
    event.currentFaultShare = rollout_judge::baselineRate(totals.all.current);
    event.evidenceAge = of.evidence.age(now);
    return event;
}

}
