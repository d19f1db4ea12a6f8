#include "standins/PlatformService.h"

#include <array>
#include <utility>

namespace pimentoladder::standins {

using nlohmann::json;
using tools::bootTime;

namespace {

    constexpr std::string_view tablePrefix = "/table/";
    constexpr std::string_view objectPrefix = "/objects/";
    constexpr std::string_view vmPrefix = "/vms/";

    // Fault targets other than table namespaces.
    constexpr const char* objectTarget = "objects";
    constexpr const char* vmTarget = "vms";

    /// The parts of "/table/<namespace>/<operation>".
    struct table_path {
        std::string name;
        std::string operation;
    };

    table_path splitTablePath(const std::string& path)
    {
        const std::string rest = path.substr(tablePrefix.size());
        const std::size_t slash = rest.find('/');
        if (slash == std::string::npos)
            return { rest, {} };
        return { rest.substr(0, slash), rest.substr(slash + 1) };
    }

    table_transaction parseTransaction(const json& source)
    {
        table_transaction parsed;
        parsed.id = source.at("id").get<std::string>();
        for (const json& condition : source.at("conditions"))
            parsed.conditions.push_back({ condition.at("key").get<std::string>(), condition.at("revision").get<std::uint64_t>() });
        for (const json& write : source.at("writes")) {
            table_write entry { write.at("key").get<std::string>(), std::nullopt };
            if (!write.at("value").is_null())
                entry.value = write["value"].get<std::string>();
            parsed.writes.push_back(std::move(entry));
        }
        return parsed;
    }

    json outcomeToJson(const table_transaction& transaction, const table_outcome& outcome)
    {
        json text { { "id", transaction.id }, { "result", outcome.isCommitted ? "committed" : "conflict" }, { "revision", outcome.revision } };
        if (!outcome.isCommitted)
            text["key"] = outcome.conflictKey;
        return text;
    }

}

platform_service::platform_service(service_context context, platform_settings settings)
    : m_context(std::move(context))
    , m_faults(m_context.seed)
    , m_reads { settings.readsPerSecond, {}, 0 }
    , m_writes { settings.writesPerSecond, {}, 0 }
    , m_vms(settings.vmListLag)
{
    m_vms.set(bootTime(), {});
}

bool platform_service::rate_limit::isExceededAt(time_point now)
{
    const auto current = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
    if (current != second) {
        second = current;
        used = 0;
    }
    return perSecond > 0 && ++used > perSecond;
}

void platform_service::handle(const exchange_ptr& exchange)
{
    static constexpr std::array<route<platform_service>, 8> routes { {
        { "POST", "/fault", &platform_service::handleFault },
        { "GET", tablePrefix, &platform_service::handleTableRead },
        { "POST", tablePrefix, &platform_service::handleTransactions },
        { "GET", objectPrefix, &platform_service::handleObjectRead },
        { "PUT", objectPrefix, &platform_service::handleObjectWrite },
        { "GET", "/vms", &platform_service::handleVmList },
        { "PUT", vmPrefix, &platform_service::handleVmWrite },
        { "DELETE", vmPrefix, &platform_service::handleVmDelete },
    } };
    dispatch<platform_service>(*this, routes, exchange);
}

void platform_service::handleFault(const exchange_ptr& exchange)
{
    handleFaultRequest(m_faults, exchange, bootTime());
}

void platform_service::runWithFaults(const std::string& target, rate_limit& limit, const exchange_ptr& exchange, const effect& action)
{
    const time_point now = bootTime();
    if (injectFaultBeforeEffect(m_faults, target, exchange, now))
        return;
    if (limit.isExceededAt(now)) {
        exchange->reply(429, R"({"error":"too many calls in this second"})", { { "Retry-After", "1" } });
        return;
    }
    const auto late = m_faults.take(fault_kind::lateEffect, target, now);
    const auto slow = m_faults.take(fault_kind::latency, target, now);
    if (!late && !slow) {
        action(exchange);
        return;
    }
    if (late)
        exchange->reset();
    const duration wait = (late ? late->latency : duration::zero()) + (slow ? slow->latency : duration::zero());
    m_context.events.callAfter(wait, [exchange, action] { action(exchange); });
}

void platform_service::answer(const exchange_ptr& exchange, const std::string& target, int status, const std::string& body)
{
    if (m_faults.take(fault_kind::lostAnswer, target, bootTime())) {
        exchange->reset();
        return;
    }
    exchange->reply(status, body);
}

void platform_service::handleTableRead(const exchange_ptr& exchange)
{
    const table_path path = splitTablePath(exchange->path());
    if (path.operation != "revision" && path.operation != "rows") {
        exchange->reply(404, R"({"error":"no such operation; use revision or rows"})");
        return;
    }
    runWithFaults(path.name, m_reads, exchange, [this, path](const exchange_ptr& caller) {
        if (path.operation == "rows") {
            answerRows(path.name, caller);
            return;
        }
        answer(caller, path.name, 200, json { { "revision", m_namespaces[path.name].revision() } }.dump());
    });
}

void platform_service::answerRows(const std::string& name, const exchange_ptr& exchange)
{
    const std::string since = exchange->query("since");
    const table_namespace& table = m_namespaces[name];
    json rows = json::array();
    for (const table_row& row : table.rows(exchange->query("prefix"), std::strtoull(since.c_str(), nullptr, 10))) {
        json entry { { "key", row.key }, { "revision", row.revision }, { "value", nullptr } };
        if (row.value)
            entry["value"] = *row.value;
        rows.push_back(std::move(entry));
    }
    answer(exchange, name, 200, json { { "revision", table.revision() }, { "rows", std::move(rows) } }.dump());
}

void platform_service::handleTransactions(const exchange_ptr& exchange)
{
    const table_path path = splitTablePath(exchange->path());
    if (path.operation != "transactions") {
        exchange->reply(404, R"({"error":"no such operation; use transactions"})");
        return;
    }
    runWithFaults(path.name, m_writes, exchange, [this, path](const exchange_ptr& caller) {
        std::string outcomes;
        try {
            outcomes = applyTransactions(path.name, caller->body());
        } catch (const json::exception& failure) {
            caller->reply(400, json { { "error", failure.what() } }.dump());
            return;
        }
        answer(caller, path.name, 200, outcomes);
    });
}

std::string platform_service::applyTransactions(const std::string& name, const std::string& body)
{
    const json source = json::parse(body);
    std::vector<table_transaction> transactions;
    // All transactions are decoded before the first is applied, so that an answer
    // of 400 guarantees no effect.
    for (const json& entry : source)
        transactions.push_back(parseTransaction(entry));
    json outcomes = json::array();
    for (const table_transaction& transaction : transactions)
        outcomes.push_back(outcomeToJson(transaction, m_namespaces[name].apply(transaction)));
    return outcomes.dump();
}

void platform_service::handleObjectRead(const exchange_ptr& exchange)
{
    runWithFaults(objectTarget, m_reads, exchange, [this](const exchange_ptr& caller) {
        const auto found = m_objects.find(caller->path().substr(objectPrefix.size()));
        if (found == m_objects.end()) {
            answer(caller, objectTarget, 404, R"({"error":"no such object"})");
            return;
        }
        answer(caller, objectTarget, 200, found->second);
    });
}

void platform_service::handleObjectWrite(const exchange_ptr& exchange)
{
    runWithFaults(objectTarget, m_writes, exchange, [this](const exchange_ptr& caller) {
        m_objects[caller->path().substr(objectPrefix.size())] = caller->body();
        answer(caller, objectTarget, 200, "{}");
    });
}

void platform_service::handleVmList(const exchange_ptr& exchange)
{
    runWithFaults(vmTarget, m_reads, exchange, [this](const exchange_ptr& caller) {
        json vms = json::array();
        for (const auto& [id, vm] : m_vms.at(bootTime()))
            vms.push_back({ { "id", id }, { "address", vm.address }, { "dataCentre", vm.dataCentre }, { "isLeaving", vm.isLeaving } });
        answer(caller, vmTarget, 200, json { { "vms", std::move(vms) } }.dump());
    });
}

void platform_service::handleVmWrite(const exchange_ptr& exchange)
{
    const std::string id = exchange->path().substr(vmPrefix.size());
    const json body = json::parse(exchange->body());
    vm_map vms = m_vms.newest();
    vms[id] = { body.value("address", std::string()), body.value("dataCentre", std::string()), body.value("isLeaving", false) };
    m_context.history.write(bootTime(), "vm_listed", { { "vm", id }, { "isLeaving", vms[id].isLeaving } });
    m_vms.set(bootTime(), std::move(vms));
    exchange->reply(200, "{}");
}

void platform_service::handleVmDelete(const exchange_ptr& exchange)
{
    const std::string id = exchange->path().substr(vmPrefix.size());
    vm_map vms = m_vms.newest();
    vms.erase(id);
    m_context.history.write(bootTime(), "vm_removed", { { "vm", id } });
    m_vms.set(bootTime(), std::move(vms));
    exchange->reply(200, "{}");
}

}
