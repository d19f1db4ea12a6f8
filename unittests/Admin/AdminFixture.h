/// \file
/// Test fixture: an administration service with an in-memory table.

#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "pimentoladder/Admin/AdminService.h"
#include "pimentoladder/Codec/RowJson.h"
#include "pimentoladder/Config/Rows.h"

namespace pimentoladder {

/// Fault that the table injects into the next submission.
enum class table_fault {
    none,
    unavailable,
    lostAnswer, ///< Executes the transaction but reports `unknown`.
    lostRequest, ///< Never executes the transaction and reports `unknown`.
};

/// In-memory table that assigns revisions and detects conflicts as the platform's
/// table does.
class memory_store : public change_store {
public:
    void submit(change_transaction transaction, std::function<void(submit_result)> callback) override
    {
        ++submissions;
        if (beforeSubmit)
            std::exchange(beforeSubmit, nullptr)();
        const table_fault fault = std::exchange(nextFault, table_fault::none);
        if (fault == table_fault::unavailable)
            return callback({ submit_state::unavailable, {} });
        if (fault == table_fault::lostRequest)
            return callback({ submit_state::unknown, {} });
        if (lastChange > transaction.basedOn)
            return callback({ submit_state::conflict, lastChange });
        at = revision(at.value() + 1);
        lastChange = at;
        for (auto& row : transaction.rows) {
            if (row.text)
                rows[row.key] = { row.key, *row.text, at };
            else
                rows.erase(row.key);
        }
        if (fault == table_fault::lostAnswer)
            return callback({ submit_state::unknown, {} });
        callback({ submit_state::committed, at });
    }

    void readChange(std::string changeId, std::function<void(result<change_lookup>)> callback) override
    {
        if (isDown)
            return callback(makeError(error_kind::unavailable, "the table does not answer; try again later"));
        const auto found = rows.find("change/" + changeId);
        change_lookup lookup { at, std::nullopt, lastChange };
        if (found != rows.end())
            lookup.row = found->second;
        callback(lookup);
    }

    void readHistory(std::size_t limit, std::string beforeKey,
        std::function<void(result<std::vector<stored_row>>)> callback) override
    {
        std::vector<stored_row> found;
        for (auto row = rows.rbegin(); row != rows.rend() && found.size() < limit; ++row) {
            if (row->first.starts_with("history/") && (beforeKey.empty() || row->first < beforeKey))
                found.push_back(row->second);
        }
        callback(found);
    }

    /// Returns the document that an up-to-date replica would hold.
    document replica() const
    {
        document copy;
        copy.at = at;
        for (const auto& [key, row] : rows) {
            if (isDocumentKey(key))
                REQUIRE(applyRow(copy, { key, parseRowJson(key, row.text).value(), row.at }));
        }
        return copy;
    }

    revision at { 1 };
    revision lastChange; ///< Revision of the last operator's change.
    std::map<std::string, stored_row> rows;
    table_fault nextFault = table_fault::none;
    std::function<void()> beforeSubmit; ///< Called once before the next submission is executed.
    bool isDown = false; ///< Whether reads fail.
    int submissions = 0;
};

/// Sends requests as the operator `ada`.
class admin_fixture {
public:
    admin_fixture()
        : service(
            {}, operator_directory::create({ { "ada", sha256Hex("secret") } }).value(), store,
            [this](revision at) { committedRevisions.push_back(at); }, 7)
    {
    }

    /// Returns the response, or one with status 0 if none was sent yet. With
    /// `isAccepting` each commit is accepted at once.
    admin_response send(const std::string& method, const std::string& target, const std::string& body = "",
        std::vector<header_field> headers = {})
    {
        const auto responses = start(method, target, body, std::move(headers));
        if (isAccepting)
            service.onAccepted(store.at);
        return responses->empty() ? admin_response { 0, {}, {} } : responses->back();
    }

    std::shared_ptr<std::vector<admin_response>> start(const std::string& method, const std::string& target,
        const std::string& body = "", std::vector<header_field> headers = {})
    {
        const std::size_t mark = target.find('?');
        admin_request request { method, target.substr(0, mark),
            mark == std::string::npos ? "" : target.substr(mark + 1), std::move(headers), body };
        if (token)
            request.headers.push_back({ "authorization", "Bearer " + *token });
        const document current = staleReplica ? *staleReplica : store.replica();
        const auto responses = std::make_shared<std::vector<admin_response>>();
        service.handle(request, { current, routers, {}, now, {} },
            [responses](const admin_response& response) { responses->push_back(response); });
        return responses;
    }

    static nlohmann::json json(const admin_response& response) { return nlohmann::json::parse(response.body); }

    memory_store store;
    std::vector<revision> committedRevisions;
    std::vector<router_status> routers;
    std::optional<std::string> token = "secret";
    std::optional<document> staleReplica; ///< If set, used instead of an up-to-date replica.
    time_point now { std::chrono::seconds(100) };
    bool isAccepting = true;
    admin_service service;
};

inline const std::string sampleDataCentre = R"({"id":"dc1","labels":{"site":"west"}})";

}
