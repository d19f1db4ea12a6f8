#include "pimentoladder/Platform/TableClient.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "pimentoladder/Net/UriText.h"

namespace pimentoladder {

using nlohmann::json;

namespace {

    constexpr int statusOk = 200;

    std::string tablePath(const std::string& space, const std::string& operation)
    {
        return "/table/" + percentEncoded(space) + "/" + operation;
    }

    /// Returns the body of a 200 answer as JSON. Throws `json::exception`.
    result<json> bodyOf(const result<platform_answer>& answer)
    {
        if (!answer)
            return tl::unexpected(answer.error());
        if (answer->status != statusOk)
            return makeError(error_kind::invalidArgument, "the table refused the call with status " + std::to_string(answer->status) + ": " + answer->body);
        return json::parse(answer->body);
    }

    json formatTransaction(const table_transaction& transaction)
    {
        json conditions = json::array();
        for (const row_condition& condition : transaction.conditions)
            conditions.push_back({ { "key", condition.key }, { "revision", condition.at.value() } });
        json writes = json::array();
        for (const row_write& write : transaction.writes) {
            json entry { { "key", write.key }, { "value", nullptr } };
            if (write.value)
                entry["value"] = *write.value;
            writes.push_back(std::move(entry));
        }
        return { { "id", transaction.id }, { "conditions", std::move(conditions) }, { "writes", std::move(writes) } };
    }

    /// Decodes the outcome of \p transaction. Throws `json::exception`.
    result<commit_outcome> parseOutcome(const json& source, const table_transaction& transaction)
    {
        if (source.at("id") != transaction.id)
            return makeError(error_kind::outcomeUnknown, "the table answered for another transaction; read back before sending it again");
        commit_outcome outcome;
        outcome.isCommitted = source.at("result") == "committed";
        outcome.at = revision(source.at("revision").get<std::uint64_t>());
        if (!outcome.isCommitted)
            outcome.conflictKey = source.at("key").get<std::string>();
        return outcome;
    }

    table_row parseRow(const json& source)
    {
        table_row row { source.at("key").get<std::string>(), std::nullopt, revision(source.at("revision").get<std::uint64_t>()) };
        if (!source.at("value").is_null())
            row.value = source["value"].get<std::string>();
        return row;
    }

    template <typename Reading>
    result<Reading> corrupt(const json::exception& failure)
    {
        return makeError(error_kind::corruptData, std::string("the table's answer cannot be decoded: ") + failure.what());
    }

    result<rows_reading> parseRows(const result<platform_answer>& answer)
    {
        try {
            const result<json> body = bodyOf(answer);
            if (!body)
                return tl::unexpected(body.error());
            rows_reading reading { revision(body->at("revision").get<std::uint64_t>()), {}, answer->sentAt };
            for (const json& row : body->at("rows"))
                reading.rows.push_back(parseRow(row));
            return reading;
        } catch (const json::exception& failure) {
            return corrupt<rows_reading>(failure);
        }
    }

    result<revision_reading> parseRevision(const result<platform_answer>& answer)
    {
        try {
            const result<json> body = bodyOf(answer);
            if (!body)
                return tl::unexpected(body.error());
            return revision_reading { revision(body->at("revision").get<std::uint64_t>()), answer->sentAt };
        } catch (const json::exception& failure) {
            return corrupt<revision_reading>(failure);
        }
    }

    const row_write* markerWrite(const table_transaction& transaction)
    {
        const auto write = std::ranges::find(transaction.writes, transaction.markerKey, &row_write::key);
        return write == transaction.writes.end() ? nullptr : &*write;
    }

    bool hasMarkerRow(const table_transaction& transaction)
    {
        const bool hasCondition = std::ranges::find(transaction.conditions, transaction.markerKey, &row_condition::key) != transaction.conditions.end();
        return hasCondition && markerWrite(transaction);
    }

    /// Returns the revision at which \p transaction was committed, judging by its
    /// marker row in \p reading; `nullopt` if it was not committed.
    std::optional<revision> findCommitRevision(const rows_reading& reading, const table_transaction& transaction)
    {
        const row_write* write = markerWrite(transaction);
        const auto row = std::ranges::find(reading.rows, transaction.markerKey, &table_row::key);
        const bool isPresent = row != reading.rows.end() && row->value;
        if (!write->value)
            return isPresent ? std::nullopt : std::optional(reading.at);
        return isPresent && row->value == write->value ? std::optional(row->at) : std::nullopt;
    }

}

table_client::table_client(call_runner& runner, scheduler& timers, table_policy policy)
    : m_runner(runner)
    , m_scheduler(timers)
    , m_policy(policy)
{
}

table_client::~table_client() = default;

void table_client::readRevision(const std::string& space, time_point deadline, std::function<void(result<revision_reading>)> onEnd)
{
    m_runner.run({ { "GET", tablePath(space, "revision"), {} }, deadline },
        [onEnd = std::move(onEnd), alive = std::weak_ptr<bool>(m_alive)](const result<platform_answer>& answer) {
            if (!alive.expired())
                onEnd(parseRevision(answer));
        });
}

void table_client::readRows(const std::string& space, const std::string& prefix, revision since, time_point deadline,
    std::function<void(result<rows_reading>)> onEnd)
{
    const std::string target = tablePath(space, "rows") + "?prefix=" + percentEncoded(prefix) + "&since=" + std::to_string(since.value());
    m_runner.run({ { "GET", target, {} }, deadline },
        [onEnd = std::move(onEnd), alive = std::weak_ptr<bool>(m_alive)](const result<platform_answer>& answer) {
            if (!alive.expired())
                onEnd(parseRows(answer));
        });
}

void table_client::commit(const std::string& space, table_transaction transaction, time_point deadline,
    std::function<void(result<commit_outcome>)> onEnd)
{
    if (!hasMarkerRow(transaction)) {
        onEnd(makeError(error_kind::invalidArgument,
            "transaction " + transaction.id + " needs a condition on, and a write of, its marker row \"" + transaction.markerKey + "\""));
        return;
    }
    batch& waiting = m_batches[space];
    waiting.push_back({ std::move(transaction), deadline, std::move(onEnd) });
    if (waiting.size() >= m_policy.batchLimit) {
        flush(space);
        return;
    }
    if (waiting.size() > 1)
        return;
    m_scheduler.callAfter(m_policy.batchDelay, [this, space, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired())
            flush(space);
    });
}

void table_client::flush(const std::string& space)
{
    auto sent = std::make_shared<batch>(std::exchange(m_batches[space], {}));
    if (sent->empty())
        return;
    json body = json::array();
    time_point deadline = time_point::max();
    for (const pending_commit& pending : *sent) {
        body.push_back(formatTransaction(pending.transaction));
        deadline = std::min(deadline, pending.deadline);
    }
    const transport_request request { "POST", tablePath(space, "transactions"), body.dump(-1, ' ', false, json::error_handler_t::replace) };
    m_runner.run({ request, deadline, true, true },
        [this, space, sent, alive = std::weak_ptr<bool>(m_alive)](const result<platform_answer>& answer) {
            if (!alive.expired())
                onBatchEnd(space, *sent, answer);
        });
}

void table_client::onBatchEnd(const std::string& space, batch& sent, const result<platform_answer>& answer)
{
    const std::weak_ptr<bool> alive = m_alive;
    result<json> body = makeError(error_kind::corruptData, {});
    try {
        body = bodyOf(answer);
    } catch (const json::exception&) {
        body = makeError(error_kind::outcomeUnknown, "the table's answer cannot be decoded; read back before sending it again");
    }
    for (std::size_t i = 0; i < sent.size() && !alive.expired(); ++i) {
        pending_commit& pending = sent[i];
        result<commit_outcome> outcome = makeError(error_kind::outcomeUnknown, "the table's answer lacks the transaction; read back before sending it again");
        try {
            outcome = body ? parseOutcome(body->at(i), pending.transaction) : tl::unexpected(body.error());
        } catch (const json::exception&) { // NOLINT(bugprone-empty-catch): the outcome stays unknown
        }
        const bool mayBeOwn = answer && answer->wasAmbiguous && outcome && !outcome->isCommitted;
        if (mayBeOwn)
            resolveConflict(space, std::move(pending), *outcome);
        else
            pending.onEnd(std::move(outcome));
    }
}

void table_client::resolveConflict(const std::string& space, pending_commit pending, const commit_outcome& conflict)
{
    const table_transaction transaction = pending.transaction;
    const time_point deadline = pending.deadline;
    readBackCommit(space, transaction, deadline, [onEnd = std::move(pending.onEnd), conflict](const result<std::optional<revision>>& found) {
        if (!found) {
            onEnd(makeError(error_kind::outcomeUnknown, "the transaction may have been committed, and could not be read back: " + found.error().message));
            return;
        }
        if (*found) {
            onEnd(commit_outcome { true, **found, {} });
            return;
        }
        onEnd(conflict);
    });
}

void table_client::readBackCommit(const std::string& space, const table_transaction& transaction, time_point deadline,
    std::function<void(result<std::optional<revision>>)> onEnd)
{
    if (!hasMarkerRow(transaction)) {
        onEnd(makeError(error_kind::invalidArgument, "transaction " + transaction.id + " has no marker row to read back; add a condition on it and a write of it"));
        return;
    }
    readRows(space, transaction.markerKey, revision(), deadline, [transaction, onEnd = std::move(onEnd)](const result<rows_reading>& reading) {
        if (!reading) {
            onEnd(tl::unexpected(reading.error()));
            return;
        }
        onEnd(findCommitRevision(*reading, transaction));
    });
}

}
