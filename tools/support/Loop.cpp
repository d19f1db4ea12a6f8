#include "support/Loop.h"

#include <csignal>
#include <ctime>
#include <stdexcept>

namespace pimentoladder::tools {

namespace {

    timeval toTimeval(duration span)
    {
        using namespace std::chrono;
        const auto rounded = ceil<microseconds>(std::max(span, duration::zero()));
        const auto whole = duration_cast<seconds>(rounded);
        return { static_cast<time_t>(whole.count()), static_cast<suseconds_t>((rounded - whole).count()) };
    }

}

time_point bootTime()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

loop::loop()
{
    // By default libevent uses a coarse clock, which rounds timers to whole
    // milliseconds.
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    m_base.reset(event_base_new_with_config(config));
    event_config_free(config);
    if (!m_base)
        throw std::runtime_error("cannot create the libevent event base; check the limit of open files");
}

loop::~loop() = default;

loop::timer_number loop::callAfter(duration delay, callback action)
{
    auto entry = std::make_unique<timer>();
    entry->owner = this;
    entry->number = ++m_lastTimer;
    entry->action = std::move(action);
    entry->entry.reset(evtimer_new(m_base.get(), onTimer, entry.get()));
    const timeval wait = toTimeval(delay);
    evtimer_add(entry->entry.get(), &wait);
    m_timers.emplace(entry->number, std::move(entry));
    return m_lastTimer;
}

void loop::cancel(timer_number number)
{
    m_timers.erase(number);
}

void loop::onTimer(evutil_socket_t, short, void* argument)
{
    auto* fired = static_cast<timer*>(argument);
    loop* owner = fired->owner;
    const callback action = std::move(fired->action);
    owner->m_timers.erase(fired->number);
    action();
}

void loop::stopOnSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    for (const int number : { SIGINT, SIGTERM }) {
        m_signals.emplace_back(evsignal_new(m_base.get(), number, onSignal, this));
        evsignal_add(m_signals.back().get(), nullptr);
    }
}

void loop::onSignal(evutil_socket_t, short, void* argument)
{
    static_cast<loop*>(argument)->stop();
}

void loop::run()
{
    event_base_loop(m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void loop::runFor(duration span)
{
    const timeval wait = toTimeval(span);
    event_base_loopexit(m_base.get(), &wait);
    event_base_loop(m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void loop::stop()
{
    event_base_loopbreak(m_base.get());
}

}
