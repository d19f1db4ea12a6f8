#include "pimentoladder/Rollout/RolloutEvidence.h"

#include <algorithm>
#include <array>

namespace pimentoladder {

namespace {

    constexpr std::size_t serverBits = 64;

    // A router with a fault may report counts that decrease.
    std::uint64_t countSince(std::uint64_t now, std::uint64_t earlier) { return now > earlier ? now - earlier : 0; }

    // Rises with every count of a report, so that it orders a router's reports.
    std::uint64_t sumOfCounts(const rollout_evidence& reported)
    {
        std::uint64_t sum = reported.requests;
        for (const rollout_tally& tally : reported.tallies)
            sum += tally.sent + tally.answers + tally.failures + tally.slow;
        return sum;
    }

    void addEvidence(rollout_totals& totals, const rollout_evidence& added)
    {
        totals.requests += added.requests;
        for (const rollout_tally& tally : added.tallies) {
            const rollout_counts counts { tally.sent, tally.answers, tally.failures, tally.slow };
            rollout_comparison& route = totals.routes[tally.route];
            (tally.isTarget ? route.target : route.current) += counts;
            (tally.isTarget ? totals.all.target : totals.all.current) += counts;
        }
    }

}

rollout_counts& rollout_counts::operator+=(const rollout_counts& added)
{
    sent += added.sent;
    answers += added.answers;
    failures += added.failures;
    slow += added.slow;
    return *this;
}

rollout_counts rollout_counts::operator-(const rollout_counts& earlier) const
{
    return { countSince(sent, earlier.sent), countSince(answers, earlier.answers), countSince(failures, earlier.failures), countSince(slow, earlier.slow) };
}

rollout_comparison& rollout_comparison::operator+=(const rollout_comparison& added)
{
    target += added.target;
    current += added.current;
    return *this;
}

rollout_comparison rollout_comparison::operator-(const rollout_comparison& earlier) const
{
    return { target - earlier.target, current - earlier.current };
}

void rollout_evidence_sum::add(time_point now, const member_ref& from, const rollout_evidence& reported)
{
    const auto [at, isNew] = m_sources.try_emplace(from.vm, source { from.start, now, {} });
    source& known = at->second;
    if (from.start < known.start)
        return;
    if (from.start > known.start)
        addEvidence(m_earlierStarts, known.newest);
    // A report that a newer one has overtaken would make the counts decrease.
    if (!isNew && from.start == known.start && sumOfCounts(reported) < sumOfCounts(known.newest))
        return;
    known = { from.start, now, reported };
}

rollout_totals rollout_evidence_sum::totals() const
{
    rollout_totals sum = m_earlierStarts;
    for (const auto& [vm, known] : m_sources) {
        addEvidence(sum, known.newest);
        sum.inProgress += known.newest.inProgress;
    }
    return sum;
}

rollout_fault_spread rollout_evidence_sum::spread() const
{
    std::array<unsigned, serverBits> answered {};
    std::array<unsigned, serverBits> faulty {};
    for (const auto& [vm, known] : m_sources) {
        std::uint64_t servers = 0;
        std::uint64_t faultyServers = 0;
        for (const rollout_tally& tally : known.newest.tallies) {
            if (!tally.isTarget)
                continue;
            servers |= tally.servers;
            faultyServers |= tally.faultyServers;
        }
        for (std::size_t i = 0; i < serverBits; ++i) {
            answered.at(i) += servers >> i & 1U;
            faulty.at(i) += faultyServers >> i & 1U;
        }
    }
    rollout_fault_spread found;
    found.routers = m_sources.size();
    const auto worst = static_cast<std::size_t>(std::max_element(faulty.begin(), faulty.end()) - faulty.begin());
    for (std::size_t i = 0; i < serverBits; ++i) {
        found.servers += answered.at(i) > 0 ? 1 : 0;
        found.faultyServers += faulty.at(i) > 0 ? 1 : 0;
        found.otherFaultyPairs += i == worst ? 0 : faulty.at(i);
    }
    return found;
}

duration rollout_evidence_sum::age(time_point now) const
{
    duration oldest {};
    for (const auto& [vm, known] : m_sources) {
        if (now - known.receivedAt <= recentTime)
            oldest = std::max(oldest, now - known.receivedAt);
    }
    return oldest;
}

std::size_t rollout_evidence_sum::recentRouters(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_sources.begin(), m_sources.end(),
        [&](const auto& entry) { return now - entry.second.receivedAt <= recentTime; }));
}

}
