#include "pimentoladder/Daemon/PlatformGateway.h"

#include <algorithm>
#include <utility>

#include "pimentoladder/Codec/ClaimJson.h"
#include "pimentoladder/Codec/RowJson.h"

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr const char* documentSpace = "fleet";
    constexpr const char* claimSpace = "claims";
    constexpr duration callDeadline = 2s;
    constexpr duration vmListInterval = 2s;

    // Only operators' changes write this row, and every one does, so that a
    // condition on it serialises them without conflicts from members that join
    // or leave.
    constexpr const char* headKey = "change-head";
    constexpr const char* changePrefix = "change/";
    constexpr const char* historyPrefix = "history/";

    result<row_change> decodeRow(const table_row& row)
    {
        if (!row.value)
            return row_change { row.key, std::nullopt, row.at };
        auto value = parseRowJson(row.key, *row.value);
        if (!value)
            return tl::unexpected(value.error());
        return row_change { row.key, std::move(*value), row.at };
    }

    result<config_update> decodeRows(revision since, const rows_reading& reading)
    {
        config_update update { since, reading.at, {} };
        for (const table_row& row : reading.rows) {
            if (!isDocumentKey(row.key))
                continue;
            auto change = decodeRow(row);
            if (!change)
                return tl::unexpected(change.error());
            update.rows.push_back(std::move(*change));
        }
        return update;
    }

    result<revision> revisionOf(const result<commit_outcome>& outcome)
    {
        if (!outcome)
            return tl::unexpected(outcome.error());
        if (!outcome->isCommitted)
            return makeError(error_kind::conflict, "row " + outcome->conflictKey + " has changed; read it again");
        return outcome->at;
    }

}

/// Gives the administration API access to the table.
class platform_gateway::table_change_store : public change_store {
public:
    explicit table_change_store(platform_gateway& gateway)
        : m_gateway(gateway)
    {
    }

    void submit(change_transaction transaction, std::function<void(submit_result)> callback) override
    {
        table_client& table = m_gateway.m_clients.table;
        table.readRows(documentSpace, headKey, revision(), m_gateway.deadline(), [this, transaction = std::move(transaction), callback = std::move(callback)](const result<rows_reading>& reading) {
            if (!reading) {
                callback({ submit_state::unavailable, {} });
                return;
            }
            const revision head = reading->rows.empty() ? revision() : reading->rows.front().at;
            if (head > transaction.basedOn) {
                callback({ submit_state::conflict, head });
                return;
            }
            commit(transaction, head, callback);
        });
    }

    void readChange(std::string changeId, std::function<void(result<change_lookup>)> callback) override
    {
        const std::string key = changePrefix + changeId;
        m_gateway.m_clients.table.readRows(documentSpace, key, revision(), m_gateway.deadline(), [key, callback = std::move(callback)](const result<rows_reading>& reading) {
            if (!reading) {
                callback(makeError(error_kind::unavailable, reading.error().message));
                return;
            }
            change_lookup lookup { reading->at, std::nullopt };
            for (const table_row& row : reading->rows) {
                if (row.key == key && row.value)
                    lookup.row = stored_row { row.key, *row.value, row.at };
            }
            callback(lookup);
        });
    }

    void readHistory(std::size_t limit, std::string beforeKey, std::function<void(result<std::vector<stored_row>>)> callback) override
    {
        m_gateway.m_clients.table.readRows(documentSpace, historyPrefix, revision(), m_gateway.deadline(), [limit, beforeKey = std::move(beforeKey), callback = std::move(callback)](const result<rows_reading>& reading) {
            if (!reading) {
                callback(makeError(error_kind::unavailable, reading.error().message));
                return;
            }
            std::vector<stored_row> rows;
            for (auto row = reading->rows.rbegin(); row != reading->rows.rend() && rows.size() < limit; ++row) {
                if (row->value && (beforeKey.empty() || row->key < beforeKey))
                    rows.push_back({ row->key, *row->value, row->at });
            }
            callback(std::move(rows));
        });
    }

private:
    void commit(const change_transaction& transaction, revision head, const std::function<void(submit_result)>& callback)
    {
        table_transaction made;
        made.id = transaction.changeId;
        made.markerKey = changePrefix + transaction.changeId;
        made.conditions = { { headKey, head }, { made.markerKey, revision() } };
        made.writes = { { headKey, transaction.changeId } };
        for (const table_row_write& row : transaction.rows)
            made.writes.push_back({ row.key, row.text });
        m_gateway.m_clients.table.commit(documentSpace, std::move(made), m_gateway.deadline(), [callback](const result<commit_outcome>& outcome) {
            if (outcome) {
                callback({ outcome->isCommitted ? submit_state::committed : submit_state::conflict, outcome->at });
                return;
            }
            const bool mayBeCommitted = outcome.error().kind == error_kind::outcomeUnknown;
            callback({ mayBeCommitted ? submit_state::unknown : submit_state::unavailable, {} });
        });
    }

    platform_gateway& m_gateway;
};

platform_gateway::platform_gateway(core_driver& driver, logger& log, platform_clients clients, std::string name)
    : m_driver(driver)
    , m_log(log)
    , m_clients(clients)
    , m_name(std::move(name))
    , m_vmTimer(driver.loop(), [this] { watchVms(); })
    , m_changes(std::make_unique<table_change_store>(*this))
{
}

platform_gateway::~platform_gateway() = default;

change_store& platform_gateway::changes()
{
    return *m_changes;
}

time_point platform_gateway::deadline() const
{
    return m_driver.loop().now() + callDeadline;
}

void platform_gateway::logFailure(std::string_view call, const error& failure)
{
    m_log.write(log_level::warning, "platform_call_failed", { { "call", call }, { "kind", errorKindName(failure.kind) }, { "reason", std::string_view(failure.message) } });
}

void platform_gateway::perform(const poll_revision& poll)
{
    m_clients.table.readRevision(documentSpace, deadline(), [this, asked = poll.sentAt](const result<revision_reading>& reading) {
        if (!reading)
            logFailure("read_revision", reading.error());
        const time_point sentAt = reading ? reading->sentAt : asked;
        const result<revision> answer = reading ? result<revision>(reading->at) : tl::unexpected(reading.error());
        m_driver.post([&](router_core& core, time_point now) { return core.onRevisionPolled(now, answer, sentAt); });
    });
}

void platform_gateway::perform(const fetch_rows& fetch)
{
    m_clients.table.readRows(documentSpace, "", fetch.since, deadline(), [this, since = fetch.since](const result<rows_reading>& reading) {
        const rows_result answer = reading ? decodeRows(since, *reading) : tl::unexpected(reading.error());
        if (!answer)
            logFailure("read_rows", answer.error());
        m_driver.post([&](router_core& core, time_point now) { return core.onRowsFetched(now, answer); });
    });
}

void platform_gateway::perform(const commit_rows& commit)
{
    table_transaction transaction;
    transaction.id = m_name + "-" + std::to_string(++m_lastTransaction);
    for (const document_condition& condition : commit.conditions)
        transaction.conditions.push_back({ condition.key, condition.at });
    for (const row_change& change : commit.writes)
        transaction.writes.push_back({ change.key, change.value ? std::optional(formatRowJson(*change.value)) : std::nullopt });
    transaction.markerKey = commit.writes.front().key;
    m_clients.table.commit(documentSpace, std::move(transaction), deadline(), [this, transactionNumber = commit.transactionNumber, key = commit.writes.front().key](const result<commit_outcome>& outcome) {
        const result<revision> answer = revisionOf(outcome);
        if (!answer)
            logFailure("commit_rows", answer.error());
        else
            m_log.write(log_level::info, "row_committed", { { "key", std::string_view(key) }, { "revision", answer->value() } });
        m_driver.post([&](router_core& core, time_point now) { return core.onCommitted(now, transactionNumber, answer); });
    });
}

void platform_gateway::perform(const write_claims& write)
{
    table_transaction transaction;
    transaction.id = m_name + "-" + std::to_string(++m_lastTransaction);
    for (const claim_write& each : write.writes) {
        const std::string key = claimRowName(each.row.key);
        transaction.conditions.push_back({ key, each.expected });
        transaction.writes.push_back({ key, each.isDelete ? std::nullopt : std::optional(formatClaimJson(each.row)) });
    }
    transaction.markerKey = transaction.writes.front().key;
    m_clients.table.commit(claimSpace, std::move(transaction), deadline(), [this, write](const result<commit_outcome>& outcome) {
        if (outcome && !outcome->isCommitted) {
            answerClaimConflict(write);
            return;
        }
        claim_write_answer answer { write.batch, claim_write_result::unknown, {}, {} };
        if (outcome) {
            answer.result = claim_write_result::committed;
            answer.at = outcome->at;
        } else {
            logFailure("write_claims", outcome.error());
            if (outcome.error().kind != error_kind::outcomeUnknown)
                answer.result = claim_write_result::unavailable;
        }
        m_driver.post([&](router_core& core, time_point now) { return core.onClaimsWritten(now, answer); });
    });
}

void platform_gateway::answerClaimConflict(const write_claims& write)
{
    std::vector<claim_key> keys;
    for (const claim_write& each : write.writes)
        keys.push_back(each.row.key);
    readClaimRows(keys, [this, batch = write.batch](std::optional<std::vector<claim_row>> rows) {
        claim_write_answer answer { batch, rows ? claim_write_result::conflict : claim_write_result::unavailable, {}, {} };
        if (rows)
            answer.present = std::move(*rows);
        m_driver.post([&](router_core& core, time_point now) { return core.onClaimsWritten(now, answer); });
    });
}

void platform_gateway::perform(const read_claims& read)
{
    readClaimRows(read.keys, [this, batch = read.batch](std::optional<std::vector<claim_row>> rows) {
        claim_read_answer answer { batch, rows.has_value(), {} };
        if (rows)
            answer.present = std::move(*rows);
        m_driver.post([&](router_core& core, time_point now) { return core.onClaimsRead(now, answer); });
    });
}

void platform_gateway::readClaimRows(const std::vector<claim_key>& keys, const std::function<void(std::optional<std::vector<claim_row>>)>& onEnd)
{
    struct progress {
        std::size_t pending = 0;
        bool hasFailed = false;
        std::vector<claim_row> rows;
    };
    const auto state = std::make_shared<progress>();
    state->pending = keys.size();
    for (const claim_key& key : keys) {
        const std::string name = claimRowName(key);
        m_clients.table.readRows(claimSpace, name, revision(), deadline(), [this, state, key, name, onEnd](const result<rows_reading>& reading) {
            if (!reading)
                logFailure("read_claims", reading.error());
            state->hasFailed = state->hasFailed || !reading;
            for (const table_row& row : reading ? reading->rows : std::vector<table_row>()) {
                if (row.key != name || !row.value)
                    continue;
                auto parsed = parseClaimJson(key, *row.value);
                state->hasFailed = state->hasFailed || !parsed;
                if (!parsed)
                    continue;
                parsed->changedAt = row.at;
                state->rows.push_back(std::move(*parsed));
            }
            if (--state->pending == 0)
                onEnd(state->hasFailed ? std::nullopt : std::optional(std::move(state->rows)));
        });
    }
}

void platform_gateway::perform(const store_body& store)
{
    m_clients.objects.put(store.object, store.body, deadline(), [this, request = store.request](const result<void>& stored) {
        if (!stored)
            logFailure("store_body", stored.error());
        m_driver.post([&](router_core& core, time_point now) { return core.onBodyStored(now, request, stored.has_value()); });
    });
}

void platform_gateway::readBody(const std::string& object, std::function<void(std::optional<std::string>)> onEnd)
{
    m_clients.objects.get(object, deadline(), [this, onEnd = std::move(onEnd)](const result<std::optional<std::string>>& read) {
        if (!read)
            logFailure("read_body", read.error());
        onEnd(read ? *read : std::nullopt);
    });
}

void platform_gateway::watchVms()
{
    m_clients.vms.read(deadline(), [this](const result<std::vector<listed_vm>>& listed) {
        m_vmTimer.arm(vmListInterval);
        if (!listed) {
            logFailure("read_vms", listed.error());
            return;
        }
        vm_list list;
        for (const listed_vm& vm : *listed)
            (vm.isLeaving ? list.leaving : list.live).insert(vm.id);
        m_driver.post([&](router_core& core, time_point now) { return core.onVmList(now, list); });
    });
}

}
