/// \file
/// Scheduler with a simulated clock, and a transport whose answers the test
/// supplies.

#pragma once

#include <map>
#include <vector>

#include "pimentoladder/Platform/Transport.h"

namespace pimentoladder {

class fake_scheduler : public scheduler {
public:
    time_point now() const override { return m_now; }
    void callAfter(duration delay, callback action) override { m_timers.emplace(m_now + delay, std::move(action)); }

    /// Runs timers in order of time, and advances the clock, until none is left.
    void runAll()
    {
        while (!m_timers.empty()) {
            auto first = m_timers.extract(m_timers.begin());
            m_now = first.key();
            first.mapped()();
        }
    }

private:
    time_point m_now { std::chrono::seconds(1000) };
    std::multimap<time_point, callback> m_timers;
};

class fake_transport : public transport {
public:
    /// Returns the answer to a request and its delay.
    using responder = std::function<std::pair<transport_answer, duration>(const transport_request&)>;

    fake_transport(fake_scheduler& timers, responder respond)
        : m_timers(timers)
        , m_respond(std::move(respond))
    {
    }

    void send(const transport_request& request, time_point deadline, callback onEnd) override
    {
        sentAt.push_back(m_timers.now());
        auto [answer, wait] = m_respond(request);
        if (m_timers.now() + wait > deadline) {
            answer = { .end = transport_end::outcomeUnknown };
            wait = deadline - m_timers.now();
        }
        m_timers.callAfter(wait, [answer = answer, onEnd = std::move(onEnd)] { onEnd(answer); });
    }

    std::vector<time_point> sentAt;

private:
    fake_scheduler& m_timers;
    responder m_respond;
};

}
