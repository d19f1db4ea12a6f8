#include "standins/platform/BackendService.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "pimentoladder/Codec/Base64.h"
#include "support/Digest.h"

namespace pimentoladder::standins {

using nlohmann::json;
using tools::bootTime;
using namespace std::chrono_literals;

namespace {

    constexpr const char* attemptHeader = "X-Attempt-Id";
    constexpr int statusMisdirected = 421;
    constexpr int statusFailed = 500;
    constexpr int statusFull = 503;
    constexpr int statusInvalid = 400;
    constexpr int crashExitCode = 70;
    // Bytes of an endless response at a time, and the time between two of them.
    constexpr std::size_t endlessBytes = 65536;
    constexpr duration endlessInterval = 1ms;

    // Returns whether a prompt, given as a list of ID:TOKENS, has the part other than last.
    bool hasSharedPart(const std::string& prompt, const std::string& part)
    {
        const std::string shared = "," + prompt.substr(0, prompt.rfind(','));
        return !part.empty() && prompt.find(',') != std::string::npos && shared.find("," + part + ":") != std::string::npos;
    }

    std::uint32_t parseAfterComma(const std::string& text, std::uint32_t defaultValue)
    {
        const std::size_t comma = text.find(',');
        return comma == std::string::npos ? defaultValue : static_cast<std::uint32_t>(std::strtoul(text.c_str() + comma + 1, nullptr, 10));
    }

    // Each event names its attempt and execution, so that a test can detect
    // events of another one.
    std::string eventText(const std::string& attempt, const std::string& execution, std::uint32_t index, std::uint32_t total)
    {
        const json data { { "of", attempt }, { "run", execution }, { "i", index }, { "total", total } };
        return "id: " + std::to_string(index) + "\ndata: " + data.dump() + "\n\n";
    }

}

backend_service::backend_service(service_context context, backend_settings settings)
    : m_context(std::move(context))
    , m_settings(std::move(settings))
    , m_model(m_settings.model, m_context.seed)
    , m_faults(m_context.seed)
    , m_client(m_context.events)
    , m_startedMs(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()))
    , m_coldUntil(bootTime() + m_settings.coldStart)
{
    m_context.history.write(bootTime(), "server_started",
        { { "server", m_context.name }, { "incarnation", m_startedMs }, { "dataCentre", m_settings.dataCentre } });
    if (m_settings.store.port != 0)
        m_context.events.callAfter(duration::zero(), [this] { sendHeartbeat(); });
}

void backend_service::handle(const exchange_ptr& exchange)
{
    static constexpr std::array<route<backend_service>, 3> routes { {
        { "POST", "/fault", &backend_service::handleFault },
        { "POST", "/drain", &backend_service::handleDrain },
        { "POST", "/", &backend_service::handleRequest },
    } };
    dispatch<backend_service>(*this, routes, exchange);
}

void backend_service::handleFault(const exchange_ptr& exchange)
{
    const auto requested = handleFaultRequest(m_faults, exchange, bootTime());
    if (!requested || requested->kind != fault_kind::cold)
        return;
    m_faults.take(fault_kind::cold, {}, bootTime());
    m_coldUntil = bootTime() + requested->latency;
    m_context.history.write(bootTime(), "server_cold", { { "server", m_context.name } });
    writeRegistration();
}

void backend_service::handleDrain(const exchange_ptr& exchange)
{
    m_isDraining = true;
    writeRegistration();
    exchange->reply(200, "{}");
}

void backend_service::sendHeartbeat()
{
    writeRegistration();
    m_context.events.callAfter(m_settings.heartbeat, [this] { sendHeartbeat(); });
}

void backend_service::writeRegistration()
{
    if (m_settings.store.port == 0)
        return;
    const time_point now = bootTime();
    const auto coldLeft = std::chrono::duration_cast<std::chrono::milliseconds>(std::max(m_coldUntil - now, duration::zero()));
    json entry { { "service", m_settings.pool }, { "address", m_settings.advertised }, { "zone", m_settings.dataCentre }, { "version", m_settings.version },
        { "slots", m_settings.slots }, { "state", m_isDraining ? "draining" : "ready" }, { "cold_left_ms", coldLeft.count() }, { "born", m_startedMs } };
    if (entry != m_registration)
        ++m_sequence;
    m_registration = entry;
    entry["sequence"] = m_sequence;
    json body { { "expect", json::array() }, { "remove", json::array() } };
    body["write"].push_back({ { "table", "servers" }, { "part", "" }, { "key", m_context.name }, { "value", encodeBase64(entry.dump()) } });
    tools::client_request request { m_settings.store, "POST", "/v1/rows-tx", body.dump() };
    request.timeout = m_settings.heartbeat;
    m_client.send(request, [this](const tools::client_answer& answer) {
        if (answer.status != 200)
            m_context.history.write(bootTime(), "registration_failed", { { "server", m_context.name }, { "status", answer.status } });
    });
}

void backend_service::handleRequest(const exchange_ptr& exchange)
{
    const std::string expected = exchange->header("X-Expected-Instance");
    if (exchange->header(attemptHeader).empty()) {
        refuse(exchange, statusInvalid, "no id");
        return;
    }
    if (!expected.empty() && expected != m_context.name) {
        refuse(exchange, statusMisdirected, "other server");
        return;
    }
    if (injectFaultBeforeEffect(m_faults, exchange->path(), exchange, bootTime()))
        return;
    if (const auto busy = m_faults.take(fault_kind::turnAway, exchange->path(), bootTime())) {
        turnAway(exchange, busy->latency);
        return;
    }
    if (inProgress() >= m_settings.slots) {
        refuse(exchange, statusFull, "full");
        return;
    }
    if (m_faults.take(fault_kind::failure, exchange->path(), bootTime())) {
        fail(exchange);
        return;
    }
    if (exchange->header("X-Token-Counts").empty())
        startUnary(exchange);
    else
        startStream(exchange);
}

void backend_service::refuse(const exchange_ptr& exchange, int status, const char* reason)
{
    const std::string attempt = exchange->header(attemptHeader);
    m_context.history.write(bootTime(), "execution_refused", { { "server", m_context.name }, { "id", attempt }, { "reason", reason } });
    std::vector<tools::http_header> headers { { attemptHeader, attempt }, { "X-Not-Executed", "1" } };
    if (status != statusMisdirected)
        announceLeaving(attempt, headers);
    exchange->reply(status, "{}", headers);
}

void backend_service::turnAway(const exchange_ptr& exchange, duration time)
{
    const std::string attempt = exchange->header(attemptHeader);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    m_context.history.write(bootTime(), "turned_away", { { "server", m_context.name }, { "id", attempt }, { "for_ms", milliseconds } });
    const std::string seconds = std::to_string(std::chrono::duration<double>(time).count());
    exchange->reply(statusFull, "{}", { { attemptHeader, attempt }, { "X-Not-Executed", "1" }, { "Retry-After", seconds } });
}

void backend_service::fail(const exchange_ptr& exchange)
{
    const std::string execution = m_context.name + "-" + std::to_string(m_startedMs) + "-p" + std::to_string(++m_lastUnary);
    recordStart(exchange, execution);
    recordEnd(execution, "failed");
    exchange->reply(statusFailed, "{}", headersFor(exchange->header(attemptHeader)));
}

/// Adds the announcement that the server leaves, if a fault asks for it.
void backend_service::announceLeaving(const std::string& attempt, std::vector<tools::http_header>& headers)
{
    if (!m_faults.take(fault_kind::announceLeaving, {}, bootTime()))
        return;
    m_context.history.write(bootTime(), "leaving_announced", { { "server", m_context.name }, { "id", attempt } });
    headers.push_back({ "Server-Leaving", "1" });
}

void backend_service::startUnary(const exchange_ptr& exchange)
{
    const std::string execution = m_context.name + "-" + std::to_string(m_startedMs) + "-p" + std::to_string(++m_lastUnary);
    const std::string attempt = exchange->header(attemptHeader);
    recordStart(exchange, execution);
    ++m_unaryRuns;
    const auto slow = m_faults.take(fault_kind::latency, exchange->path(), bootTime());
    const duration taken = m_settings.serviceTime + (slow ? slow->latency : duration::zero());
    m_context.events.callAfter(taken, [this, exchange, execution, attempt] {
        --m_unaryRuns;
        const bool isLost = m_faults.take(fault_kind::lostAnswer, exchange->path(), bootTime()).has_value();
        recordEnd(execution, isLost ? "reset" : "finished");
        if (isLost)
            exchange->reset();
        else
            exchange->reply(200, json { { "of", attempt }, { "run", execution } }.dump(), headersFor(attempt));
    });
}

void backend_service::startStream(const exchange_ptr& exchange)
{
    const std::uint32_t total = std::max(parseAfterComma(exchange->header("X-Token-Counts"), 1), 1U);
    const auto after = static_cast<std::uint32_t>(std::strtoul(exchange->header("Last-Event-Id").c_str(), nullptr, 10));
    const run_number number = m_model.start(exchange->body(), std::max(total, after + 1) - after);
    run& started = m_runs[number];
    started.caller = exchange;
    started.attempt = exchange->header(attemptHeader);
    started.sent = after;
    started.total = std::max(total, after + 1);
    if (const auto injected = m_faults.take(fault_kind::reset, exchange->path(), bootTime()))
        started.resetAt = after + injected->afterTokens;
    if (const auto injected = m_faults.take(fault_kind::truncate, exchange->path(), bootTime()))
        started.truncateAt = after + injected->afterTokens;
    if (const auto injected = m_faults.take(fault_kind::stall, exchange->path(), bootTime()))
        m_model.find(number)->stallAt = injected->afterTokens;
    started.isCrashing = hasSharedPart(exchange->header("X-Prompt-Prefix"), m_settings.crashPart);
    started.isEndless = m_faults.take(fault_kind::endless, exchange->path(), bootTime()).has_value();
    recordStart(exchange, executionName(number));
    exchange->setOnDisconnect([this, number] { end(number, "abandoned"); });
    scheduleStep();
}

void backend_service::scheduleStep()
{
    if (m_isStepScheduled || m_model.inFlight() == 0)
        return;
    m_isStepScheduled = true;
    m_context.events.callAfter(m_model.stepTime(), [this] { step(); });
}

void backend_service::step()
{
    m_isStepScheduled = false;
    for (const run_number number : m_model.step())
        advance(number);
    scheduleStep();
}

void backend_service::advance(run_number number)
{
    run& running = m_runs.at(number);
    const exchange_ptr caller = running.caller;
    if (running.isCrashing)
        crash(number);
    if (running.resetAt && running.sent >= *running.resetAt) {
        end(number, "reset");
        caller->reset();
        return;
    }
    if (running.truncateAt && running.sent >= *running.truncateAt) {
        end(number, "truncated");
        caller->close();
        return;
    }
    if (!std::exchange(running.hasHead, true)) {
        std::vector<tools::http_header> headers = headersFor(running.attempt);
        headers.push_back({ "Content-Type", "text/event-stream" });
        caller->startStream(200, headers);
        if (running.isEndless)
            sendWithoutEnd(number);
    }
    if (running.isEndless)
        return;
    ++running.sent;
    caller->sendChunk(eventText(running.attempt, executionName(number), running.sent, running.total));
    if (running.sent < running.total)
        return;
    end(number, "finished");
    caller->endStream();
}

/// Ends the process while a response begins.
void backend_service::crash(run_number number)
{
    m_context.history.write(bootTime(), "server_crashed",
        { { "server", m_context.name }, { "incarnation", m_startedMs }, { "id", m_runs.at(number).attempt }, { "part", m_settings.crashPart } });
    std::_Exit(crashExitCode);
}

void backend_service::sendWithoutEnd(run_number number)
{
    const auto found = m_runs.find(number);
    if (found == m_runs.end() || !found->second.caller->isOpen())
        return;
    found->second.caller->sendChunk(std::string(endlessBytes, 'x'));
    m_context.events.callAfter(endlessInterval, [this, number] { sendWithoutEnd(number); });
}

void backend_service::end(run_number number, const char* result)
{
    const auto found = m_runs.find(number);
    if (found == m_runs.end())
        return;
    found->second.caller->setOnDisconnect({});
    m_runs.erase(found);
    m_model.finish(number);
    recordEnd(executionName(number), result);
}

void backend_service::recordStart(const exchange_ptr& exchange, const std::string& execution)
{
    m_context.history.write(bootTime(), "execution_started",
        { { "server", m_context.name }, { "incarnation", m_startedMs }, { "execution", execution }, { "id", exchange->header(attemptHeader) },
            { "path", exchange->path() }, { "workspace", exchange->header("X-Tenant-Name") }, { "key", exchange->header("Api-Key") },
            { "deadlineMs", exchange->header("X-Deadline-Ms") }, { "after", exchange->header("Last-Event-Id") },
            { "digest", tools::digestOf(exchange->body()) }, { "isCold", bootTime() < m_coldUntil } });
}

void backend_service::recordEnd(const std::string& execution, const char* result)
{
    m_context.history.write(bootTime(), "execution_ended", { { "server", m_context.name }, { "execution", execution }, { "result", result } });
}

std::vector<tools::http_header> backend_service::headersFor(const std::string& attempt)
{
    const std::string load = std::to_string(inProgress()) + ",0," + std::to_string(m_settings.slots);
    std::vector<tools::http_header> headers { { attemptHeader, attempt }, { "X-Response-Seal", m_context.name }, { "X-Instance-Load", load } };
    if (const auto limited = m_faults.take(fault_kind::requestLimit, {}, bootTime())) {
        m_context.history.write(bootTime(), "limit_named", { { "server", m_context.name }, { "id", attempt }, { "per_second", limited->perSecond } });
        headers.push_back({ "Server-Limit", std::to_string(limited->perSecond) });
    }
    announceLeaving(attempt, headers);
    return headers;
}

std::string backend_service::executionName(run_number number) const
{
    return m_context.name + "-" + std::to_string(m_startedMs) + "-" + std::to_string(number);
}

}
