#include "FairFleet.h"

#include <cmath>

namespace pimentoladder::dispatch_test {

namespace {

    constexpr std::size_t readerCount = 3;
    constexpr duration step = 5ms;
    constexpr duration usageInterval = 300ms;
    constexpr duration usualDelay = 3ms;
    constexpr double tokensPerMillisecond = 51.1; // That an engine reads.
    constexpr std::uint32_t sharedTokens = 13'300;
    constexpr std::uint32_t outputTokens = 120;
    constexpr std::size_t requestsOfSlack = 3;
    constexpr std::int64_t spanSeconds = 6;
    constexpr duration objective = 800ms; // Of the streams of makePlan.

    double tokensOf(const load_profile& load)
    {
        return sharedTokens + load.ownTokens + 2.0 * outputTokens;
    }

    registered_server makeEngine(const std::string& id, std::size_t slots)
    {
        registered_server made = makeServer(id, "llm");
        made.slots = static_cast<std::uint32_t>(slots);
        return made;
    }

    dispatch_limits limitsOf(const std::string& name)
    {
        dispatch_limits limits;
        limits.selection.self = vm_id(name);
        limits.selection.ownDataCentre = data_centre_id("a");
        return limits;
    }

}

fair_fleet::router::router(const std::string& ofName)
    : name(ofName)
    , core(limitsOf(ofName), hashName(ofName))
{
}

fair_fleet::fair_fleet(std::size_t routers, std::size_t engines, fleet_conditions conditions, std::vector<load_profile> loads)
    : m_conditions(std::move(conditions))
    , m_loads(std::move(loads))
    , m_random(m_conditions.seed)
{
    serving_plan plan = makePlan();
    plan.tokensPerSecond = 25'000 * static_cast<double>(engines);
    plan.workspaces.emplace();
    for (const load_profile& load : m_loads)
        plan.workspaces->push_back({ workspace_id(load.workspace), { "key-" + load.workspace }, {} });
    std::vector<vm_id> names;
    for (std::size_t i = 0; i < routers; ++i) {
        m_routers.push_back(std::make_unique<router>("router-" + std::to_string(i)));
        m_routers.back()->reportAt = m_now + usageInterval * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(routers);
        names.emplace_back(m_routers.back()->name);
    }
    for (std::size_t i = 0; i < engines; ++i)
        m_engines["engine-" + std::to_string(i)].busyUntil = m_now;
    for (const auto& each : m_routers) {
        each->core.applyPlan(plan);
        for (const auto& [id, state] : m_engines)
            each->core.putServer(m_now, makeEngine(id, m_conditions.slots));
        each->core.markServersListed(m_now);
        each->core.setRouters(names);
    }
    for (const std::size_t late : m_conditions.lateRouters)
        m_routers[late]->core.setLoopLag(m_now, 150ms);
    for (std::size_t i = 0; i < readerCount; ++i)
        m_readers.try_emplace(i);
}

void fair_fleet::send(std::size_t from, std::size_t to, message content)
{
    const bool isHarmed = m_now - m_start >= m_conditions.harmFrom;
    const bool isLost = m_now - m_start >= m_conditions.cutFrom || (isHarmed && m_random.index(100) < m_conditions.lostPercent);
    if (!isLost)
        m_messages.emplace(m_now + (isHarmed ? m_conditions.delay : usualDelay), message_on_way { from, to, std::move(content) });
}

void fair_fleet::exchange()
{
    if (m_now - m_start >= m_conditions.readersReplacedAt && !std::exchange(m_areReadersReplaced, true)) {
        for (auto& [index, sums] : m_readers)
            sums = {};
    }
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        if (m_now < m_routers[i]->reportAt)
            continue;
        m_routers[i]->reportAt += usageInterval;
        const usage_report report = m_routers[i]->core.takeUsage(m_now);
        for (std::size_t reader = 0; reader < readerCount; ++reader)
            send(i, reader, report);
    }
}

void fair_fleet::deliver(const message_on_way& arrived)
{
    if (const auto* totals = std::get_if<usage_totals>(&arrived.content)) {
        m_routers[arrived.to]->core.setFleetUsage(m_now, *totals);
        return;
    }
    usage_aggregator& sums = m_readers.at(arrived.to);
    sums.onReport(m_now, { vm_id(m_routers[arrived.from]->name), incarnation(1) }, std::get<usage_report>(arrived.content));
    if (arrived.from % readerCount == arrived.to)
        send(arrived.to, arrived.from, sums.totals(m_now));
}

void fair_fleet::stallEngines()
{
    if (std::exchange(m_stalledSecond, secondNow()) == secondNow() || m_conditions.stalledPercent == 0)
        return;
    for (auto& [id, each] : m_engines) {
        if (m_random.index(100) < m_conditions.stalledPercent)
            each.busyUntil = std::max(each.busyUntil, m_now) + m_conditions.stall;
    }
}

void fair_fleet::ask()
{
    for (const load_profile& load : m_loads) {
        if (m_now - m_start < load.from)
            continue;
        double& due = m_due[load.workspace];
        due += load.requestsPerSecond * std::chrono::duration<double>(step).count();
        for (; due >= 1; due -= 1)
            sendRequest(load);
    }
}

void fair_fleet::sendRequest(const load_profile& load)
{
    const std::size_t index = load.routers[m_random.index(load.routers.size())];
    router& to = *m_routers[index];
    inbound_request request;
    request.callerId = "id";
    request.host = "host";
    request.path = "/stream/1";
    request.keyDigest = "key-" + load.workspace;
    request.timeLeft = 10s;
    const std::uint64_t shared = hashName(load.workspace) + m_random.index(load.sharedPrompts);
    request.prompt = prompt_work { { { shared, sharedTokens }, { ++m_sent, load.ownTokens } }, sharedTokens + load.ownTokens, outputTokens };
    second_of_service& second = m_history[load.workspace][secondNow()];
    second.asked += tokensOf(load);
    request_number number;
    const dispatch_actions actions = to.core.onRequest(m_now, request, number);
    if (!find<open_dispatch>(actions)) {
        ++second.refused;
        return;
    }
    if (!m_conditions.countsBegun)
        second.got += tokensOf(load);
    m_asked[{ index, number }] = { load.workspace, tokensOf(load), m_now };
    perform(index, actions);
}

void fair_fleet::perform(std::size_t at, const dispatch_actions& actions)
{
    double unread = 0;
    for (const dispatch_action& each : actions) {
        if (const auto* decided = std::get_if<dispatch_decision>(&each))
            unread = decided->uncachedTokens;
        if (const auto* opened = std::get_if<open_dispatch>(&each)) {
            m_routers[at]->core.mayStartSending(m_now, opened->attempt);
            m_attempts[{ at, opened->attempt }] = opened->request;
            m_engines.at(opened->server.value()).queue.push_back({ { at, opened->attempt }, unread, m_now });
        }
        // An engine drops a request that it has not begun.
        if (const auto* cancelled = std::get_if<cancel_dispatch>(&each))
            m_attempts.erase({ at, cancelled->attempt });
    }
}

/// Begins the attempts that wait at an engine, in their order, as far as it has time and slots.
void fair_fleet::beginWaiting(const std::string& id, engine& at)
{
    while (!at.queue.empty()) {
        const waiting_attempt next = at.queue.front();
        if (!m_attempts.contains(next.key)) {
            at.queue.pop_front();
            continue;
        }
        time_point start = std::max(at.busyUntil, next.since);
        const auto running = static_cast<std::size_t>(std::distance(at.ends.upper_bound(start), at.ends.end()));
        if (running >= m_conditions.slots)
            start = *std::next(at.ends.rbegin(), static_cast<std::ptrdiff_t>(m_conditions.slots) - 1);
        if (start > m_now)
            return;
        at.queue.pop_front();
        at.busyUntil = start + std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(next.unread / tokensPerMillisecond));
        at.ends.erase(at.ends.begin(), at.ends.upper_bound(start));
        at.ends.insert(at.busyUntil + m_conditions.answerTime);
        at.readBySecond[secondNow()] += next.unread;
        m_events.emplace(at.busyUntil, pending_event { next.key, 0, id });
    }
}

reported_load fair_fleet::loadOf(const engine& reporting) const
{
    const auto slots = static_cast<std::uint32_t>(m_conditions.slots);
    const auto running = static_cast<std::uint32_t>(std::distance(reporting.ends.upper_bound(m_now), reporting.ends.end()));
    return { std::min(running, slots), static_cast<std::uint32_t>(reporting.queue.size()), slots };
}

void fair_fleet::advance(const pending_event& due)
{
    const auto [at, attempt] = due.key;
    dispatcher& core = m_routers[at]->core;
    const auto known = m_attempts.find(due.key);
    if (known == m_attempts.end())
        return;
    const asked_request& asked = m_asked.at({ at, known->second });
    if (due.step == 1) {
        m_asked.erase({ at, known->second });
        m_attempts.erase(known);
        perform(at, core.onAttemptEnded(m_now, attempt, { attempt_end_kind::complete, true }));
        return;
    }
    if (m_conditions.countsBegun) {
        second_of_service& second = m_history[asked.workspace][secondNow()];
        second.got += asked.tokens;
        second.late += m_now - asked.at > objective ? 1 : 0;
    }
    served_head head;
    head.status = 200;
    head.isAuthentic = true;
    head.isEventStream = true;
    const std::string number = due.server.substr(due.server.rfind('-') + 1);
    if (m_now - m_start >= 2s && static_cast<std::size_t>(std::stoi(number)) < m_conditions.limitedEngines)
        head.limit = { limit_notice::limited, 2 };
    if (m_conditions.reportsLoad)
        head.load = loadOf(m_engines.at(due.server));
    perform(at, core.onHead(m_now, attempt, head));
    perform(at, core.onBytes(m_now, attempt, "event", { 1, 1 }));
    pending_event end = due;
    end.step = 1;
    m_events.emplace(m_now + m_conditions.answerTime, end);
}

void fair_fleet::run(duration length)
{
    const time_point end = m_now + length;
    while (m_now < end) {
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            m_routers[i]->core.confirm(m_now);
            perform(i, m_routers[i]->core.onTick(m_now));
        }
        while (!m_messages.empty() && m_messages.begin()->first <= m_now)
            deliver(m_messages.extract(m_messages.begin()).mapped());
        while (!m_events.empty() && m_events.begin()->first <= m_now)
            advance(m_events.extract(m_events.begin()).mapped());
        exchange();
        stallEngines();
        ask();
        for (auto& [id, each] : m_engines)
            beginWaiting(id, each);
        m_now += step;
    }
}

service_in_span fair_fleet::serviceInSpan(const std::string& workspace, std::int64_t from) const
{
    service_in_span span;
    for (const auto& [each, seconds] : m_history) {
        double got = 0;
        for (const auto& [at, second] : seconds)
            got += at >= from && at < from + spanSeconds ? second.got : 0;
        if (got <= span.most)
            continue;
        span.most = got;
        span.best = each;
    }
    const auto secondOf = [&](const std::string& of, std::int64_t at) {
        const auto seconds = m_history.find(of);
        if (seconds == m_history.end() || !seconds->second.contains(at))
            return second_of_service {};
        return seconds->second.at(at);
    };
    for (std::int64_t at = from; at < from + spanSeconds; ++at) {
        const second_of_service mine = secondOf(workspace, at);
        span.hasWaited = span.hasWaited && mine.refused + mine.late > 0;
        span.owed += std::min(mine.asked, secondOf(span.best, at).got);
        span.got += mine.got;
    }
    double largest = 0;
    for (const load_profile& load : m_loads)
        largest = std::max(largest, load.workspace == workspace ? tokensOf(load) : 0);
    span.required = span.owed / 2 - requestsOfSlack * largest;
    return span;
}

std::vector<std::string> fair_fleet::findUnfairSpans() const
{
    std::vector<std::string> found;
    const std::int64_t last = secondNow() - spanSeconds;
    for (std::int64_t from = 0; from <= last; ++from) {
        for (const load_profile& load : m_loads) {
            const service_in_span span = serviceInSpan(load.workspace, from);
            if (span.hasWaited && span.got < span.required)
                found.push_back(load.workspace + " got " + std::to_string(std::llround(span.got)) + " of " + std::to_string(std::llround(span.owed)) + " from second " + std::to_string(from) + ", " + span.best + " " + std::to_string(std::llround(span.most)));
        }
    }
    return found;
}

double fair_fleet::served(const std::string& workspace, duration from, duration to) const
{
    double sum = 0;
    for (const auto& [at, second] : m_history.at(workspace))
        sum += std::chrono::seconds(at) >= from && std::chrono::seconds(at) < to ? second.got : 0;
    return sum;
}

double fair_fleet::engineUse(duration from, duration to) const
{
    double read = 0;
    for (const auto& [id, each] : m_engines) {
        for (const auto& [at, tokens] : each.readBySecond)
            read += std::chrono::seconds(at) >= from && std::chrono::seconds(at) < to ? tokens : 0;
    }
    const double possible = std::chrono::duration<double, std::milli>(to - from).count() * tokensPerMillisecond * static_cast<double>(m_engines.size());
    return read / possible;
}

}
