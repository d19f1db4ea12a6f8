#include "pimentoladder/Daemon/ShutdownSequence.h"

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr duration checkInterval = 50ms;
    // Bounds the wait for the removal of the member row. The table may be down;
    // peers then detect the missing heartbeats instead.
    constexpr duration leaveTimeout = 3s;

}

shutdown_sequence::shutdown_sequence(targets components, shutdown_settings limits)
    : m_targets(components)
    , m_limits(limits)
    , m_graceTimer(components.driver.loop(), [this] { drain(); })
    , m_deadlineTimer(components.driver.loop(), [this] { end("deadline"); })
    , m_checkTimer(components.driver.loop(), [this] { endIfIdle(); })
{
}

void shutdown_sequence::begin(time_point receivedAt)
{
    if (m_hasBegun) {
        m_targets.log.write(log_level::info, "shutdown_signal_ignored", { { "requests", static_cast<std::uint64_t>(m_targets.callers.inProgress()) } });
        return;
    }
    m_hasBegun = true;
    m_targets.admin.setUnready();
    m_targets.callerServer.setKeepAlive(false);
    m_targets.log.write(log_level::info, "shutdown_begun", { { "requests", static_cast<std::uint64_t>(m_targets.callers.inProgress()) } });
    const time_point now = m_targets.driver.loop().now();
    m_graceTimer.arm(receivedAt + m_limits.grace - now);
    m_deadlineTimer.arm(receivedAt + m_limits.deadline - now);
}

void shutdown_sequence::interrupt(time_point receivedAt)
{
    if (m_hasBegun)
        end("interrupt");
    else
        begin(receivedAt);
}

void shutdown_sequence::drain()
{
    m_drainedAt = m_targets.driver.loop().now();
    m_targets.callerServer.drain();
    m_targets.driver.post([](router_core& core, time_point now) { return core.drain(now); });
    m_checkTimer.arm(checkInterval);
}

void shutdown_sequence::endIfIdle()
{
    const bool hasLeft = m_targets.driver.core().fleet().hasLeft()
        || m_targets.driver.loop().now() - m_drainedAt > leaveTimeout;
    const bool isIdle = m_targets.callers.inProgress() == 0 && m_targets.driver.core().requests().figures().inProgress == 0;
    if (hasLeft && isIdle) {
        end("idle");
        return;
    }
    m_checkTimer.arm(checkInterval);
}

void shutdown_sequence::end(std::string_view reason)
{
    const std::uint64_t cut = m_targets.callers.abortAll();
    m_targets.log.write(cut == 0 ? log_level::info : log_level::warning, "shutdown_ended", { { "reason", reason }, { "requests_cut", cut } });
    m_targets.driver.loop().stop();
}

}
