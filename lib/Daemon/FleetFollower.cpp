#include "pimentoladder/Daemon/FleetFollower.h"

#include <algorithm>
#include <compare>
#include <utility>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    // Interval at which routers exchange usage and observed service of servers.
    // A queue at an engine grows within half a second, so the interval must be shorter.
    constexpr duration usageInterval = 300ms;
    // Interval at which changed evidence on lost servers is sent. A server takes down the
    // requests of many routers at once, so that their reports arrive together.
    constexpr duration evidenceInterval = 150ms;
    // Losses in one message, which keeps it below the maximum size of a frame.
    constexpr std::size_t maxLossesPerMessage = 8;

    // Interval at which this router's own member row is checked, and written if needed.
    constexpr duration registrationInterval = 250ms;

    constexpr const char* memberTable = "pimentoladder-members";

    // Time after which the answer of a reader is logged.
    constexpr duration lateAnswer = 1s;

    std::int64_t toMilliseconds(duration value)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    }

    peer_link_settings linkSettings(const fleet_router& self)
    {
        peer_link_settings link;
        link.self = { self.vm, self.start };
        return link;
    }

    std::partial_ordering planOrder(const fleet_codec& codec, const published_row& left, const published_row& right)
    {
        const auto first = codec.decodeOperatorRow(left.key, left.value);
        const auto second = codec.decodeOperatorRow(right.key, right.value);
        if (!first || !second || !std::holds_alternative<serving_plan>(*first) || !std::holds_alternative<serving_plan>(*second))
            return std::partial_ordering::unordered;
        return std::get<serving_plan>(*first).version <=> std::get<serving_plan>(*second).version;
    }

    std::partial_ordering registrationOrder(const fleet_codec& codec, const published_row& left, const published_row& right)
    {
        const auto first = codec.decodeServer(left.key, left.value);
        const auto second = codec.decodeServer(right.key, right.value);
        if (!first || !second)
            return std::partial_ordering::unordered;
        // Heartbeats that followed the last value of a deleted row may not have been received.
        if (left.isDeleted || right.isDeleted)
            return first->start <=> second->start;
        return std::pair(first->start, first->sequence) <=> std::pair(second->start, second->sequence);
    }

}

bool decoded_rules::isSignificant(std::uint32_t table, const published_row& before, const published_row& after) const
{
    if (table == static_cast<std::uint32_t>(followed_table::operators) && before.value == after.value && before.position.at != after.position.at) {
        // An operator can give the same order again, for example after a roll-out was reverted.
        const auto repeated = m_codec.decodeOperatorRow(after.key, after.value);
        return repeated && std::holds_alternative<ordered_rollout>(*repeated);
    }
    if (table != static_cast<std::uint32_t>(followed_table::servers))
        return before.value != after.value;
    const auto old = m_codec.decodeServer(before.key, before.value);
    const auto now = m_codec.decodeServer(after.key, after.value);
    if (!old || !now)
        return old.has_value() != now.has_value();
    registered_server expected = *old;
    // The remaining cold-start time shrinks with every report, so a decrease alone
    // is not significant while the server is cold.
    if (now->remainingColdTime <= old->remainingColdTime && now->remainingColdTime > duration::zero())
        expected.remainingColdTime = now->remainingColdTime;
    expected.sequence = now->sequence;
    return !(expected == *now);
}

std::partial_ordering decoded_rules::order(std::uint32_t table, const published_row& left, const published_row& right) const
{
    if (left.value == right.value && left.isDeleted == right.isDeleted)
        return std::partial_ordering::equivalent;
    std::partial_ordering order = std::partial_ordering::unordered;
    if (table == static_cast<std::uint32_t>(followed_table::operators))
        order = planOrder(m_codec, left, right);
    if (table == static_cast<std::uint32_t>(followed_table::servers))
        order = registrationOrder(m_codec, left, right);
    // The values differ, so equal numbers do not tell which one is newer.
    return std::is_eq(order) ? std::partial_ordering::unordered : order;
}

fleet_follower::fleet_follower(follower_parts parts, const fleet_router& self, const std::string& freshKey, std::uint64_t seed)
    : m_parts(parts)
    , m_self(self)
    , m_rules(parts.codec)
    , m_relay(self.vm, self.dataCentre, m_rules, parts.limits, seed)
    , m_driver(parts.dispatch.loop(), m_relay)
    , m_registration(self, freshKey, m_memberCodec)
    , m_mesh(parts.dispatch.loop(), parts.log, linkSettings(self), meshOwner(), seed + 1)
    , m_rollouts({ parts.dispatch, parts.store, parts.codec, parts.log, parts.values, parts.rollouts,
                     [this](const message& content) { sendToReaders(content); }, [this](const message& content) { sendToFollowers(content); } },
          self)
    , m_registrationTimer(parts.dispatch.loop(), [this] { registerSelf(); })
    , m_usageTimer(parts.dispatch.loop(), [this] { exchangeUsage(); })
    , m_evidenceTimer(parts.dispatch.loop(), [this] { sendEvidence(); })
{
    m_driver.setHandler(*this);
}

void fleet_follower::start()
{
    m_registrationTimer.arm(registrationInterval);
    m_usageTimer.arm(usageInterval);
    m_evidenceTimer.arm(evidenceInterval);
    m_driver.post([](row_relay& relay, time_point now) { return relay.onTick(now); });
}

peer_mesh_owner fleet_follower::meshOwner()
{
    peer_mesh_owner owner;
    owner.targets = [this] {
        std::vector<peer_target> targets;
        for (const fleet_router& each : m_relay.readers()) {
            if (each.vm != m_self.vm)
                targets.push_back({ each.vm, each.peerLocation });
        }
        return targets;
    };
    owner.locate = [](const vm_id&) { return std::nullopt; };
    owner.opened = [this](const member_ref& peer, const endpoint&) {
        m_parts.dispatch.core().streamVersions().forget(peer.vm);
        // A router that has restarted knows nothing, and if it is a reader, its followers ask it.
        const auto& readers = m_relay.readers();
        const bool isReader = std::any_of(readers.begin(), readers.end(), [&](const fleet_router& each) { return each.vm == peer.vm; });
        if (isReader)
            sendLosses({ peer.vm }, m_parts.dispatch.core().crashes().evidence(m_driver.loop().now()));
        m_driver.post([vm = peer.vm](row_relay& relay, time_point now) {
            relay_actions actions = relay.onLinkOpened(now, vm);
            for (relay_action& each : relay.onTick(now))
                actions.push_back(std::move(each));
            return actions;
        });
    };
    owner.closed = [this](const vm_id& peer) {
        m_relay.onLinkClosed(peer);
        m_driver.post([](row_relay& relay, time_point now) { return relay.onTick(now); });
    };
    owner.received = [this](const member_ref& from, const message& received) { onMessage(from, received); };
    return owner;
}

void fleet_follower::onMessage(const member_ref& from, const message& received)
{
    const time_point now = m_driver.loop().now();
    stream_versions& versions = m_parts.dispatch.core().streamVersions();
    if (const auto* origins = std::get_if<stream_origins>(&received)) {
        versions.merge(now, *origins);
        return;
    }
    if (const auto* reported = std::get_if<usage_report>(&received)) {
        m_usage.onReport(now, from, *reported);
        // Each router gets the totals from the router that it follows.
        if (m_relay.isFollowedBy(from.vm)) {
            m_mesh.send(from.vm, m_usage.totals(now));
            if (server_rate_limits limits = m_limits.newest(now); !limits.isEmpty())
                m_mesh.send(from.vm, std::move(limits));
            if (stream_origins origins = versions.forward(now, from.vm); !origins.isEmpty())
                m_mesh.send(from.vm, std::move(origins));
            if (rollout_permits permits = m_rollouts.permits(); !permits.entries.empty())
                m_mesh.send(from.vm, std::move(permits));
        }
        return;
    }
    if (const auto* evidence = std::get_if<rollout_report>(&received)) {
        m_rollouts.onReport(from, *evidence);
        return;
    }
    if (const auto* permits = std::get_if<rollout_permits>(&received)) {
        m_rollouts.onPermits(*permits);
        return;
    }
    if (const auto* totals = std::get_if<usage_totals>(&received)) {
        setFleetUsage(now, from.vm, *totals);
        return;
    }
    if (const auto* limits = std::get_if<server_rate_limits>(&received)) {
        m_limits.merge(now, *limits);
        m_parts.dispatch.post([limits](dispatcher& core, time_point at) { return core.onServerLimits(at, *limits); });
        return;
    }
    if (const auto* losses = std::get_if<server_losses>(&received)) {
        m_parts.dispatch.post([losses](dispatcher& core, time_point at) { return core.onServerLosses(at, *losses); });
        return;
    }
    m_driver.post([&](row_relay& relay, time_point at) {
        relay_actions actions = relay.onMessage(at, from, received);
        for (relay_action& each : relay.onTick(at))
            actions.push_back(std::move(each));
        return actions;
    });
}

void fleet_follower::exchangeUsage()
{
    m_usageTimer.arm(usageInterval);
    const time_point now = m_driver.loop().now();
    const usage_report own = m_parts.dispatch.core().takeUsage(now);
    const server_rate_limits ownLimits = m_parts.dispatch.core().ownServerLimits(now);
    m_limits.merge(now, ownLimits);
    const stream_origins ownStreams = m_parts.dispatch.core().streamVersions().takeOwn(now);
    for (const fleet_router& each : m_relay.readers()) {
        if (each.vm != m_self.vm) {
            if (!ownLimits.isEmpty())
                m_mesh.send(each.vm, ownLimits);
            if (!ownStreams.isEmpty())
                m_mesh.send(each.vm, ownStreams);
            m_mesh.send(each.vm, own);
            continue;
        }
        m_usage.onReport(now, { m_self.vm, m_self.start }, own);
        setFleetUsage(now, m_self.vm, m_usage.totals(now));
    }
    m_rollouts.exchange();
    reportUsageState(now);
}

void fleet_follower::sendToReaders(const message& content)
{
    for (const fleet_router& each : m_relay.readers()) {
        if (each.vm != m_self.vm)
            m_mesh.send(each.vm, content);
    }
}

void fleet_follower::sendToFollowers(const message& content)
{
    for (const vm_id& peer : m_mesh.openPeers()) {
        if (m_relay.isFollowedBy(peer))
            m_mesh.send(peer, content);
    }
}

void fleet_follower::setFleetUsage(time_point now, const vm_id& from, const usage_totals& totals)
{
    m_usageMonitor.onTotals(now, from, totals);
    m_parts.dispatch.core().setFleetUsage(now, totals);
}

void fleet_follower::reportUsageState(time_point now)
{
    const auto changed = m_usageMonitor.check(now, m_relay.members().size());
    const usage_change& last = m_usageMonitor.last();
    if (last.age)
        m_parts.values.set("pimentoladder_fleet_usage_age_seconds", {}, std::chrono::duration<double>(*last.age).count());
    m_parts.values.set("pimentoladder_fleet_usage_routers", {}, last.routers);
    m_parts.values.set("pimentoladder_fleet_usage_workspaces", {}, static_cast<double>(last.workspaces));
    if (!changed)
        return;
    const std::int64_t ageMs = last.age ? std::chrono::duration_cast<std::chrono::milliseconds>(*last.age).count() : -1;
    m_parts.log.write(last.state == usage_state::current ? log_level::info : log_level::warning, "fleet_usage_changed",
        { { "state", usageStateName(last.state) }, { "source", std::string_view(last.source.value()) }, { "rows_source", std::string_view(m_relay.source().value()) },
            { "age_ms", ageMs }, { "routers", std::uint64_t { last.routers } }, { "workspaces", std::uint64_t { last.workspaces } } });
}

/// Sends this router's own evidence to the readers, and as a reader all evidence to the
/// routers that follow this one, so that each router receives a change once.
void fleet_follower::sendEvidence()
{
    m_evidenceTimer.arm(evidenceInterval);
    const time_point now = m_driver.loop().now();
    const evidence_changes changed = m_parts.dispatch.core().takeServerLosses(now);
    std::set<vm_id> readers;
    for (const fleet_router& each : m_relay.readers())
        readers.insert(each.vm);
    std::set<vm_id> informed;
    for (const vm_id& peer : m_mesh.openPeers()) {
        const bool isFollower = m_relay.isFollowedBy(peer);
        if (readers.contains(peer) || !isFollower)
            continue;
        informed.insert(peer);
        sendLosses({ peer }, m_informedFollowers.contains(peer) ? changed.all : m_parts.dispatch.core().crashes().evidence(now));
    }
    m_informedFollowers = std::move(informed);
    sendLosses(readers, changed.own);
}

void fleet_follower::sendLosses(const std::set<vm_id>& peers, const server_losses& losses)
{
    for (std::size_t first = 0; first < losses.entries.size(); first += maxLossesPerMessage) {
        const auto begin = losses.entries.begin() + static_cast<std::ptrdiff_t>(first);
        const std::size_t count = std::min(maxLossesPerMessage, losses.entries.size() - first);
        const server_losses part { { begin, begin + static_cast<std::ptrdiff_t>(count) } };
        for (const vm_id& peer : peers)
            m_mesh.send(peer, part);
    }
}

void fleet_follower::registerSelf()
{
    for (const followed_table table : { followed_table::operators, followed_table::servers, followed_table::members })
        m_parts.values.set("pimentoladder_store_retained_rows", { { "table", nameOf(table) } }, static_cast<double>(m_relay.replica(table).retained().size()));
    const time_point now = m_driver.loop().now();
    const auto write = m_registration.next(now, m_relay.replica(followed_table::members));
    const duration untilTurn = m_registration.nextWriteAt() - now;
    m_registrationTimer.arm(untilTurn > duration::zero() ? std::min(untilTurn, registrationInterval) : registrationInterval);
    if (!write)
        return;
    m_parts.store.write(memberTable, write->key, write->value, write->mustBeAbsent, [this, key = write->key](const result<void>& ended) {
        m_parts.log.write(log_level::info, "member_row_written",
            { { "key", std::string_view(key) }, { "outcome", ended ? std::string_view("written") : errorKindName(ended.error().kind) } });
        const bool mustRead = m_registration.onWritten(m_driver.loop().now(), ended);
        m_driver.post([mustRead](row_relay& relay, time_point at) {
            if (mustRead)
                relay.refreshMembers();
            return relay.onTick(at);
        });
    });
}

void fleet_follower::handle(const relay_action& action)
{
    std::visit([this](const auto& step) { perform(step); }, action);
}

std::string fleet_follower::nameOf(followed_table table) const
{
    switch (table) {
    case followed_table::operators:
        return m_parts.codec.operatorTable();
    case followed_table::servers:
        return m_parts.codec.serverTable();
    case followed_table::members:
        break;
    }
    return memberTable;
}

void fleet_follower::perform(const read_table& step)
{
    const auto onEnd = [this, table = step.table](const result<rows_page>& answer) {
        m_driver.post([&](row_relay& relay, time_point now) {
            relay_actions actions = relay.onRead(now, table, answer);
            for (relay_action& each : relay.onTick(now))
                actions.push_back(std::move(each));
            return actions;
        });
    };
    m_parts.values.count("pimentoladder_store_reads_total", { { "table", nameOf(step.table) } });
    if (step.isWhole)
        m_parts.values.count("pimentoladder_store_whole_reads_total", { { "table", nameOf(step.table) } });
    if (step.isWhole)
        m_parts.store.list(nameOf(step.table), onEnd);
    else
        m_parts.store.changes(nameOf(step.table), step.since.at, step.wait, onEnd);
}

void fleet_follower::perform(const send_to_router& step)
{
    m_mesh.send(step.to, step.content);
}

void fleet_follower::perform(const row_changed& step)
{
    if (step.table == followed_table::operators)
        applyOperatorRow(step.row, step.mayBeOlder);
    else if (step.table == followed_table::servers)
        applyServerRow(step.row);
    else
        updateMembers();
}

void fleet_follower::perform(const table_listed& step)
{
    const std::string table = nameOf(step.table);
    m_parts.values.set("pimentoladder_store_era", { { "table", table } }, static_cast<double>(step.position.era.value()));
    m_parts.log.write(log_level::info, "complete_table_applied",
        { { "table", std::string_view(table) }, { "source", step.source.isEmpty() ? std::string_view("store") : std::string_view(step.source.value()) },
            { "position_before", step.before.at.value() }, { "position_after", step.position.at.value() } });
    if (step.table == followed_table::servers)
        m_parts.dispatch.core().markServersListed(m_driver.loop().now());
    if (step.table == followed_table::members)
        updateMembers();
}

void fleet_follower::perform(const basis_confirmed& step)
{
    m_parts.dispatch.core().confirm(step.at);
}

void fleet_follower::perform(const store_recovered& step)
{
    m_parts.log.write(log_level::info, "store_outage_ended",
        { { "source", step.source.isEmpty() ? std::string_view("store") : std::string_view(step.source.value()) },
            { "outage_ms", toMilliseconds(step.outage) }, { "ended_ms_ago", toMilliseconds(m_driver.loop().now() - step.at) } });
    m_parts.dispatch.core().onStoreRecovered(step.at);
}

void fleet_follower::perform(const outage_refuted& step)
{
    m_parts.log.write(log_level::info, "store_outage_refuted", { { "source", std::string_view(step.source.value()) } });
    m_parts.dispatch.post([](dispatcher& core, time_point now) {
        core.onOutageRefuted();
        return core.onTick(now);
    });
}

void fleet_follower::perform(const store_era_changed& step)
{
    const std::string table = nameOf(step.table);
    m_parts.log.write(log_level::warning, "store_era_changed",
        { { "table", std::string_view(table) }, { "source", step.source.isEmpty() ? std::string_view("store") : std::string_view(step.source.value()) },
            { "from", step.from.era.value() }, { "to", step.to.era.value() }, { "position_before", step.from.at.value() }, { "position_after", step.to.at.value() },
            { "rows_changed", std::uint64_t { step.changed } }, { "rows_retained", std::uint64_t { step.retained } }, { "rows_dropped", std::uint64_t { step.dropped } } });
}

void fleet_follower::perform(const restored_rows_accepted& step)
{
    const std::string table = nameOf(step.table);
    m_parts.log.write(log_level::warning, "restored_rows_accepted", { { "table", std::string_view(table) }, { "rows", std::uint64_t { step.rows } } });
}

void fleet_follower::perform(const rows_overdue& step)
{
    m_parts.values.count("pimentoladder_rows_overdue_total", {});
    m_parts.log.write(log_level::warning, "rows_overdue",
        { { "source", std::string_view(step.source.value()) }, { "age_ms", toMilliseconds(step.age) } });
}

void fleet_follower::perform(const reader_answered& step)
{
    m_parts.values.observe("pimentoladder_row_answer_seconds", {}, step.after);
    if (step.after >= lateAnswer)
        m_parts.log.write(log_level::info, "row_answer_late", { { "source", std::string_view(step.from.value()) }, { "after_ms", toMilliseconds(step.after) } });
}

void fleet_follower::perform(const store_lost& step)
{
    const std::string table = nameOf(step.table);
    m_parts.values.count("pimentoladder_store_outages_total", { { "table", table } });
    m_parts.log.write(log_level::warning, "dependency_lost",
        { { "dependency", "store" }, { "table", std::string_view(table) }, { "reason", errorKindName(step.reason.kind) }, { "message", std::string_view(step.reason.message) } });
}

void fleet_follower::perform(const table_reads_recovered& step)
{
    const std::string table = nameOf(step.table);
    m_parts.log.write(log_level::info, "dependency_regained",
        { { "dependency", "store" }, { "table", std::string_view(table) }, { "source", step.source.isEmpty() ? std::string_view("store") : std::string_view(step.source.value()) }, { "failures", std::uint64_t { step.failures } },
            { "since_failed_ms", toMilliseconds(step.sinceFailed) } });
}

void fleet_follower::perform(const source_changed& step)
{
    m_parts.log.write(log_level::info, "row_source_changed",
        { { "source", step.source.isEmpty() ? std::string_view("store") : std::string_view(step.source.value()) }, { "reason", step.reason } });
}

void fleet_follower::updateMembers()
{
    const row_replica& rows = m_relay.replica(followed_table::members);
    std::vector<fleet_router> members = m_registration.list(rows);
    std::vector<vm_id> routers;
    routers.reserve(members.size());
    for (const fleet_router& each : members)
        routers.push_back(each.vm);
    m_relay.setMembers(std::move(members));
    m_rollouts.setReaders(m_relay.readers(), routers.size());
    m_parts.dispatch.core().setRouters(std::move(routers));
    const auto key = member_registration::fleetKey(rows);
    if (!key)
        return;
    if (!m_isListening) {
        m_mesh.setFleetKey(*key);
        const auto listening = m_mesh.listen(m_parts.peerListen, m_self.peerLocation);
        if (!listening) {
            m_parts.log.write(log_level::error, "peer_listen_failed", { { "reason", std::string_view(listening.error().message) } });
            return;
        }
        m_isListening = true;
    }
    m_mesh.refreshTargets();
}

void fleet_follower::applyOperatorRow(const published_row& row, bool mayBeOlder)
{
    const time_point now = m_driver.loop().now();
    dispatcher& core = m_parts.dispatch.core();
    m_outOfServiceByRow.erase(row.key);
    if (row.isDeleted)
        m_rollouts.removeOrder(row.key);
    if (!row.isDeleted) {
        auto decoded = m_parts.codec.decodeOperatorRow(row.key, row.value);
        if (!decoded) {
            reportUnreadable(row, followed_table::operators, decoded.error());
            return;
        }
        if (const auto* out = std::get_if<evacuated_data_centre>(&*decoded))
            m_outOfServiceByRow[row.key] = out->dataCentre;
        if (const auto* ordered = std::get_if<ordered_rollout>(&*decoded))
            m_rollouts.putOrder(row.key, row.position.at, ordered->order);
        if (auto* plan = std::get_if<serving_plan>(&*decoded)) {
            const revision version = plan->version;
            const std::uint64_t routes = plan->routes.size();
            // -1: the configuration lists no workspaces, so that no request needs a key.
            const std::int64_t workspaces = plan->workspaces ? static_cast<std::int64_t>(plan->workspaces->size()) : -1;
            const std::uint64_t unreadableKeys = plan->unreadableKeys;
            const bool isApplied = core.applyPlan(std::move(*plan), mayBeOlder);
            m_parts.log.write(log_level::info, isApplied ? "configuration_applied" : "configuration_ignored",
                { { "version", version.value() }, { "row_revision", row.position.at.value() }, { "routes", routes },
                    { "workspaces", workspaces }, { "unreadable_keys", unreadableKeys } });
            if (isApplied)
                m_parts.planApplied(core.fleet().plan());
        }
    }
    std::set<data_centre_id> out;
    std::string names;
    for (const auto& [key, id] : m_outOfServiceByRow) {
        if (out.insert(id).second)
            names += (names.empty() ? "" : ",") + id.value();
    }
    if (out == core.fleet().outOfService())
        return;
    m_parts.log.write(log_level::info, "data_centres_out", { { "data_centres", std::string_view(names) }, { "row_revision", row.position.at.value() } });
    core.setOutOfService(now, std::move(out));
}

void fleet_follower::applyServerRow(const published_row& row)
{
    const time_point now = m_driver.loop().now();
    dispatcher& core = m_parts.dispatch.core();
    const server_id id(row.key);
    const registered_server* known = core.fleet().findServer(id);
    if (row.isDeleted) {
        const bool wasKnown = known != nullptr;
        const duration delay = core.removeServer(now, id);
        if (wasKnown)
            m_parts.log.write(log_level::info, "server_gone", { { "server", std::string_view(row.key) }, { "row_revision", row.position.at.value() }, { "delay_ms", toMilliseconds(delay) } });
        return;
    }
    const auto decoded = m_parts.codec.decodeServer(row.key, row.value);
    if (!decoded) {
        reportUnreadable(row, followed_table::servers, decoded.error());
        core.removeServer(now, id);
        return;
    }
    const bool isChanged = !known || known->isLeaving != decoded->isLeaving || known->start != decoded->start || known->location != decoded->location;
    if (isChanged) {
        const std::int64_t coldMs = std::chrono::duration_cast<std::chrono::milliseconds>(decoded->remainingColdTime).count();
        m_parts.log.write(log_level::info, decoded->isLeaving ? "server_leaving" : "server_registered",
            { { "server", std::string_view(row.key) }, { "pool", std::string_view(decoded->pool.value()) }, { "start", decoded->start.value() },
                { "cold_ms", coldMs }, { "row_revision", row.position.at.value() } });
    }
    core.putServer(now, *decoded);
}

void fleet_follower::reportUnreadable(const published_row& row, followed_table table, const error& fault)
{
    const std::string name = nameOf(table);
    m_parts.values.count("pimentoladder_store_unreadable_rows_total", { { "table", name } });
    m_parts.log.write(log_level::warning, "row_unreadable",
        { { "table", std::string_view(name) }, { "key", std::string_view(row.key) }, { "row_revision", row.position.at.value() }, { "message", std::string_view(fault.message) } });
}

}
