/// \file
/// Processor time that a router spends on a refusal and on a dispatched stream, on kept and
/// on new connections. Only the router's loop is timed; callers and servers are not.

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <ctime>

#include <benchmark/benchmark.h>

#include "RawBackend.h"

using namespace pimentoladder;

namespace {

constexpr int serverCount = 140;
constexpr duration loopTime = std::chrono::milliseconds(1); ///< Part of the router's time between those of the callers and the servers.
constexpr int batchSize = 32; ///< Requests that arrive together, as in a flood.
constexpr int floodSize = 1500; ///< Requests that arrive together and are more than the loop handles without lag.
constexpr int warmUpBatches = 8; ///< Enough for one request at each server.
constexpr std::chrono::milliseconds coldTime = std::chrono::hours(1);
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr duration answerLimit = std::chrono::seconds(5);

duration processorTime()
{
    timespec read {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &read);
    return std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec);
}

raw_reply streamOf(const std::string&)
{
    const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    return { { "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: "
        + std::to_string(events.size()) + "\r\n\r\n" + events } };
}

int connectTo(std::uint16_t port)
{
    const int made = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(made, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
        throw std::runtime_error("cannot connect to the router");
    return made;
}

/// A router whose log lines are discarded.
struct silent_router {
    explicit silent_router(const settings& configured)
        : log(
            log_level::info, [](std::string_view) { return true; }, [this] { return loop.now(); })
        , rows(loop, configured.platform.rows)
        , process(loop, log, configured, { rows, fleet, ingress }, incarnation(1), 1)
    {
    }

    pimentoladder::event_loop loop;
    logger log;
    platform::store_client rows;
    platform::fleet_rows fleet;
    platform::request_headers ingress;
    dispatch_process process;
};

/// A router with many registered servers, which all lead to one that answers at once.
class cost_fixture {
public:
    /// If \p areCold, each server takes one request and further ones are refused.
    explicit cost_fixture(bool areCold)
        : m_server(streamOf)
    {
        const nlohmann::json stream { { "name", "stream" }, { "host", "h" }, { "prefix", "/stream/" }, { "route_type", "streaming" }, { "resumable", false },
            { "service", "model" }, { "max_attempts", 3 }, { "timeout_ms", 3000 }, { "latency_goal_ms", 60000 } };
        const nlohmann::json plan { { "version", 1 }, { "routes", { stream } }, { "services", { { { "name", "model" }, { "cold_start_s", 1000 }, { "cold_per_s", 0.01 }, { "inference_engine", { { "slots", 64 }, { "kv_capacity_tokens", 400000 } } } } } },
            { "tenants", { { { "name", "ws-0" }, { "api_keys", { "key" } } } } }, { "limits", { { "tokens_per_s", 1e9 } } } };
        m_fleet.writeRow("op", "config", plan.dump());
        for (int i = 0; i < serverCount; ++i) {
            const nlohmann::json server { { "service", "model" }, { "address", "127.0.0.1:" + std::to_string(m_server.port) }, { "zone", "dc-0" }, { "version", "v1" },
                { "slots", 64 }, { "state", "ready" }, { "cold_left_ms", areCold ? coldTime.count() : 0 }, { "sequence", 1 }, { "born", 1 } };
            m_fleet.writeRow("servers", "s-" + std::to_string(i), server.dump());
        }
        m_router.emplace(m_fleet.configured);
        if (!m_router->process.start())
            throw std::runtime_error("the router does not start");
        const auto isReady = [this] { return call("/readyz") == statusOk; };
        const time_point end = tools::bootTime() + answerLimit;
        while (!isReady()) {
            if (tools::bootTime() > end)
                throw std::runtime_error("the router does not become ready");
        }
    }

    /// Sends a batch of requests and returns the router's processor time until all have been
    /// answered, with \p status if it is set. With \p areNew each request has its own connection.
    duration runBatch(std::optional<int> status, bool areNew)
    {
        if (areNew)
            closeCallers();
        duration used {};
        while (m_callers.size() < batchSize)
            m_callers.push_back(connectTo(m_fleet.configured.listen.callers.port));
        for (const int each : m_callers)
            sendRequest(each);
        std::vector<std::string> answers(m_callers.size());
        const time_point end = tools::bootTime() + answerLimit;
        for (std::size_t answered = 0; answered < answers.size();) {
            used += runRouter();
            answered = 0;
            for (std::size_t i = 0; i < answers.size(); ++i) {
                receive(m_callers[i], answers[i]);
                answered += isComplete(answers[i]) ? 1 : 0;
            }
            if (tools::bootTime() > end)
                throw std::runtime_error("a request was not answered");
        }
        for (const std::string& each : answers) {
            if (status && !each.starts_with("HTTP/1.1 " + std::to_string(*status) + " "))
                throw std::runtime_error("unexpected answer: " + each);
        }
        return used;
    }

    /// Sends a request on each of many kept connections and returns the router's processor time until
    /// all have been answered.
    duration runFlood()
    {
        duration used {};
        while (m_callers.size() < floodSize) {
            m_callers.push_back(connectTo(m_fleet.configured.listen.callers.port));
            runRouter();
        }
        for (const int each : m_callers)
            sendRequest(each);
        const time_point end = tools::bootTime() + answerLimit;
        for (int answered = 0; answered < floodSize;) {
            used += runRouter();
            for (const int each : m_callers) {
                std::string received;
                receive(each, received);
                answered += received.empty() ? 0 : 1;
                shed += received.find("router_overloaded") == std::string::npos ? 0 : 1;
            }
            if (tools::bootTime() > end)
                throw std::runtime_error("a request was not answered");
        }
        return used;
    }

    std::uint64_t shed = 0; ///< Requests of floods that were refused because of overload.

private:
    /// Runs the router for a short time and returns the processor time that it uses.
    duration runRouter()
    {
        const duration before = processorTime();
        m_router->loop.runFor(loopTime);
        const duration used = processorTime() - before;
        // The store's stand-in answers the router's reads.
        m_fleet.events.runFor(std::chrono::microseconds(100));
        m_server.poll();
        return used;
    }

    void sendRequest(int to)
    {
        const std::string id = std::to_string(++m_lastAttempt);
        const std::string request = "POST /stream/a HTTP/1.1\r\nHost: h\r\nApi-Key: key\r\nX-Attempt-Id: b" + id
            + "\r\nX-Deadline-Ms: 3000\r\nX-Token-Counts: 1460,80\r\nX-Length-Hint: 60\r\nX-Prompt-Prefix: 5c1e07a2:800,a" + id + ":410,b" + id + ":250\r\nContent-Length: 4\r\n\r\nbody";
        send(to, request.data(), request.size(), MSG_NOSIGNAL);
    }

    /// Returns the status of the router's administration path.
    int call(const std::string& path)
    {
        std::optional<int> status;
        m_fleet.client.send({ { "127.0.0.1", m_fleet.configured.listen.admin.port }, "GET", path, {}, {} }, [&](const tools::client_answer& ended) { status = ended.status; });
        while (!status) {
            m_fleet.events.runFor(std::chrono::microseconds(500));
            m_router->loop.runFor(std::chrono::microseconds(500));
        }
        return *status;
    }

    static void receive(int from, std::string& answer)
    {
        char buffer[4096];
        for (ssize_t count = recv(from, buffer, sizeof buffer, MSG_DONTWAIT); count > 0; count = recv(from, buffer, sizeof buffer, MSG_DONTWAIT))
            answer.append(buffer, static_cast<std::size_t>(count));
    }

    static bool isComplete(const std::string& answer)
    {
        const std::size_t body = answer.find("\r\n\r\n");
        const std::string length = headerOf(answer, "Content-Length");
        return body != std::string::npos && !length.empty() && answer.size() >= body + 4 + std::stoul(length);
    }

    void closeCallers()
    {
        for (const int each : m_callers)
            ::close(each);
        m_callers.clear();
        // The closing of these connections is not part of the next batch.
        m_router->loop.runFor(std::chrono::milliseconds(1));
    }

    router_fixture m_fleet;
    raw_backend m_server;
    std::optional<silent_router> m_router;
    std::vector<int> m_callers;
    std::uint64_t m_lastAttempt = 0;
};

void measure(benchmark::State& state, bool areCold, int status, bool areNew)
{
    cost_fixture fixture(areCold);
    for (int i = 0; i < warmUpBatches; ++i)
        fixture.runBatch({}, areNew);
    for (auto _ : state)
        state.SetIterationTime(std::chrono::duration<double>(fixture.runBatch(status, areNew)).count());
    state.SetItemsProcessed(state.iterations() * batchSize);
}

}

void measureFlood(benchmark::State& state)
{
    cost_fixture fixture(true);
    for (int i = 0; i < warmUpBatches; ++i)
        fixture.runFlood();
    fixture.shed = 0;
    for (auto _ : state)
        state.SetIterationTime(std::chrono::duration<double>(fixture.runFlood()).count());
    state.SetItemsProcessed(state.iterations() * floodSize);
    state.counters["shed"] = static_cast<double>(fixture.shed) / static_cast<double>(state.iterations() * floodSize);
}

BENCHMARK_CAPTURE(measure, refusal_on_kept_connection, true, statusUnavailable, false)->UseManualTime()->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(measure, refusal_on_new_connection, true, statusUnavailable, true)->UseManualTime()->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(measure, dispatch_on_kept_connection, false, statusOk, false)->UseManualTime()->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(measure, dispatch_on_new_connection, false, statusOk, true)->UseManualTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(measureFlood)->Name("refusal_in_a_flood")->UseManualTime()->Unit(benchmark::kMicrosecond);

int main(int argc, char** argv)
{
    // The fixture states its preconditions as doctest's assertions.
    doctest::Context assertions;
    assertions.setAsDefaultForAssertsOutOfTestCases();
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
}
