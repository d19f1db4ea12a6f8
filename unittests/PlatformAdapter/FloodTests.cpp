#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "RouterFixture.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

/// Decodes requests as the platform's codec does, in a fixed processor time, as on a small VM.
class slow_ingress final : public ingress_codec {
public:
    explicit slow_ingress(duration cost)
        : m_cost(cost)
    {
    }

    const std::string* keyDigest(const http_headers& headers) override { return m_codec.keyDigest(headers); }
    inbound_request describe(const http_request& received) override
    {
        const time_point end = tools::bootTime() + m_cost;
        while (tools::bootTime() < end)
            continue;
        return m_codec.describe(received);
    }
    http_headers attemptHeaders(const http_request& received, const open_dispatch& opened) const override { return m_codec.attemptHeaders(received, opened); }
    served_head describeHead(const http_response_head& head, const http_request& received) const override { return m_codec.describeHead(head, received); }

private:
    duration m_cost;
    platform::request_headers m_codec;
};

/// A caller's request and what became of it.
struct flood_request {
    std::string workspace;
    time_point sentAt;
    std::optional<duration> answeredAfter;
    int status = 0;
    bool hasRetryAfter = false;
};

constexpr duration requestCost = 5ms;
/// Stated targets: a refusal, and the objective of the other workspace's requests.
constexpr duration refusalTarget = 100ms;
constexpr duration objective = 300ms;
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

/// A router on a small VM and two workspaces that send requests at constant rates.
class flooded_router : public router_fixture {
public:
    flooded_router()
        : m_slow(requestCost)
    {
        const nlohmann::json route { { "name", "read" }, { "host", "h" }, { "prefix", "/read/" }, { "route_type", "idempotent" },
            { "service", "model" }, { "max_attempts", 2 }, { "timeout_ms", 3000 }, { "latency_goal_ms", 300 } };
        const nlohmann::json plan { { "version", 1 }, { "routes", { route } }, { "services", { { { "name", "model" } } } },
            { "tenants", { { { "name", "flood" }, { "api_keys", { "flood-key" } } }, { { "name", "few" }, { "api_keys", { "few-key" } } } } } };
        writeRow("op", "config", plan.dump());
        addBackend("s-0", 64);
        addBackend("s-1", 64);
        router.emplace(configured, lines, &m_slow);
        REQUIRE(router->process.start());
        REQUIRE(runUntil([this] { return call(configured.listen.admin.port, "GET", "/readyz").status == statusOk; }));
    }

    /// Sends requests for a time and waits for their answers.
    void run(duration span, const std::map<std::string, double>& ratePerSecond)
    {
        const time_point begin = tools::bootTime();
        std::map<std::string, int> sent;
        runUntil([&] {
            const std::chrono::duration<double> elapsed = tools::bootTime() - begin;
            for (const auto& [workspace, rate] : ratePerSecond) {
                for (; sent[workspace] < rate * elapsed.count(); ++sent[workspace])
                    sendOne(workspace);
            }
            return elapsed >= span; }, span + 1s);
        CHECK(runUntil([this] { return std::all_of(requests.begin(), requests.end(), [](const auto& each) { return each->answeredAfter.has_value(); }); }));
    }

    std::vector<flood_request> answered(const std::string& workspace, int status) const
    {
        std::vector<flood_request> found;
        for (const auto& each : requests) {
            if (each->workspace == workspace && each->status == status)
                found.push_back(*each);
        }
        return found;
    }

    std::vector<std::shared_ptr<flood_request>> requests;

private:
    void sendOne(const std::string& workspace)
    {
        const auto made = std::make_shared<flood_request>(flood_request { workspace, tools::bootTime(), {}, 0, false });
        requests.push_back(made);
        std::vector<tools::http_header> headers { { "Host", "h" }, { "Api-Key", workspace + "-key" }, { "X-Attempt-Id", "a" + std::to_string(++lastAttempt) }, { "X-Deadline-Ms", "3000" } };
        client.send({ { "127.0.0.1", configured.listen.callers.port }, "POST", "/read/a", "body", std::move(headers) }, [made](const tools::client_answer& ended) {
            made->answeredAfter = tools::bootTime() - made->sentAt;
            made->status = ended.status;
            made->hasRetryAfter = std::any_of(ended.headers.begin(), ended.headers.end(), [](const tools::http_header& each) { return each.name == "Retry-After"; });
        });
    }

    slow_ingress m_slow;
};

duration percentile(const std::vector<flood_request>& requests, double part)
{
    std::vector<duration> times;
    for (const flood_request& each : requests)
        times.push_back(*each.answeredAfter);
    std::sort(times.begin(), times.end());
    return times.empty() ? duration::zero() : times[static_cast<std::size_t>(part * static_cast<double>(times.size() - 1))];
}

}

// Guards against a flood of one workspace at a small router that delays refusals and the other
// workspaces there.
TEST_CASE("a flooded router refuses at once and serves the other workspaces in time")
{
    flooded_router fleet;
    // Twice what the loop carries, so that the limit has been found.
    const std::map<std::string, double> flood { { "flood", 400 }, { "few", 20 } };
    fleet.run(2s, flood);
    fleet.requests.clear();
    fleet.run(4s, flood);
    const auto few = fleet.answered("few", statusOk);
    CHECK(few.size() >= 0.95 * 20 * 4);
    CHECK(percentile(few, 0.95) < objective);
    const auto refused = fleet.answered("flood", statusUnavailable);
    CHECK(refused.size() > 100);
    CHECK(percentile(refused, 0.95) < refusalTarget);
    CHECK(std::all_of(refused.begin(), refused.end(), [](const flood_request& each) { return each.hasRetryAfter; }));
    CHECK(fleet.answered("flood", statusOk).size() * requestCost > 0.4 * 4s);
    CHECK(fleet.logged("requests_shed") > 0);
}
