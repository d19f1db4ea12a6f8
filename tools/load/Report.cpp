#include "load/Report.h"

#include <algorithm>
#include <cmath>

namespace pimentoladder::load {

namespace {

    void addCounts(std::map<std::string, std::uint64_t>& target, const std::map<std::string, std::uint64_t>& source)
    {
        for (const auto& [kind, count] : source)
            target[kind] += count;
    }

}

latency_summary summarize(std::vector<duration> samples)
{
    if (samples.empty())
        return {};
    std::ranges::sort(samples);
    const auto rank = [&](double share) {
        const auto number = static_cast<std::size_t>(std::ceil(share * static_cast<double>(samples.size())));
        return samples[std::max<std::size_t>(number, 1) - 1];
    };
    return { samples.size(), rank(0.5), rank(0.9), rank(0.99), rank(0.999), samples.back() };
}

void load_statistics::count(const request_outcome& outcome)
{
    if (outcome.kind == outcome_kind::refused)
        ++m_refused[outcome.detail];
    if (outcome.kind == outcome_kind::broken)
        ++m_broken[outcome.detail];
    if (outcome.kind != outcome_kind::answered)
        return;
    m_cost += outcome.cost;
    m_latencies.push_back(outcome.latency);
    if (outcome.firstByteLatency)
        m_firstByteLatencies.push_back(*outcome.firstByteLatency);
}

void load_statistics::add(const load_statistics& other)
{
    m_sent += other.m_sent;
    m_cost += other.m_cost;
    addCounts(m_refused, other.m_refused);
    addCounts(m_broken, other.m_broken);
    m_latencies.insert(m_latencies.end(), other.m_latencies.begin(), other.m_latencies.end());
    m_firstByteLatencies.insert(m_firstByteLatencies.end(), other.m_firstByteLatencies.begin(), other.m_firstByteLatencies.end());
}

}
