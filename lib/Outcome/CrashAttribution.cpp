#include "pimentoladder/Outcome/CrashAttribution.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <unordered_map>

namespace pimentoladder {

namespace {

    // Two routers that confirm a trait suffice; more would only lengthen the messages.
    constexpr std::size_t maxReporters = 3;
    // Two different requests tell a common part from one request that is sent repeatedly.
    constexpr std::size_t maxRequests = 2;
    constexpr std::size_t minReporters = 2;
    // Bytes that a server sent before it ended are read up to this much later.
    constexpr duration minAliveDelay = std::chrono::milliseconds(100);
    // A router that was suspended reads all that had arrived before the server ended at
    // once, so bytes must arrive over this time to show that the server is alive.
    constexpr duration minAliveSpan = std::chrono::milliseconds(200);
    // Probability that a trait which crashes servers is among the reported suspects of a
    // loss; other losses, and reports that are missing, make up the rest.
    constexpr double presenceIfGuilty = 0.9;
    constexpr double minChance = 0.01;
    // Interval at which the begins that are missed are counted again.
    constexpr duration recheckInterval = std::chrono::milliseconds(200);
    // Returns how many series of losses the ascending times form.
    std::size_t seriesCount(const std::vector<time_point>& times)
    {
        std::size_t count = times.empty() ? 0 : 1;
        for (std::size_t i = 1; i < times.size(); ++i)
            count += times[i] - times[i - 1] >= crash_attribution::seriesGap ? 1 : 0;
        return count;
    }

    // Merges two sets and keeps the lowest entries, which makes the result independent
    // of the order of merges. Returns whether \p into has changed.
    template <typename Value, typename Values>
    bool mergeLowest(std::set<Value>& into, const Values& from, std::size_t limit)
    {
        const std::set<Value> before = into;
        into.insert(from.begin(), from.end());
        while (into.size() > limit)
            into.erase(std::prev(into.end()));
        return into != before;
    }

}

std::string_view traitStateName(trait_state state)
{
    switch (state) {
    case trait_state::clear:
        return "clear";
    case trait_state::suspected:
        return "suspected";
    case trait_state::quarantined:
        return "quarantined";
    }
    return "clear";
}

crash_attribution::loss& crash_attribution::lossFor(time_point at, const loss_key& key)
{
    const auto [entry, isNew] = m_losses.try_emplace(key);
    loss& held = entry->second;
    if (!isNew) {
        held.at = std::min(held.at, at);
        return held;
    }
    held.at = at;
    held.begunBefore = m_begun;
    m_isDirty = true;
    if (m_losses.size() > maxLosses) {
        auto oldest = m_losses.end();
        for (auto each = m_losses.begin(); each != m_losses.end(); ++each) {
            const bool isOlder = each != entry && (oldest == m_losses.end() || each->second.at < oldest->second.at);
            oldest = isOlder ? each : oldest;
        }
        m_losses.erase(oldest);
    }
    return held;
}

void crash_attribution::onLost(time_point now, const server_id& server, incarnation start, const traits_of_request& request)
{
    server_loss own { server, start, {}, false, {} };
    for (std::size_t i = 0; i < std::min(request.traits.size(), maxTraits); ++i)
        own.suspects.push_back({ request.traits[i], static_cast<std::uint32_t>(i), false, { m_self }, { request.request } });
    addSuspects(now, own, true);
}

void crash_attribution::onBegun(time_point, const traits_of_request& request)
{
    ++m_begun;
    for (auto& [key, held] : m_losses) {
        for (const request_trait& trait : request.traits) {
            const auto found = held.suspects.find(trait);
            if (found == held.suspects.end() || std::exchange(found->second.isCleared, true))
                continue;
            found->second.isOwnChange = true;
            m_isDirty = true;
        }
    }
}

void crash_attribution::onServerAlive(time_point now, const server_id& server, time_point openedAt)
{
    if (m_losses.empty())
        return;
    for (auto each = m_losses.lower_bound({ server, {} }); each != m_losses.end() && each->first.server == server; ++each) {
        loss& held = each->second;
        if (held.isRefuted || openedAt >= held.at || now - held.at < minAliveDelay)
            continue;
        if (!held.aliveAt)
            held.aliveAt = now;
        if (now - *held.aliveAt < minAliveSpan)
            continue;
        held.isRefuted = true;
        held.isOwnChange = true;
        m_isDirty = true;
    }
}

void crash_attribution::merge(time_point now, const server_losses& received)
{
    for (const server_loss& each : received.entries) {
        if (each.age < lifetime)
            addSuspects(now, each, false);
    }
}

void crash_attribution::addSuspects(time_point now, const server_loss& reported, bool isOwn)
{
    loss& held = lossFor(now - reported.age, { reported.server, reported.serverStart });
    if (reported.isRefuted && !std::exchange(held.isRefuted, true)) {
        held.isMergedChange = true;
        m_isDirty = true;
    }
    for (const crash_suspect& entry : reported.suspects) {
        const bool isKnown = held.suspects.contains(entry.trait);
        if (!isKnown && held.suspects.size() >= maxSuspects)
            continue;
        suspect& known = held.suspects[entry.trait];
        bool isChanged = !isKnown;
        known.depth = std::max(known.depth, entry.depth);
        isChanged = (entry.isCleared && !std::exchange(known.isCleared, true)) || isChanged;
        isChanged = mergeLowest(known.reporters, entry.reporters, maxReporters) || isChanged;
        isChanged = mergeLowest(known.requests, entry.requests, maxRequests) || isChanged;
        (isOwn ? known.isOwnChange : known.isMergedChange) |= isChanged;
        m_isDirty = m_isDirty || isChanged;
    }
}

server_losses crash_attribution::encode(time_point now, scope wanted) const
{
    const auto isWanted = [wanted](const auto& held) {
        return wanted == scope::everything || held.isOwnChange || (wanted == scope::allChanges && held.isMergedChange);
    };
    server_losses encoded;
    for (const auto& [key, held] : m_losses) {
        server_loss made { key.server, key.start, std::max(now - held.at, duration::zero()), held.isRefuted, {} };
        for (const auto& [trait, known] : held.suspects) {
            if (!isWanted(known))
                continue;
            made.suspects.push_back({ trait, known.depth, known.isCleared, { known.reporters.begin(), known.reporters.end() },
                { known.requests.begin(), known.requests.end() } });
        }
        if (!made.suspects.empty() || isWanted(held))
            encoded.entries.push_back(std::move(made));
    }
    return encoded;
}

evidence_changes crash_attribution::takeChanges(time_point now)
{
    evidence_changes taken { encode(now, scope::ownChanges), encode(now, scope::allChanges) };
    for (auto& [key, held] : m_losses) {
        held.isOwnChange = false;
        held.isMergedChange = false;
        for (auto& [trait, known] : held.suspects) {
            known.isOwnChange = false;
            known.isMergedChange = false;
        }
    }
    return taken;
}

server_losses crash_attribution::evidence(time_point now) const
{
    return encode(now, scope::everything);
}

void crash_attribution::removeExpired(time_point now)
{
    std::erase_if(m_losses, [now](const auto& each) { return now - each.second.at >= lifetime; });
}

crash_attribution::findings crash_attribution::collect() const
{
    // Most traits are on one loss only, so that they are left out first.
    std::unordered_map<std::uint64_t, std::size_t> counts;
    const auto forEachUncleared = [this](auto use) {
        for (const auto& [key, held] : m_losses) {
            for (const auto& [trait, known] : held.suspects) {
                if (!held.isRefuted && !known.isCleared)
                    use(key, held, trait, known);
            }
        }
    };
    forEachUncleared([&](const loss_key&, const loss&, const request_trait& trait, const suspect&) { ++counts[trait.id]; });
    findings found;
    forEachUncleared([&](const loss_key& key, const loss& held, const request_trait& trait, const suspect& known) {
        if (counts[trait.id] < suspicionThreshold)
            return;
        finding& sum = found[trait];
        sum.losses.push_back(&key);
        sum.times.push_back(held.at);
        sum.reporters.insert(known.reporters.begin(), known.reporters.end());
        sum.requests.insert(known.requests.begin(), known.requests.end());
        sum.begunBefore = sum.losses.size() == 1 ? held.begunBefore : std::min(sum.begunBefore, held.begunBefore);
        sum.ownLosses += known.reporters.contains(m_self) ? 1 : 0;
        sum.depth = std::max(sum.depth, known.depth);
    });
    for (auto& [trait, sum] : found)
        std::sort(sum.times.begin(), sum.times.end());
    return found;
}

bool crash_attribution::isSufficient(const request_trait& trait, const finding& found) const
{
    const bool isConfirmed = found.reporters.size() >= minReporters || found.ownLosses >= quarantineThreshold;
    // If only one request has been lost under a part, that request is at fault.
    const bool isCommon = trait.kind == trait_kind::request || found.requests.size() >= maxRequests;
    return found.losses.size() >= quarantineThreshold && isConfirmed && isCommon;
}

bool crash_attribution::hasMissedBegins(const request_trait& trait, const finding& found) const
{
    return m_popularity.fractionOf(trait) * static_cast<double>((m_begun - found.begunBefore) * m_routers) >= minExpectedBegins;
}

/// Returns the logarithm of how much likelier the losses since the first one under the
/// trait are if it crashes servers than if it was on them by chance.
double crash_attribution::evidenceAgainst(const request_trait& trait, const finding& found) const
{
    const double fraction = m_popularity.fractionOf(trait);
    double evidence = 0;
    for (const auto& [key, held] : m_losses) {
        if (held.isRefuted || held.at < found.times.front())
            continue;
        const auto requests = std::count_if(held.suspects.begin(), held.suspects.end(), [](const auto& each) { return each.first.kind == trait_kind::request; });
        const double byChance = std::clamp(1 - std::pow(1 - fraction, static_cast<double>(requests)), minChance, 1 - minChance);
        const auto known = held.suspects.find(trait);
        const bool isPresent = known != held.suspects.end() && !known->second.isCleared;
        evidence += isPresent ? std::log(presenceIfGuilty / byChance) : std::log((1 - presenceIfGuilty) / (1 - byChance));
    }
    return evidence;
}

/// Returns whether chance does not explain that the trait was on the lost servers. A
/// quarantined trait stays so until the evidence speaks for it.
bool crash_attribution::isResponsible(const request_trait& trait, const finding& found) const
{
    const double needed = stateOf(trait) == trait_state::quarantined ? 0 : minEvidence;
    return m_popularity.fractionOf(trait) < commonFraction || evidenceAgainst(trait, found) >= needed || hasMissedBegins(trait, found);
}

std::map<request_trait, crash_attribution::verdict> crash_attribution::judge(time_point now, const findings& found)
{
    std::map<request_trait, verdict> verdicts;
    std::vector<const findings::value_type*> sufficient;
    for (const auto& entry : found) {
        const auto& [trait, sum] = entry;
        if (sum.losses.size() >= suspicionThreshold)
            verdicts[trait] = { trait_state::suspected, seriesCount(sum.times), sum.times.back() };
        if (!isSufficient(trait, sum))
            continue;
        const time_point settled = sum.times[quarantineThreshold - 1] + settleTime;
        const time_point due = now < settled ? settled : now + recheckInterval;
        if (now >= settled && isResponsible(trait, sum))
            sufficient.push_back(&entry);
        else
            m_nextEvaluation = std::min(m_nextEvaluation.value_or(due), due);
    }
    // A common trait is on every server, so it is among the suspects of every loss. The
    // part with most evidence is held responsible for the losses under it, of two that
    // always come together the more specific one. One request that is sent repeatedly
    // does not explain the losses of its parts. Traits that are quarantined already come
    // first: if two took turns, each would be sent half of the time.
    std::map<request_trait, double> evidence;
    for (const auto* entry : sufficient)
        evidence[entry->first] = evidenceAgainst(entry->first, entry->second);
    const auto rank = [&](const findings::value_type* entry) {
        return std::tuple(stateOf(entry->first) != trait_state::quarantined, entry->first.kind == trait_kind::request, -evidence.at(entry->first), ~entry->second.depth, entry->first);
    };
    std::sort(sufficient.begin(), sufficient.end(), [&](const auto* left, const auto* right) { return rank(left) < rank(right); });
    std::set<const loss_key*> explained;
    for (const auto* entry : sufficient) {
        const auto& [trait, sum] = *entry;
        const auto unexplained = std::count_if(sum.losses.begin(), sum.losses.end(), [&](const loss_key* each) { return !explained.contains(each); });
        const bool isQuarantined = stateOf(trait) == trait_state::quarantined;
        if (!isQuarantined && static_cast<std::size_t>(unexplained) < quarantineThreshold)
            continue;
        verdicts[trait].state = trait_state::quarantined;
        if (trait.kind == trait_kind::promptPart)
            explained.insert(sum.losses.begin(), sum.losses.end());
    }
    return verdicts;
}

std::vector<trait_change> crash_attribution::evaluate(time_point now)
{
    std::vector<trait_change> changes;
    const bool isDue = m_nextEvaluation && now >= *m_nextEvaluation;
    const bool isDirtyDue = m_isDirty && now - m_evaluatedAt >= evaluationInterval;
    if (!isDirtyDue && !isDue)
        return changes;
    m_evaluatedAt = now;
    m_isDirty = false;
    m_nextEvaluation.reset();
    removeExpired(now);
    const findings found = collect();
    for (const auto& [key, held] : m_losses)
        m_nextEvaluation = std::min(m_nextEvaluation.value_or(held.at + lifetime), held.at + lifetime);
    std::map<request_trait, verdict> judged = judge(now, found);
    const std::map<request_trait, verdict> before = std::exchange(m_verdicts, std::move(judged));
    static const finding none;
    for (const auto& [trait, was] : before) {
        if (!m_verdicts.contains(trait))
            changes.push_back(describe(now, trait, trait_state::clear, none));
    }
    for (const auto& [trait, is] : m_verdicts) {
        const auto was = before.find(trait);
        if (was == before.end() || was->second.state != is.state)
            changes.push_back(describe(now, trait, is.state, found.at(trait)));
    }
    return changes;
}

trait_change crash_attribution::describe(time_point now, const request_trait& trait, trait_state state, const finding& found)
{
    trait_change made { trait, state, {}, { found.reporters.begin(), found.reporters.end() }, {}, {} };
    for (const loss_key* each : found.losses)
        made.servers.push_back(each->server);
    if (!found.times.empty()) {
        made.firstLossAge = now - found.times.front();
        made.lastLossAge = now - found.times.back();
    }
    return made;
}

bool crash_attribution::isSuspected(const traits_of_request& request) const
{
    const auto lossesUnder = [this](const request_trait& trait) {
        return std::count_if(m_losses.begin(), m_losses.end(), [&](const auto& each) {
            const auto known = each.second.suspects.find(trait);
            return !each.second.isRefuted && known != each.second.suspects.end() && !known->second.isCleared;
        });
    };
    return std::any_of(request.traits.begin(), request.traits.end(), [&](const request_trait& trait) {
        const bool isRare = m_popularity.fractionOf(trait) < commonFraction;
        return stateOf(trait) == trait_state::quarantined || (isRare && static_cast<std::size_t>(lossesUnder(trait)) >= suspicionThreshold);
    });
}

trait_state crash_attribution::stateOf(const request_trait& trait) const
{
    const auto found = m_verdicts.find(trait);
    return found == m_verdicts.end() ? trait_state::clear : found->second.state;
}

std::optional<request_trait> crash_attribution::findTrait(const traits_of_request& request, trait_state state) const
{
    if (m_verdicts.empty())
        return std::nullopt;
    for (const request_trait& trait : request.traits) {
        if (stateOf(trait) >= state)
            return trait;
    }
    return std::nullopt;
}

std::optional<time_point> crash_attribution::trialDue(const request_trait& trait) const
{
    const auto found = m_verdicts.find(trait);
    if (found == m_verdicts.end() || found->second.state != trait_state::quarantined)
        return std::nullopt;
    duration delay = firstTrialDelay;
    for (std::size_t i = 1; i < found->second.series && delay < lifetime; ++i)
        delay *= trialDelayGrowth;
    return found->second.lastLossAt + delay;
}

std::vector<trait_change> crash_attribution::list(time_point now) const
{
    std::vector<trait_change> all;
    const findings found = collect();
    for (const auto& [trait, is] : m_verdicts) {
        if (const auto evidence = found.find(trait); evidence != found.end())
            all.push_back(describe(now, trait, is.state, evidence->second));
    }
    return all;
}

}
