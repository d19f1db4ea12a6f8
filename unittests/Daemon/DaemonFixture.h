/// \file
/// A router core with its driver and caller front, a fake table and backend
/// servers on loopback, driven by the event loop's clock.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "../Net/RawSocket.h"
#include "../Router/FleetHarness.h"
#include "pimentoladder/Admin/Operators.h"
#include "pimentoladder/Daemon/CallerFront.h"
#include "pimentoladder/Daemon/DecisionLog.h"

namespace pimentoladder {

/// The answer that a caller has received so far.
struct received_answer {
    std::optional<http_response_head> head;
    std::string body;
    std::optional<refusal_kind> refused;
    bool isEnded = false;
    bool isAborted = false;
    std::function<void()> onLeave;
};

/// Records the answer to a request.
class recording_answer : public http_response_writer {
public:
    bool hasCallerClosed() const override { return false; }
    explicit recording_answer(std::shared_ptr<received_answer> seen)
        : m_seen(std::move(seen))
    {
    }

    void start(const http_response_head& head) override { m_seen->head = head; }
    void send(std::string_view bytes) override { m_seen->body.append(bytes); }
    void end() override { m_seen->isEnded = true; }
    void abort() override { m_seen->isAborted = true; }
    void reply(const http_response_head& head, std::string_view body) override
    {
        start(head);
        send(body);
        end();
    }
    void refuse(refusal_kind kind, std::string_view) override { m_seen->refused = kind; }
    std::size_t pendingBytes() const override { return 0; }
    std::size_t pendingBytesOfAll() const override { return pendingBytes(); }
    void whenDrained(std::size_t, std::function<void()> callback) override { callback(); }
    void whenCallerDisconnects(std::function<void()> callback) override { m_seen->onLeave = std::move(callback); }

private:
    std::shared_ptr<received_answer> m_seen;
};

class daemon_fixture : public action_handler {
public:
    daemon_fixture()
        : log(
            log_level::info, [this](std::string_view line) { lines.push_back(nlohmann::json::parse(line)); return true; }, [this] { return loop.now(); })
        , client(loop, {})
        , core({ { vm_id("entry-0"), incarnation(1), data_centre_id("dc-0"), { "127.0.0.1", 9000 } }, {} }, {}, 1)
        , driver(loop, core)
        , decisions(log)
        , front(
              driver, client, log, values,
              [this](const std::string& object, std::function<void(std::optional<std::string>)> onEnd) {
                  objectsRead.push_back(object);
                  bodyReads.push_back(std::move(onEnd));
              },
              1024)
    {
        driver.setHandler(*this);
    }

    void handle(const router_action& action) override
    {
        std::visit([this](const auto& step) { perform(step); }, action);
    }

    /// Sends a request with the key of workspace `ws-0`.
    std::shared_ptr<received_answer> request(const std::string& method, const std::string& target, const std::string& body = {})
    {
        auto seen = std::make_shared<received_answer>();
        ++requestCount;
        front.onRequest({ method, target, { { "Host", "a" }, { "Authorization", "Bearer key" } }, body }, std::make_shared<recording_answer>(seen));
        return seen;
    }

    /// Puts a document in force whose model pool has one server, on \p enginePort,
    /// and waits until the core can grant.
    bool serve(std::uint16_t enginePort)
    {
        workspace tenant;
        tenant.id = workspace_id("ws-0");
        tenant.keyDigest = sha256Hex("key");
        backend_server engine;
        engine.id = server_id("engine-0");
        engine.pool = pool_id("model");
        engine.dataCentre = data_centre_id("dc-0");
        engine.location = { "127.0.0.1", enginePort };
        engine.floor = 1;
        engine.ceiling = 8;
        const std::vector<document_value> rows { tenant, engine, pool { engine.pool, {}, pool_kind::model, "/", 10 },
            data_centre { engine.dataCentre, {} }, access_rule { rule_id("all"), selector(), selector() } };
        commit_rows asked;
        for (const document_value& row : rows)
            asked.writes.push_back({ rowKey(row), row, {} });
        table.commit(asked).value();
        return runUntil(
            loop, [this] { return grantingFrom && loop.now() > *grantingFrom; }, std::chrono::seconds(15));
    }

    /// Returns the log lines with event name \p event.
    std::vector<nlohmann::json> logged(std::string_view event) const
    {
        std::vector<nlohmann::json> found;
        for (const nlohmann::json& line : lines) {
            if (line["event"] == event)
                found.push_back(line);
        }
        return found;
    }

    event_loop loop;
    std::vector<nlohmann::json> lines;
    logger log;
    metrics values;
    http_client client;
    fake_table table;
    router_core core;
    core_driver driver;
    decision_log decisions;
    std::vector<std::string> objectsRead;
    std::vector<std::function<void(std::optional<std::string>)>> bodyReads;
    std::optional<time_point> grantingFrom; ///< Time from which the shard owner may grant; none before it owns the shard.
    std::uint64_t requestCount = 0;
    caller_front front;

private:
    /// Posts an event to the core from the loop, like an answer over a socket.
    void later(std::function<router_actions(router_core&, time_point)> event)
    {
        const std::size_t index = m_timers.size();
        m_timers.push_back(std::make_unique<loop_timer>(loop, [this, event = std::move(event)] { driver.post(event); }));
        m_timers[index]->arm(std::chrono::milliseconds(1));
    }

    void perform(const poll_revision& step)
    {
        later([at = table.at, sentAt = step.sentAt](router_core& to, time_point now) { return to.onRevisionPolled(now, at, sentAt); });
    }
    void perform(const fetch_rows& step)
    {
        config_update update { step.since, table.at, {} };
        for (const auto& [key, row] : table.rows) {
            if (row.changedAt > step.since)
                update.rows.push_back(row);
        }
        later([update](router_core& to, time_point now) { return to.onRowsFetched(now, update); });
    }
    void perform(const commit_rows& step)
    {
        later([transactionNumber = step.transactionNumber, answer = table.commit(step)](router_core& to, time_point now) { return to.onCommitted(now, transactionNumber, answer); });
    }
    void perform(const start_attempt& step) { front.perform(step); }
    void perform(const stop_stream& step) { front.perform(step); }
    void perform(const request_step& step) { front.perform(step); }
    void perform(const route_decision& step) { decisions.perform(step); }
    void perform(const ownership_decision& step)
    {
        decisions.perform(step);
        if (step.isOwner)
            grantingFrom = step.grantsFrom;
    }
    template <typename Other>
    void perform(const Other&) { }

    std::vector<std::unique_ptr<loop_timer>> m_timers;
};

}
