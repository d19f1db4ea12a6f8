#include "pimentoladder/Daemon/StoreWatcher.h"

#include <algorithm>
#include <utility>

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    // A read of the operators' rows ends after this time without a change, so
    // that each answer renews the basis on which keys are honoured (5 s).
    constexpr duration operatorWait = 1s;
    // Servers that leave must be known within 2 s; their rows change several
    // times a second, so the reads are spaced instead of waiting.
    constexpr duration serverPause = 600ms;
    constexpr duration retryPause = 150ms;
    constexpr double retryJitter = 0.5;

}

store_watcher::followed_table::followed_table(event_loop& loop, std::string named, void (store_watcher::*applyRow)(const stored_row&), duration waitFor, duration pauseFor, std::function<void()> readNext)
    : name(std::move(named))
    , apply(applyRow)
    , wait(waitFor)
    , pause(pauseFor)
    , timer(loop, std::move(readNext))
{
}

store_watcher::store_watcher(dispatch_driver& driver, row_store& store, const fleet_codec& codec, logger& log, metrics& values, std::uint64_t seed)
    : m_driver(driver)
    , m_store(store)
    , m_codec(codec)
    , m_log(log)
    , m_metrics(values)
    , m_random(seed)
    , m_operators(driver.loop(), codec.operatorTable(), &store_watcher::applyOperatorRow, operatorWait, duration::zero(), [this] { read(m_operators); })
    , m_servers(driver.loop(), codec.serverTable(), &store_watcher::applyServerRow, duration::zero(), serverPause, [this] { read(m_servers); })
{
}

void store_watcher::start()
{
    read(m_operators);
    read(m_servers);
}

void store_watcher::read(followed_table& table)
{
    table.sentAt = m_driver.loop().now();
    const auto onEnd = [this, &table](result<rows_page> answer) { onRead(table, std::move(answer)); };
    m_metrics.count("pimentoladder_store_reads_total", { { "table", table.name } });
    if (table.isWhole)
        m_store.changes(table.name, table.since, table.wait, onEnd);
    else
        m_store.list(table.name, onEnd);
}

void store_watcher::onRead(followed_table& table, result<rows_page> answer)
{
    if (!answer) {
        onFailure(table, answer.error());
        return;
    }
    onPage(table, *answer);
    const time_point next = table.sentAt + table.pause;
    table.timer.arm(std::max(duration::zero(), next - m_driver.loop().now()));
}

void store_watcher::onFailure(followed_table& table, const error& failure)
{
    // A gap in the history is no outage: the table is read whole at once.
    if (failure.kind == error_kind::notFound) {
        m_log.write(log_level::info, "store_history_gap", { { "table", std::string_view(table.name) }, { "since", table.since.value() } });
        table.isWhole = false;
        read(table);
        return;
    }
    if (!std::exchange(table.isFailing, true)) {
        m_log.write(log_level::warning, "dependency_lost",
            { { "dependency", "store" }, { "table", std::string_view(table.name) }, { "reason", errorKindName(failure.kind) }, { "message", std::string_view(failure.message) } });
    }
    m_metrics.count("pimentoladder_store_failures_total", { { "table", table.name }, { "reason", std::string(errorKindName(failure.kind)) } });
    table.timer.arm(m_random.jittered(retryPause, retryJitter));
}

void store_watcher::onPage(followed_table& table, const rows_page& page)
{
    const time_point now = m_driver.loop().now();
    if (std::exchange(table.isFailing, false)) {
        m_log.write(log_level::info, "dependency_regained", { { "dependency", "store" }, { "table", std::string_view(table.name) } });
        m_driver.core().storeReturned(now);
    }
    for (const stored_row& row : page.rows)
        (this->*table.apply)(row);
    if (!std::exchange(table.isWhole, true))
        retainListed(table, page);
    table.since = std::max(table.since, page.newest);
    if (&table == &m_operators)
        m_driver.core().confirm(table.sentAt);
}

void store_watcher::retainListed(const followed_table& table, const rows_page& page)
{
    const time_point now = m_driver.loop().now();
    if (&table == &m_operators) {
        std::erase_if(m_outByRow, [&](const auto& entry) {
            return std::none_of(page.rows.begin(), page.rows.end(), [&](const stored_row& row) { return row.key == entry.first; });
        });
        std::set<data_centre_id> out;
        for (const auto& [key, id] : m_outByRow)
            out.insert(id);
        m_driver.core().setOutOfService(now, std::move(out));
        return;
    }
    std::set<server_id> present;
    for (const stored_row& row : page.rows)
        present.insert(server_id(row.key));
    m_driver.core().retainServers(now, present);
}

void store_watcher::applyOperatorRow(const stored_row& row)
{
    const time_point now = m_driver.loop().now();
    if (row.isDeleted) {
        m_outByRow.erase(row.key);
    } else {
        auto decoded = m_codec.decodeOperatorRow(row.key, row.value);
        if (!decoded) {
            reportUnreadable(row, m_operators.name, decoded.error());
            return;
        }
        if (const auto* out = std::get_if<data_centre_out>(&*decoded))
            m_outByRow[row.key] = out->dataCentre;
        if (auto* plan = std::get_if<serving_plan>(&*decoded)) {
            const revision version = plan->version;
            const std::uint64_t routes = plan->routes.size();
            const bool isApplied = m_driver.core().applyPlan(std::move(*plan));
            m_log.write(log_level::info, isApplied ? "configuration_applied" : "configuration_ignored",
                { { "version", version.value() }, { "row_revision", row.at.value() }, { "routes", routes } });
        }
    }
    std::set<data_centre_id> out;
    for (const auto& [key, id] : m_outByRow)
        out.insert(id);
    if (out == m_driver.core().fleet().outOfService())
        return;
    std::string names;
    for (const data_centre_id& id : out)
        names += (names.empty() ? "" : ",") + id.value();
    m_log.write(log_level::info, "data_centres_out", { { "data_centres", std::string_view(names) }, { "row_revision", row.at.value() } });
    m_driver.core().setOutOfService(now, std::move(out));
}

void store_watcher::applyServerRow(const stored_row& row)
{
    const time_point now = m_driver.loop().now();
    const server_id id(row.key);
    const registered_server* known = m_driver.core().fleet().findServer(id);
    if (row.isDeleted) {
        if (known)
            m_log.write(log_level::info, "server_gone", { { "server", std::string_view(row.key) }, { "row_revision", row.at.value() } });
        m_driver.core().removeServer(now, id);
        return;
    }
    const auto decoded = m_codec.decodeServer(row.key, row.value);
    if (!decoded) {
        reportUnreadable(row, m_servers.name, decoded.error());
        m_driver.core().removeServer(now, id);
        return;
    }
    const bool isChanged = !known || known->isLeaving != decoded->isLeaving || known->start != decoded->start || known->location != decoded->location;
    if (isChanged) {
        m_log.write(log_level::info, decoded->isLeaving ? "server_leaving" : "server_registered",
            { { "server", std::string_view(row.key) }, { "pool", std::string_view(decoded->pool.value()) }, { "start", decoded->start.value() },
                { "cold_ms", std::int64_t { std::chrono::duration_cast<std::chrono::milliseconds>(decoded->coldLeft).count() } }, { "row_revision", row.at.value() } });
    }
    m_driver.core().putServer(now, *decoded);
}

void store_watcher::reportUnreadable(const stored_row& row, const std::string& table, const error& fault)
{
    m_metrics.count("pimentoladder_store_unreadable_rows_total", { { "table", table } });
    m_log.write(log_level::warning, "row_unreadable",
        { { "table", std::string_view(table) }, { "key", std::string_view(row.key) }, { "row_revision", row.at.value() }, { "message", std::string_view(fault.message) } });
}

}
