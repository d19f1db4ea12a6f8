#include "standins/platform/StoreService.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace pimentoladder::standins {

using nlohmann::json;
using tools::bootTime;
using namespace std::chrono_literals;

namespace {

    constexpr std::string_view registrationTable = "servers";
    constexpr duration expiryInterval = 100ms;
    constexpr std::size_t pageRows = 500; // Maximum of rows in one answer, as published.

    std::uint64_t numberOf(const std::string& text)
    {
        return std::strtoull(text.c_str(), nullptr, 10);
    }

    row_name nameOf(const json& source)
    {
        return { source.at("table").get<std::string>(), source.at("part").get<std::string>(), source.at("key").get<std::string>() };
    }

    json rowToJson(const stored_row& row)
    {
        json shown { { "table", row.name.table }, { "part", row.name.part }, { "key", row.name.key }, { "row_version", row.version } };
        if (row.value)
            shown["value"] = *row.value;
        else
            shown["deleted"] = true;
        return shown;
    }

    json rowsToJson(const std::vector<stored_row>& rows)
    {
        json shown = json::array();
        for (const stored_row& each : rows)
            shown.push_back(rowToJson(each));
        return shown;
    }

}

store_service::store_service(service_context context, store_settings settings)
    : m_context(std::move(context))
    , m_settings(settings)
    , m_faults(m_context.seed)
{
    m_context.events.callAfter(expiryInterval, [this] { expireRegistrations(); });
}

void store_service::handle(const exchange_ptr& exchange)
{
    static constexpr std::array<route<store_service>, 4> routes { {
        { "POST", "/fault", &store_service::handleFault },
        { "POST", "/v1/rows-tx", &store_service::handleTransaction },
        { "GET", "/v1/rows-get", &store_service::handleList },
        { "GET", "/v1/rows-feed", &store_service::handleFeed },
    } };
    if (bootTime() < m_awayUntil && exchange->path() != "/fault") {
        exchange->reset();
        return;
    }
    setEraHeader(exchange);
    dispatch<store_service>(*this, routes, exchange);
}

void store_service::setEraHeader(const exchange_ptr& exchange)
{
    const auto spoiled = m_faults.take(fault_kind::eraHeader, exchange->path(), bootTime());
    std::vector<tools::http_header> headers;
    for (const std::string& value : spoiled ? spoiled->values : std::vector { std::to_string(m_era) })
        headers.push_back({ "Store-Era", value });
    exchange->setAnswerHeaders(std::move(headers));
}

void store_service::handleFault(const exchange_ptr& exchange)
{
    const auto requested = handleFaultRequest(m_faults, exchange, bootTime());
    if (requested && requested->kind == fault_kind::dropHistory) {
        m_faults.take(fault_kind::dropHistory, {}, bootTime());
        m_tables.dropHistory();
    }
    if (requested && requested->kind == fault_kind::restore) {
        m_faults.take(fault_kind::restore, {}, bootTime());
        restore(*requested);
    }
}

void store_service::restore(const fault& requested)
{
    const time_point now = bootTime();
    const auto later = std::ranges::upper_bound(m_versions, now - requested.age, {}, &dated_version::at);
    const std::uint64_t copied = later == m_versions.begin() ? 0 : std::prev(later)->newest;
    m_versions.erase(later, m_versions.end());
    ++m_era;
    m_context.history.write(now, "restored", { { "era", m_era }, { "from", m_tables.newest() }, { "to", copied } });
    m_tables.restore(copied);
    m_awayUntil = requested.expiresAt.value_or(now);
    m_registered.clear();
    for (const stored_row& row : m_tables.list(std::string(registrationTable), {}, {}, std::numeric_limits<std::size_t>::max()))
        m_registered[row.name] = m_awayUntil;
    if (m_awayUntil > now)
        resetFeeds();
    for (const waiting_feed& each : m_feeds)
        setEraHeader(each.exchange);
    wakeFeeds();
}

void store_service::resetFeeds()
{
    for (const waiting_feed& each : m_feeds) {
        m_context.events.cancel(each.timeout);
        each.exchange->reset();
    }
    m_feeds.clear();
}

void store_service::runWithFaults(const exchange_ptr& exchange, const effect& action)
{
    const time_point now = bootTime();
    const std::string& target = exchange->path();
    if (injectFaultBeforeEffect(m_faults, target, exchange, now))
        return;
    const auto late = m_faults.take(fault_kind::lateEffect, target, now);
    const auto slow = m_faults.take(fault_kind::latency, target, now);
    if (!late && !slow) {
        action();
        return;
    }
    if (late)
        exchange->reset();
    const duration wait = (late ? late->latency : duration::zero()) + (slow ? slow->latency : duration::zero());
    m_context.events.callAfter(wait, [this, exchange, action, era = m_era] {
        // A call that had no effect before the store was restored never has one.
        if (era == m_era)
            action();
        else
            exchange->reset();
    });
}

void store_service::answer(const exchange_ptr& exchange, int status, const json& body)
{
    if (m_faults.take(fault_kind::lostAnswer, exchange->path(), bootTime())) {
        exchange->reset();
        return;
    }
    exchange->reply(status, body.dump());
}

void store_service::handleTransaction(const exchange_ptr& exchange)
{
    runWithFaults(exchange, [this, exchange] { commit(exchange); });
}

void store_service::commit(const exchange_ptr& exchange)
{
    const json body = json::parse(exchange->body());
    std::vector<row_expectation> expected;
    std::vector<row_write> writes;
    for (const json& each : body.value("expect", json::array()))
        expected.push_back({ nameOf(each), each.at("row_version").get<std::uint64_t>() });
    for (const json& each : body.value("write", json::array())) {
        row_write write { nameOf(each), each.at("value").get<std::string>() };
        if (write.name.table == registrationTable)
            m_registered[write.name] = bootTime();
        // Renewing a registration with an unchanged value creates no new version.
        if (write.name.table != registrationTable || m_tables.valueOf(write.name) != write.value)
            writes.push_back(std::move(write));
    }
    for (const json& each : body.value("remove", json::array())) {
        writes.push_back({ nameOf(each), std::nullopt });
        m_registered.erase(writes.back().name);
    }
    const bool isRefresh = writes.empty() && expected.empty();
    if (!isRefresh && !m_tables.commit(expected, writes)) {
        json rows = json::array();
        for (const row_expectation& each : expected)
            rows.push_back({ { "key", each.name.key }, { "row_version", m_tables.versionOf(each.name) } });
        answer(exchange, 412, { { "rows", rows } });
        return;
    }
    onCommitted();
    for (const row_write& each : writes) {
        m_context.history.write(bootTime(), "row_written",
            { { "table", each.name.table }, { "key", each.name.key }, { "isRemoved", !each.value }, { "version", m_tables.newest() } });
    }
    answer(exchange, 200, { { "row_version", m_tables.newest() } });
    wakeFeeds();
}

void store_service::handleList(const exchange_ptr& exchange)
{
    runWithFaults(exchange, [this, exchange] {
        std::vector<stored_row> rows = m_tables.list(exchange->query("table"), exchange->query("part"), exchange->query("start_key"), pageRows + 1);
        const bool hasMore = rows.size() > pageRows;
        rows.resize(std::min(rows.size(), pageRows));
        answer(exchange, 200, { { "rows", rowsToJson(rows) }, { "has_more", hasMore }, { "row_version", m_tables.newest() } });
    });
}

void store_service::handleFeed(const exchange_ptr& exchange)
{
    runWithFaults(exchange, [this, exchange] {
        const std::string table = exchange->query("table");
        const std::uint64_t since = numberOf(exchange->query("since_revision"));
        const std::chrono::milliseconds wait(static_cast<std::int64_t>(numberOf(exchange->query("wait_ms"))));
        if (answerFeed(exchange, table, since))
            return;
        const auto added = m_feeds.insert(m_feeds.end(), { exchange, table, since, 0 });
        added->timeout = m_context.events.callAfter(wait, [this, added] {
            answer(added->exchange, 200, { { "rows", json::array() }, { "row_version", m_tables.newest() } });
            m_feeds.erase(added);
        });
    });
}

bool store_service::answerFeed(const exchange_ptr& exchange, const std::string& table, std::uint64_t since)
{
    const auto rows = m_tables.changes(table, since);
    if (rows && rows->empty())
        return false;
    if (!rows)
        answer(exchange, 410, { { "error", "the history since this version has been dropped; list the table" } });
    else
        answer(exchange, 200, { { "rows", rowsToJson(*rows) }, { "row_version", m_tables.newest() } });
    return true;
}

void store_service::onCommitted()
{
    m_versions.push_back({ bootTime(), m_tables.newest() });
}

void store_service::wakeFeeds()
{
    for (auto each = m_feeds.begin(); each != m_feeds.end();) {
        const auto feed = each++;
        if (!answerFeed(feed->exchange, feed->table, feed->since))
            continue;
        m_context.events.cancel(feed->timeout);
        m_feeds.erase(feed);
    }
}

void store_service::expireRegistrations()
{
    m_context.events.callAfter(expiryInterval, [this] { expireRegistrations(); });
    const time_point now = bootTime();
    std::vector<row_write> removals;
    for (const auto& [name, writtenAt] : m_registered) {
        if (now - writtenAt >= m_settings.registrationLifetime)
            removals.push_back({ name, std::nullopt });
    }
    if (removals.empty())
        return;
    m_tables.commit({}, removals);
    onCommitted();
    for (const row_write& each : removals) {
        m_registered.erase(each.name);
        m_context.history.write(now, "row_written", { { "table", each.name.table }, { "key", each.name.key }, { "isRemoved", true }, { "version", m_tables.newest() } });
    }
    wakeFeeds();
}

}
