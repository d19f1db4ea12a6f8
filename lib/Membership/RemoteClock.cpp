#include "pimentoladder/Membership/RemoteClock.h"

#include <algorithm>
#include <cstddef>

namespace pimentoladder {

namespace {

    // Answers of which the least bound is used: about 3 s of heartbeats.
    constexpr std::size_t maxSamples = 8;

    // Two quartz clocks drift apart by less than 500 parts per million.
    constexpr int driftDivisor = 2000;

}

void remote_clock::answered(time_point peerClock, time_point probeSentAt)
{
    m_samples.push_back({ peerClock - probeSentAt, probeSentAt });
    if (m_samples.size() > maxSamples)
        m_samples.pop_front();
}

std::optional<time_point> remote_clock::upperBoundAt(time_point now) const
{
    std::optional<time_point> latest;
    for (const sample& each : m_samples) {
        const time_point bound = now + each.offset + (now - each.probeSentAt) / driftDivisor;
        latest = latest ? std::min(*latest, bound) : bound;
    }
    return latest;
}

}
