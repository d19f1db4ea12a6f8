#include "Fleet.h"

#include <algorithm>

namespace pimentoladder {

using namespace std::chrono_literals;

fleet::fleet(std::size_t routerCount, std::size_t serverCount, std::uint32_t floor, std::uint32_t ceiling)
{
    for (std::size_t i = 0; i < serverCount; ++i)
        view.listed.push_back({ server_id("server" + std::to_string(i)), data_centre_id("dc"), floor, ceiling });
    servers.resize(serverCount);
    m_jobs.resize(routerCount);
    m_starts.assign(routerCount, 1);
    for (std::size_t i = 0; i < routerCount; ++i)
        holders.push_back(std::make_unique<grant_holder>(shard_id("pool#0"), view));
    changeOwner(1, 0s);
}

member_ref fleet::ref(std::size_t router) const
{
    return { vm_id("router" + std::to_string(router)), incarnation(m_starts[router]) };
}

std::size_t fleet::serverNumber(const server_id& id) const
{
    return static_cast<std::size_t>(std::ranges::find(view.listed, id, &shard_server::id) - view.listed.begin());
}

void fleet::changeOwner(std::uint64_t token, duration wait)
{
    m_token = fencing_token(token);
    m_grantsFrom = now + wait;
    owner = std::make_unique<shard_scheduler>(
        shard_ownership { shard_id("pool#0"), pool_id("pool"), m_token, now, m_grantsFrom },
        shard_scheduler_dependencies { view, ledger, estimator, order, choice }, token);
    std::vector<shard_router> routers;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        routers.push_back({ ref(i), data_centre_id("dc") });
        holders[i]->onOwner(m_token, now);
    }
    owner->setRouters(routers, now);
}

request_number fleet::request(std::size_t router, const job& wanted, fingerprint print)
{
    const request_number number(m_nextRequest++);
    m_jobs[router][number] = wanted;
    holders[router]->onRequest({ number, wanted.workspace, wanted.cost * wanted.hintFactor, print, 0, wanted.model }, now);
    return number;
}

void fleet::withdraw(std::size_t router, request_number number)
{
    holders[router]->onWithdrawn(number);
}

void fleet::restartRouter(std::size_t router)
{
    ++m_starts[router];
    holders[router] = std::make_unique<grant_holder>(shard_id("pool#0"), view);
    holders[router]->onOwner(m_token, now);
    m_jobs[router].clear();
    std::vector<shard_router> routers;
    for (std::size_t i = 0; i < holders.size(); ++i)
        routers.push_back({ ref(i), data_centre_id("dc") });
    owner->setRouters(routers, now);
}

void fleet::send(std::size_t router, std::function<void()> deliver)
{
    // A link that loses a message is broken; both ends detect it and replace the link.
    if (m_random.index(1000) < faults.lostInThousand) {
        m_linkReplacedAt.try_emplace(router, now + 500ms);
        return;
    }
    const auto arrival = [&] {
        return now + faults.least + duration(static_cast<duration::rep>(m_random.index(static_cast<std::size_t>(faults.spread.count()) + 1)));
    };
    m_events.emplace(arrival(), deliver);
    if (m_random.index(1000) < faults.repeatedInThousand)
        m_events.emplace(arrival(), deliver);
}

void fleet::start(std::size_t router, const start_order& started)
{
    const grant_key key { started.token, started.grant };
    fake_server& server = servers[serverNumber(started.server)];
    server.running.insert(key);
    server.mostRunning = std::max(server.mostRunning, server.running.size());
    checkLimit(serverNumber(started.server));
    const job running = m_jobs[router].at(started.request);
    startedService[running.workspace] += running.cost;
    if (onStart)
        onStart(started, running);
    const std::uint64_t process = m_starts[router];
    m_events.emplace(now + running.service, [=, this] {
        servers[serverNumber(started.server)].running.erase(key);
        if (process == m_starts[router])
            end(router, started.request, running);
    });
}

void fleet::end(std::size_t router, request_number ended, const job& done)
{
    m_jobs[router].erase(ended);
    ++finished;
    served[done.workspace] += done.cost;
    holders[router]->onEnded(
        ended, done.isFailing ? grant_event::failed : grant_event::finished, done.cost, done.service);
}

// For each running grant, the running grants up to it must not exceed the limit
// in force when it was issued. Later grants may start earlier and under another
// limit.
void fleet::checkLimit(std::size_t server)
{
    std::uint32_t running = 0;
    for (const grant_key& key : servers[server].running) {
        if (++running > m_limitAtGrant[key])
            violations.push_back("server" + std::to_string(server) + " above the limit at grant");
    }
}

void fleet::checkNoIdleCapacity()
{
    if (owner->statistics().waiting == 0 || now < m_grantsFrom || !view.denied.empty() || !owner->modelDemands().empty())
        return;
    for (const shard_server& server : view.listed) {
        if (server.isInService && owner->inUse(server.id) < owner->limit(server.id))
            violations.push_back("work waits while " + server.id.value() + " is free");
    }
}

void fleet::step()
{
    while (!m_events.empty() && m_events.begin()->first <= now) {
        const auto event = m_events.extract(m_events.begin());
        event.mapped()();
    }
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const auto replaced = m_linkReplacedAt.find(i);
        if (replaced != m_linkReplacedAt.end() && replaced->second <= now) {
            m_linkReplacedAt.erase(replaced);
            owner->onRouterSuspected(ref(i), now);
            holders[i]->onLinkReplaced(now);
        }
        const holder_actions actions = holders[i]->onTick(now, now + ownerClockLead);
        for (const start_order& started : actions.starts)
            start(i, started);
        const member_ref from = ref(i);
        if (actions.report)
            send(i, [=, this, sent = *actions.report] { owner->onGrantReport(from, sent, now); });
        if (actions.inFlight)
            send(i, [=, this, sent = *actions.inFlight] { owner->onInFlightReport(from, sent, now); });
        if (actions.demand)
            send(i, [=, this, sent = *actions.demand] { owner->onAcquire(from, sent, now); });
    }
    const scheduler_actions actions = owner->onTick(now);
    checkNoIdleCapacity();
    decisions.insert(decisions.end(), actions.decisions.begin(), actions.decisions.end());
    for (const auto& [to, granted] : actions.grants) {
        const std::size_t router = std::stoul(to.vm.value().substr(6));
        for (const grant_entry& entry : granted.entries)
            m_limitAtGrant[{ granted.token, entry.number }] = owner->limit(entry.server);
        send(router, [=, this, sent = granted] { holders[router]->onGrant(sent); });
    }
    for (const auto& [to, recalled] : actions.recalls) {
        const std::size_t router = std::stoul(to.vm.value().substr(6));
        send(router, [=, this, sent = recalled] { holders[router]->onRecall(sent); });
    }
}

void fleet::run(duration time)
{
    const time_point end = now + time;
    while (now < end) {
        step();
        now = std::min(end, std::max(now + 1ms, nextStep()));
    }
}

time_point fleet::nextStep() const
{
    time_point next = m_events.empty() ? time_point::max() : m_events.begin()->first;
    for (const auto& [router, replacedAt] : m_linkReplacedAt)
        next = std::min(next, replacedAt);
    for (const auto& holder : holders)
        next = std::min(next, holder->nextDeadline().value_or(time_point::max()));
    return std::min(next, owner->nextDeadline().value_or(time_point::max()));
}

}
