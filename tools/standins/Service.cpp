#include "standins/Service.h"

namespace pimentoladder::standins {

using nlohmann::json;

result<fault> parseFault(const std::string& body, time_point now)
{
    using std::chrono::milliseconds;
    const json order = json::parse(body);
    const auto name = order.at("kind").get<std::string>();
    const std::optional<fault_kind> kind = faultKind(name);
    if (!kind)
        return makeError(error_kind::invalidArgument, "unknown fault \"" + name + "\"; see docs/standins.md");
    fault parsed;
    parsed.kind = *kind;
    parsed.target = order.value("target", std::string());
    parsed.count = order.value("count", 0U);
    parsed.probability = order.value("probability", 1.0);
    parsed.afterTokens = order.value("afterTokens", 0U);
    parsed.perSecond = order.value("perSecond", 0.0);
    parsed.isAnnounced = order.value("announced", true);
    parsed.latency = milliseconds(order.value("latencyMs", std::int64_t { 0 }));
    parsed.age = milliseconds(order.value("ageMs", std::int64_t { 0 }));
    parsed.values = order.value("values", std::vector<std::string>());
    if (order.contains("durationMs"))
        parsed.expiresAt = now + milliseconds(order["durationMs"].get<std::int64_t>());
    return parsed;
}

std::optional<fault> handleFaultRequest(fault_plan& plan, const exchange_ptr& exchange, time_point now)
{
    const json order = json::parse(exchange->body());
    if (order.at("kind") == "none") {
        plan.clear(order.value("target", std::string()));
        exchange->reply(200, "{}");
        return std::nullopt;
    }
    result<fault> parsed = parseFault(exchange->body(), now);
    if (!parsed) {
        exchange->reply(400, json { { "error", parsed.error().message } }.dump());
        return std::nullopt;
    }
    plan.add(*parsed);
    exchange->reply(200, "{}");
    return *parsed;
}

bool injectFaultBeforeEffect(fault_plan& plan, std::string_view target, const exchange_ptr& exchange, time_point now)
{
    if (plan.take(fault_kind::outage, target, now)) {
        exchange->reset();
        return true;
    }
    if (plan.take(fault_kind::hang, target, now)) {
        // The callback keeps the exchange alive until the caller disconnects.
        exchange->setOnDisconnect([exchange] {});
        return true;
    }
    if (plan.take(fault_kind::refuse, target, now)) {
        exchange->reply(503, R"({"error":"refused by a fault order"})", { { "Retry-After", "1" } });
        return true;
    }
    return false;
}

json requestFields(const exchange_ptr& exchange)
{
    json fields { { "method", exchange->method() }, { "path", exchange->path() }, { "id", exchange->header(loadIdHeader) } };
    const std::string key = exchange->header(idempotencyKeyHeader);
    if (!key.empty())
        fields["key"] = key;
    return fields;
}

}
