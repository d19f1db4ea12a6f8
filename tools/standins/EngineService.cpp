#include "standins/EngineService.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace pimentoladder::standins {

using nlohmann::json;
using tools::bootTime;

namespace {

    constexpr int crashExitCode = 70;
    constexpr std::size_t cacheEventsKept = 10'000;
    constexpr std::size_t probabilitySteps = 1'000'000;

    std::string tokenLine(std::uint64_t salt, std::uint32_t index)
    {
        return "{\"t\":" + std::to_string(index) + ",\"v\":" + std::to_string(tokenValue(salt, index)) + "}\n";
    }

    std::string endLine(std::uint32_t promptTokens, std::uint32_t total)
    {
        return "{\"end\":true,\"tokens\":" + std::to_string(total) + ",\"cost\":" + std::to_string(promptTokens + total) + "}\n";
    }

}

engine_service::engine_service(service_context context, engine_service_settings settings)
    : m_context(std::move(context))
    , m_settings(std::move(settings))
    , m_model(m_settings.model, m_context.seed)
    , m_faults(m_context.seed)
    , m_random(m_context.seed)
    , m_incarnation(static_cast<std::uint64_t>(bootTime().time_since_epoch().count()))
    , m_reportedLoad(m_settings.loadLag)
    , m_models { m_settings.initialModel }
{
    m_context.history.write(bootTime(), "server_started",
        { { "server", m_context.name }, { "incarnation", m_incarnation }, { "dataCentre", m_settings.dataCentre } });
    m_context.history.write(bootTime(), "server_cold",
        { { "server", m_context.name }, { "bears", m_settings.model.coldLimit }, { "isAnnounced", true } });
    reportLoad();
}

void engine_service::handle(const exchange_ptr& exchange)
{
    static constexpr std::array<route<engine_service>, 8> routes { {
        { "POST", "/fault", &engine_service::handleFault },
        { "POST", "/v1/generate", &engine_service::handleGenerate },
        { "POST", "/v1/resume", &engine_service::handleResume },
        { "POST", "/v1/cancel", &engine_service::handleCancel },
        { "GET", "/load", &engine_service::handleLoad },
        { "GET", "/cache-events", &engine_service::handleCacheEvents },
        { "POST", "/orders", &engine_service::handleOrder },
        { "GET", "/orders", &engine_service::handleOrderState },
    } };
    dispatch<engine_service>(*this, routes, exchange);
}

void engine_service::handleFault(const exchange_ptr& exchange)
{
    const std::optional<fault> requested = handleFaultRequest(m_faults, exchange, bootTime());
    if (!requested || requested->kind != fault_kind::cold)
        return;
    m_faults.take(fault_kind::cold, {}, bootTime());
    m_model.makeCold();
    m_isColdAnnounced = requested->isAnnounced;
    recordColdState();
    reportLoad();
}

void engine_service::handleGenerate(const exchange_ptr& exchange)
{
    if (injectFaultBeforeEffect(m_faults, exchange->path(), exchange, bootTime()))
        return;
    const json request = json::parse(exchange->body());
    const bool isCrashing = !m_settings.crashMarker.empty() && exchange->body().find(m_settings.crashMarker) != std::string::npos;
    if (isCrashing)
        crash(exchange);
    std::optional<std::uint32_t> hidden;
    if (request.contains("hiddenTokens"))
        hidden = request["hiddenTokens"].get<std::uint32_t>();
    const stream_number number = m_model.start(request.value("prompt", std::string()), hidden);
    const stream_state& state = *m_model.find(number);
    stream_record& record = m_streams[number];
    // The incarnation makes executions differ between process starts that use
    // the same seed.
    record.salt = state.salt ^ m_incarnation;
    record.promptTokens = state.promptTokens;
    record.total = state.total;
    record.loadId = exchange->header(loadIdHeader);
    takeStreamFaults(number, record);
    recordEvent("execution_started", number, requestFields(exchange));
    attach(number, record, exchange);
    publishCacheEvents();
    reportLoad();
    scheduleStep();
}

void engine_service::crash(const exchange_ptr& exchange)
{
    json fields = requestFields(exchange);
    fields["server"] = m_context.name;
    fields["incarnation"] = m_incarnation;
    fields["execution"] = "crash-" + fields["id"].get<std::string>();
    m_context.history.write(bootTime(), "execution_started", fields);
    m_context.history.write(bootTime(), "server_crashed", { { "server", m_context.name }, { "incarnation", m_incarnation } });
    std::_Exit(crashExitCode);
}

void engine_service::takeStreamFaults(stream_number number, stream_record& record)
{
    const time_point now = bootTime();
    constexpr std::string_view path = "/v1/generate";
    if (const auto injected = m_faults.take(fault_kind::reset, path, now))
        record.resetAt = injected->afterTokens;
    if (const auto injected = m_faults.take(fault_kind::truncate, path, now))
        record.truncateAt = injected->afterTokens;
    if (const auto injected = m_faults.take(fault_kind::stall, path, now))
        m_model.find(number)->stallAt = injected->afterTokens;
}

void engine_service::scheduleStep()
{
    if (m_isStepScheduled || m_model.inFlight() == 0)
        return;
    m_isStepScheduled = true;
    m_context.events.callAfter(m_model.stepTime(), [this] { step(); });
}

void engine_service::step()
{
    m_isStepScheduled = false;
    for (const stream_number number : m_model.step())
        advance(number);
    recordColdState();
    reportLoad();
    scheduleStep();
}

void engine_service::advance(stream_number number)
{
    stream_record& record = m_streams.at(number);
    if (injectStreamFault(number, record))
        return;
    const std::string line = tokenLine(record.salt, record.generated);
    ++record.generated;
    record.digest.add(line);
    send(number, record, line);
    if (record.generated == record.total)
        endStream(number, record);
}

bool engine_service::injectStreamFault(stream_number number, stream_record& record)
{
    if (record.truncateAt && record.generated >= *record.truncateAt) {
        recordEvent("execution_ended", number, { { "result", "truncated" } });
        if (record.caller)
            record.caller->close();
        m_model.remove(number);
        m_streams.erase(number);
        return true;
    }
    if (record.resetAt && record.generated >= *record.resetAt) {
        record.resetAt.reset();
        // The token just generated was not sent, so the model must generate it
        // again after a resume.
        --m_model.find(number)->generated;
        if (record.caller)
            record.caller->reset();
        detach(number, record.caller.get());
        return true;
    }
    return false;
}

void engine_service::endStream(stream_number number, stream_record& record)
{
    const std::string line = endLine(record.promptTokens, record.total);
    record.digest.add(line);
    record.isEnded = true;
    m_model.finish(number);
    ++m_finished;
    recordEvent("execution_ended", number, { { "result", "finished" }, { "digest", record.digest.text() }, { "cost", record.promptTokens + record.total } });
    send(number, record, line);
    if (record.caller)
        record.caller->endStream();
    record.caller = nullptr;
    expireLater(number, record);
}

void engine_service::attach(stream_number number, stream_record& record, const exchange_ptr& exchange)
{
    m_context.events.cancel(record.expiry);
    record.caller = exchange;
    record.hasHead = false;
    exchange->setOnDisconnect([this, number, caller = exchange.get()] { detach(number, caller); });
}

void engine_service::send(stream_number number, stream_record& record, const std::string& text)
{
    if (!record.caller)
        return;
    // The head is sent with the first token, as real engines do, so that the
    // first-byte latency reflects the load of the engine.
    if (!std::exchange(record.hasHead, true))
        record.caller->startStream(200, { { "X-Stream-Id", streamName(number) }, { "Content-Type", "application/x-ndjson" } });
    record.caller->sendChunk(text);
}

void engine_service::detach(stream_number number, const tools::http_exchange* caller)
{
    const auto found = m_streams.find(number);
    if (found == m_streams.end() || !caller || found->second.caller.get() != caller)
        return;
    found->second.caller = nullptr;
    if (stream_state* state = m_model.find(number)) {
        state->isPaused = true;
        recordEvent("execution_detached", number, json::object());
    }
    expireLater(number, found->second);
    reportLoad();
}

void engine_service::expireLater(stream_number number, stream_record& record)
{
    m_context.events.cancel(record.expiry);
    record.expiry = m_context.events.callAfter(m_settings.resumeWindow, [this, number] { expire(number); });
}

void engine_service::expire(stream_number number)
{
    if (m_model.find(number))
        recordEvent("execution_ended", number, { { "result", "abandoned" } });
    m_model.remove(number);
    m_streams.erase(number);
}

void engine_service::handleResume(const exchange_ptr& exchange)
{
    const stream_number number = streamOf(exchange);
    const auto found = m_streams.find(number);
    const std::string text = exchange->query("offset");
    const auto offset = static_cast<std::uint32_t>(std::strtoul(text.c_str(), nullptr, 10));
    if (found == m_streams.end() || offset > found->second.generated) {
        exchange->reply(404, R"({"error":"no such stream or offset; send the request again"})");
        return;
    }
    stream_record& record = found->second;
    if (record.caller) {
        exchange->reply(409, R"({"error":"the stream has a caller; cut the other connection first"})");
        return;
    }
    attach(number, record, exchange);
    std::string unsent;
    for (std::uint32_t index = offset; index < record.generated; ++index)
        unsent += tokenLine(record.salt, index);
    if (record.isEnded)
        unsent += endLine(record.promptTokens, record.total);
    if (!unsent.empty())
        send(number, record, unsent);
    if (record.isEnded) {
        record.caller->endStream();
        record.caller = nullptr;
        expireLater(number, record);
        return;
    }
    m_model.find(number)->isPaused = false;
    recordEvent("execution_resumed", number, json::object());
    reportLoad();
    scheduleStep();
}

void engine_service::handleCancel(const exchange_ptr& exchange)
{
    const stream_number number = streamOf(exchange);
    const auto found = m_streams.find(number);
    if (found == m_streams.end() || found->second.isEnded) {
        exchange->reply(404, R"({"error":"no such stream runs"})");
        return;
    }
    recordEvent("execution_ended", number, { { "result", "cancelled" } });
    m_context.events.cancel(found->second.expiry);
    if (found->second.caller)
        found->second.caller->close();
    m_model.remove(number);
    m_streams.erase(found);
    reportLoad();
    exchange->reply(200, R"({"cancelled":true})");
}

void engine_service::handleLoad(const exchange_ptr& exchange)
{
    const time_point now = bootTime();
    const load_report& report = m_reportedLoad.at(now);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(std::min<duration>(now - report.at, m_settings.loadLag));
    const json text { { "server", m_context.name }, { "incarnation", m_incarnation }, { "inFlight", report.inFlight },
        { "isCold", report.isCold }, { "finished", report.finished }, { "loadedModels", report.models }, { "ageMs", age.count() } };
    exchange->reply(200, text.dump());
}

void engine_service::handleCacheEvents(const exchange_ptr& exchange)
{
    const std::string text = exchange->query("since");
    const std::uint64_t since = std::strtoull(text.c_str(), nullptr, 10);
    const time_point visible = bootTime() - m_settings.cacheEventLag;
    json events = json::array();
    for (const timed_cache_event& entry : m_cacheEvents) {
        if (entry.event.sequence > since && entry.at <= visible)
            events.push_back({ { "sequence", entry.event.sequence }, { "kind", entry.event.isStored ? "stored" : "evicted" }, { "hash", entry.event.hash } });
    }
    exchange->reply(200, json { { "events", std::move(events) } }.dump());
}

void engine_service::handleOrder(const exchange_ptr& exchange)
{
    const json order = json::parse(exchange->body());
    const std::uint64_t token = order.value("token", std::uint64_t { 0 });
    if (m_settings.isFenced && token < m_highestToken) {
        exchange->reply(409, json { { "error", "old fencing token" }, { "token", m_highestToken } }.dump());
        return;
    }
    m_highestToken = std::max(m_highestToken, token);
    const auto action = order.at("action").get<std::string>();
    m_context.history.write(bootTime(), "engine_order", { { "server", m_context.name }, { "token", token }, { "action", action } });
    if (action == "role")
        m_role = order.at("role").get<std::string>();
    if (action == "unload")
        m_models.erase(order.at("model").get<std::string>());
    if (action == "load") {
        const auto name = order.at("model").get<std::string>();
        m_loading.insert(name);
        m_context.events.callAfter(m_settings.loadTime, [this, name] {
            if (m_loading.erase(name) > 0)
                m_models.insert(name);
            reportLoad();
        });
    }
    reportLoad();
    if (m_faults.take(fault_kind::lostAnswer, exchange->path(), bootTime())) {
        exchange->reset();
        return;
    }
    handleOrderState(exchange);
}

void engine_service::handleOrderState(const exchange_ptr& exchange)
{
    const json state { { "loadedModels", m_models }, { "loading", m_loading }, { "role", m_role }, { "token", m_highestToken } };
    exchange->reply(200, state.dump());
}

void engine_service::recordEvent(const char* kind, stream_number number, json fields)
{
    fields["server"] = m_context.name;
    fields["incarnation"] = m_incarnation;
    fields["execution"] = number;
    m_context.history.write(bootTime(), kind, std::move(fields));
}

void engine_service::recordColdState()
{
    const bool isCold = m_model.isCold();
    if (std::exchange(m_wasCold, isCold) == isCold)
        return;
    if (!isCold) {
        m_isColdAnnounced = true;
        m_context.history.write(bootTime(), "server_warm", { { "server", m_context.name } });
        return;
    }
    m_context.history.write(bootTime(), "server_cold",
        { { "server", m_context.name }, { "bears", m_settings.model.coldLimit }, { "isAnnounced", m_isColdAnnounced } });
}

void engine_service::reportLoad()
{
    const time_point now = bootTime();
    m_reportedLoad.set(now, { now, m_model.inFlight(), m_model.isCold() && m_isColdAnnounced, m_finished, m_models });
}

void engine_service::publishCacheEvents()
{
    for (const cache_event& event : m_model.takeCacheEvents()) {
        const double drawn = static_cast<double>(m_random.index(probabilitySteps)) / probabilitySteps;
        if (drawn >= m_settings.cacheEventLoss)
            m_cacheEvents.push_back({ bootTime(), event });
    }
    while (m_cacheEvents.size() > cacheEventsKept)
        m_cacheEvents.pop_front();
}

std::string engine_service::streamName(stream_number number) const
{
    return std::to_string(m_incarnation) + "-" + std::to_string(number);
}

stream_number engine_service::streamOf(const exchange_ptr& exchange) const
{
    const std::string name = exchange->query("stream");
    const std::string prefix = std::to_string(m_incarnation) + "-";
    if (!name.starts_with(prefix))
        return 0;
    return std::strtoull(name.c_str() + prefix.size(), nullptr, 10);
}

}
