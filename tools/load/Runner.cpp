#include "load/Runner.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace pimentoladder::load {

using nlohmann::json;
using tools::bootTime;
using tools::call_end;
using tools::client_answer;

namespace {

    constexpr int firstErrorStatus = 400;
    constexpr duration resubmitDelay = std::chrono::milliseconds(100);

    const char* endName(call_end end)
    {
        constexpr std::array<const char*, 4> names { "answered", "not_connected", "cut", "timeout" };
        return names.at(static_cast<std::size_t>(end));
    }

    /// Returns the body of a refusal, or null.
    json refusalIn(const client_answer& answer)
    {
        if (answer.status < firstErrorStatus)
            return nullptr;
        const json body = json::parse(answer.body, nullptr, false);
        const bool isRefusal = body.is_object() && body.contains("kind") && body["kind"].is_string();
        return isRefusal ? body : json(nullptr);
    }

    /// Returns the end line of a stream, or null if the stream is incomplete.
    json lastLine(const client_answer& answer)
    {
        if (!answer.body.ends_with('\n'))
            return nullptr;
        const std::size_t previous = answer.body.rfind('\n', answer.body.size() - 2);
        const std::size_t begin = previous == std::string::npos ? 0 : previous + 1;
        const json line = json::parse(answer.body.substr(begin), nullptr, false);
        return line.is_object() && line.value("end", false) ? line : json(nullptr);
    }

    json formatLatency(const latency_summary& summary)
    {
        const auto milliseconds = [](duration span) { return std::chrono::duration<double, std::milli>(span).count(); };
        return { { "count", summary.count }, { "p50", milliseconds(summary.p50) }, { "p90", milliseconds(summary.p90) },
            { "p99", milliseconds(summary.p99) }, { "p999", milliseconds(summary.p999) }, { "max", milliseconds(summary.max) } };
    }

    json formatStatistics(const load_statistics& statistics, duration elapsed)
    {
        const double seconds = std::max(std::chrono::duration<double>(elapsed).count(), 1e-9);
        return { { "sent", statistics.sent() }, { "answered", statistics.answered() }, { "refused", statistics.refused() }, { "broken", statistics.broken() },
            { "cost", statistics.cost() }, { "answeredPerSecond", static_cast<double>(statistics.answered()) / seconds },
            { "costPerSecond", static_cast<double>(statistics.cost()) / seconds },
            { "latencyMs", formatLatency(statistics.latency()) }, { "firstByteMs", formatLatency(statistics.firstByteLatency()) } };
    }

}

answer_outcome classifyAnswer(const client_answer& answer, bool isStreaming)
{
    if (answer.end != call_end::answered)
        return { outcome_kind::broken, endName(answer.end) };
    const json refusal = refusalIn(answer);
    if (!refusal.is_null()) {
        const bool isNotRun = refusal.contains("ran") && refusal["ran"] == false;
        return { outcome_kind::refused, refusal["kind"].get<std::string>(), isNotRun };
    }
    answer_outcome whole { outcome_kind::answered, {} };
    if (!isStreaming || answer.status >= firstErrorStatus)
        return whole;
    const json end = lastLine(answer);
    const bool isKeptWhole = answer.bytes == answer.body.size();
    if (isKeptWhole && end.is_null())
        return { outcome_kind::broken, "incomplete_stream" };
    if (!end.is_null())
        whole.cost = end.value("cost", std::uint64_t { 0 });
    return whole;
}

load_runner::load_runner(tools::loop& events, tools::history_writer& history, plan work, const std::string& client)
    : m_loop(events)
    , m_history(history)
    , m_plan(std::move(work))
    , m_client(events)
{
    std::uint64_t seed = m_plan.seed;
    for (const workspace_load& workspace : m_plan.workspaces)
        m_runs.push_back(std::make_unique<workspace_run>(workspace_run { request_factory(workspace, client, seed++), {}, {} }));
}

void load_runner::start(std::function<void()> onEnd)
{
    m_startedAt = bootTime();
    m_onEnd = std::move(onEnd);
    for (const auto& run : m_runs) {
        const workspace_load& settings = run->requests.settings();
        const bool stopsEarlier = settings.stopAfter > duration::zero() && settings.stopAfter < m_plan.length;
        run->endsAt = m_startedAt + (stopsEarlier ? settings.stopAfter : m_plan.length);
        m_loop.callAfter(settings.startAfter, [this, started = run.get()] { startWorkspace(*started); });
    }
    m_loop.callAfter(m_plan.length, [this] { checkEnd(); });
}

void load_runner::startWorkspace(workspace_run& run)
{
    const time_point now = bootTime();
    for (std::uint32_t i = 0; i < run.requests.settings().concurrency; ++i)
        sendNew(run, now);
    if (run.requests.settings().rate > 0)
        scheduleArrival(run, now + run.requests.nextGap());
}

void load_runner::scheduleArrival(workspace_run& run, time_point due)
{
    if (due >= run.endsAt)
        return;
    m_loop.callAfter(due - bootTime(), [this, &run, due] {
        // Every overdue arrival is sent now, but its latency is measured from the
        // time at which it was due, so that a slow client does not hide delays.
        const time_point now = bootTime();
        time_point next = due;
        for (; next <= now && next < run.endsAt; next += run.requests.nextGap())
            sendNew(run, next);
        scheduleArrival(run, next);
    });
}

void load_runner::sendNew(workspace_run& run, time_point due)
{
    send(run, run.requests.next(), due);
}

void load_runner::send(workspace_run& run, planned_request planned, time_point due)
{
    const workspace_load& settings = run.requests.settings();
    ++planned.submissions;
    const std::string target = m_plan.targets[m_nextTarget++ % m_plan.targets.size()];
    tools::client_request request;
    request.target = tools::parseAddress(target);
    request.method = settings.method;
    request.path = settings.path;
    request.timeout = m_plan.timeout;
    request.headers.push_back({ "X-Load-Id", planned.submissionId() });
    if (!settings.key.empty())
        request.headers.push_back({ "Authorization", "Bearer " + settings.key });
    if (!planned.idempotencyKey.empty())
        request.headers.push_back({ "Idempotency-Key", planned.idempotencyKey });
    if (settings.costHint > 0)
        request.headers.push_back({ "X-Cost-Hint", std::to_string(settings.costHint) });
    if (!planned.body.empty())
        request.headers.push_back({ "Content-Type", "application/json" });
    request.body = planned.body;

    json event { { "id", planned.submissionId() }, { "workspace", settings.name }, { "method", settings.method }, { "path", settings.path }, { "target", target } };
    if (!planned.idempotencyKey.empty())
        event["key"] = planned.idempotencyKey;
    m_history.write(bootTime(), "invoked", std::move(event));
    ++m_inFlight;
    run.statistics.countSent();
    m_client.send(request, [this, &run, planned = std::move(planned), target, due](const client_answer& answer) { onAnswer(run, planned, target, due, answer); });
}

void load_runner::onAnswer(workspace_run& run, const planned_request& sent, const std::string& target, time_point due, const client_answer& answer)
{
    const time_point now = bootTime();
    const answer_outcome read = classifyAnswer(answer, run.requests.settings().isStreaming);
    json event { { "id", sent.submissionId() }, { "target", target }, { "status", answer.status } };
    if (read.kind == outcome_kind::answered) {
        event["digest"] = answer.digest;
        event["bytes"] = answer.bytes;
        m_history.write(now, "answered", std::move(event));
    } else {
        event["reason"] = read.detail;
        event["isNotRun"] = read.isNotRun;
        m_history.write(now, read.kind == outcome_kind::refused ? "refused" : "broken", std::move(event));
    }
    run.statistics.count({ read.kind, read.detail, now - due, answer.firstByteLatency, read.cost });
    --m_inFlight;
    const bool isResubmitted = resubmitIfPlanned(run, sent, read.kind);
    if (!isResubmitted && run.requests.settings().concurrency > 0 && now < run.endsAt)
        sendNew(run, now);
    checkEnd();
}

bool load_runner::resubmitIfPlanned(workspace_run& run, const planned_request& sent, outcome_kind ended)
{
    const workspace_load& settings = run.requests.settings();
    const bool isAnswered = ended == outcome_kind::answered;
    const bool isRepeat = !isAnswered && sent.submissions <= settings.repeats;
    const bool isDuplicate = isAnswered && sent.submissions == 1 && run.requests.drawDuplicate();
    if (!isRepeat && !isDuplicate)
        return false;
    ++m_inFlight;
    m_loop.callAfter(resubmitDelay, [this, &run, sent] {
        --m_inFlight;
        send(run, sent, bootTime());
    });
    return true;
}

void load_runner::checkEnd()
{
    const bool isOver = m_inFlight == 0 && bootTime() >= m_startedAt + m_plan.length;
    if (isOver && m_onEnd)
        std::exchange(m_onEnd, nullptr)();
}

json load_runner::report() const
{
    load_statistics total;
    json workspaces = json::object();
    for (const auto& run : m_runs) {
        total.add(run->statistics);
        workspaces[run->requests.settings().name] = formatStatistics(run->statistics, m_plan.length);
    }
    return { { "seconds", std::chrono::duration<double>(m_plan.length).count() }, { "total", formatStatistics(total, m_plan.length) }, { "workspaces", std::move(workspaces) } };
}

}
