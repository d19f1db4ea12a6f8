#include "pimentoladder/Dispatch/LoadShedder.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "pimentoladder/Dispatch/OverloadGuard.h"

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 1ms;
constexpr duration sampleInterval = 50ms;

struct request_count {
    double asked = 0;
    double refused = 0;
};

/// An event loop on a small VM, to which workspaces send requests at constant rates. An
/// accepted request and a refusal take the given time of the loop.
class loaded_loop {
public:
    loaded_loop(duration acceptedCost, duration refusedCost)
        : m_acceptedCost(acceptedCost)
        , m_refusedCost(refusedCost)
    {
    }

    void run(duration span, const std::map<std::string, double>& ratePerSecond)
    {
        const time_point end = m_now + span;
        while (m_now < end) {
            receive(ratePerSecond);
            if (m_queue.empty())
                m_now += step;
            else
                handleFirst();
            if (m_now - m_sampledAt >= sampleInterval)
                sample();
        }
    }

    std::map<std::string, request_count> counts;
    duration largestLag {};
    load_shedder shedder;
    overload_guard guard { 1 };

private:
    struct request {
        std::string workspace;
        time_point arrivedAt;
    };

    /// Queues the requests that have arrived since the last call.
    void receive(const std::map<std::string, double>& ratePerSecond)
    {
        const std::chrono::duration<double> elapsed = m_now - std::exchange(m_receivedAt, m_now);
        for (const auto& [workspace, rate] : ratePerSecond) {
            double& due = m_due[workspace];
            due += rate * elapsed.count();
            for (; due >= 1; due -= 1)
                m_queue.push_back({ workspace, m_now });
        }
    }

    void handleFirst()
    {
        const request first = m_queue.front();
        m_queue.pop_front();
        request_count& count = counts[first.workspace];
        ++count.asked;
        const bool isRefused = shedder.shouldRefuse(m_now, workspace_id(first.workspace));
        count.refused += isRefused ? 1 : 0;
        m_now += isRefused ? m_refusedCost : m_acceptedCost;
    }

    void sample()
    {
        const duration lag = m_queue.empty() ? duration::zero() : m_now - m_queue.front().arrivedAt;
        guard.onSample(m_now, { {}, m_now - m_sampledAt, lag });
        m_sampledAt = m_now;
        shedder.onLag(m_now, guard.lag());
        largestLag = std::max(largestLag, lag);
    }

    duration m_acceptedCost;
    duration m_refusedCost;
    time_point m_now { 100s };
    time_point m_sampledAt { 100s };
    time_point m_receivedAt { 100s };
    std::deque<request> m_queue;
    std::map<std::string, double> m_due;
};

const std::map<std::string, double> flood { { "flood", 800 }, { "a", 20 }, { "b", 10 }, { "c", 5 } };

}

// Guards against a router that stalls because it accepts more requests than its loop carries.
TEST_CASE("a flood that exceeds the loop's capacity does not make it lag")
{
    loaded_loop loop(5ms, 300us);
    loop.run(2s, flood);
    loop.largestLag = {};
    loop.counts.clear();
    loop.run(20s, flood);
    CHECK(loop.largestLag < 200ms);
    CHECK_FALSE(loop.guard.isOverloaded());
    const request_count& flooding = loop.counts["flood"];
    const auto left = 20s - 20 * (20 + 10 + 5) * 5ms - flooding.refused * 300us;
    CHECK((flooding.asked - flooding.refused) * 5ms > 0.75 * left);
}

// Guards against a flood of one workspace that makes the router refuse the others.
TEST_CASE("workspaces with few requests are not refused during the flood of another one")
{
    loaded_loop loop(5ms, 300us);
    loop.run(22s, flood);
    for (const char* workspace : { "a", "b", "c" }) {
        CAPTURE(workspace);
        CHECK(loop.counts[workspace].refused <= 0.02 * loop.counts[workspace].asked);
    }
}

// Guards against workspaces of equal rates that are refused unequally.
TEST_CASE("two floods get equal parts")
{
    loaded_loop loop(5ms, 300us);
    loop.run(20s, { { "x", 300 }, { "y", 600 } });
    const double x = loop.counts["x"].asked - loop.counts["x"].refused;
    const double y = loop.counts["y"].asked - loop.counts["y"].refused;
    CHECK(x > 0.8 * y);
    CHECK(y > 0.8 * x);
}

// Guards against a limit that outlasts the flood.
TEST_CASE("the limit ends after the flood")
{
    loaded_loop loop(5ms, 300us);
    loop.run(5s, flood);
    CHECK(loop.shedder.limit());
    loop.run(5s, { { "flood", 20 } });
    CHECK_FALSE(loop.shedder.limit());
    loop.counts.clear();
    loop.run(1s, { { "flood", 40 } });
    CHECK(loop.counts["flood"].refused == 0);
}

// Guards against refusals at a router whose lag has another cause than its requests.
TEST_CASE("a lag with few requests refuses none of them")
{
    loaded_loop loop(60ms, 300us);
    loop.run(5s, { { "few", 16 } });
    CHECK(loop.counts["few"].refused == 0);
}
