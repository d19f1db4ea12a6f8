#include "pimentoladder/Dispatch/LinkMeter.h"

#include <cmath>

namespace pimentoladder {

namespace {

    // Time in which a change is known by 63 %.
    constexpr duration useMemory = std::chrono::milliseconds(300);
    constexpr double bitsPerByte = 8;
    // Bytes on the link for each byte of a stream: a segment of 1,448 bytes takes 1,538 with the
    // headers of TCP, IP and Ethernet.
    constexpr double framingOverhead = 1.06;

}

void link_meter::onSample(time_point now, std::uint64_t received, std::uint64_t sent)
{
    const std::chrono::duration<double> elapsed = now - m_sampledAt.value_or(now);
    const bool isFirst = !m_sampledAt;
    if (!isFirst && elapsed.count() <= 0)
        return;
    if (!isFirst && m_bitsPerSecond > 0) {
        const double possible = m_bitsPerSecond / (bitsPerByte * framingOverhead) * elapsed.count();
        const double weight = 1 - std::exp(-elapsed / useMemory);
        m_use.received += (static_cast<double>(received - m_received) / possible - m_use.received) * weight;
        m_use.sent += (static_cast<double>(sent - m_sent) / possible - m_use.sent) * weight;
    }
    m_sampledAt = now;
    m_received = received;
    m_sent = sent;
}

}
