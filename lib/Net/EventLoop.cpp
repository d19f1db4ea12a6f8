#include "pimentoladder/Net/EventLoop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <ctime>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

#include <event2/event.h>

namespace pimentoladder {

namespace {

    timeval toTimeval(duration length)
    {
        const duration positive = std::max(length, duration::zero());
        const auto whole = std::chrono::duration_cast<std::chrono::seconds>(positive);
        const auto rest = std::chrono::ceil<std::chrono::microseconds>(positive - whole);
        return { static_cast<time_t>(whole.count()), static_cast<suseconds_t>(rest.count()) };
    }

    time_point toTimePoint(const timespec& read)
    {
        return time_point(std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec));
    }

    // Write ends of the listeners' pipes, by signal number.
    std::array<volatile std::sig_atomic_t, NSIG> signalPipes {};

    /// Writes the time of a signal to its listener's pipe. Runs in the context of the signal.
    void recordSignal(int signalNumber)
    {
        const int savedError = errno;
        timespec received {};
        clock_gettime(CLOCK_BOOTTIME, &received);
        static_cast<void>(!write(signalPipes[static_cast<std::size_t>(signalNumber)], &received, sizeof received));
        errno = savedError;
    }

    /// Calls the function that \p context points to. The copied pointer keeps the
    /// function alive if it destroys its owner.
    void runCallback(evutil_socket_t, short, void* context)
    {
        const std::shared_ptr<std::function<void()>> callback
            = *static_cast<std::shared_ptr<std::function<void()>>*>(context);
        (*callback)();
    }

    event* makeEvent(event_loop& loop, evutil_socket_t source, short what, std::shared_ptr<std::function<void()>>& callback)
    {
        event* made = event_new(loop.base(), source, what, runCallback, &callback);
        if (!made)
            throw std::runtime_error("cannot create a libevent event; free some memory");
        return made;
    }

}

event_loop::event_loop()
    : m_base(nullptr)
{
    event_config* config = event_config_new();
    if (!config)
        throw std::runtime_error("cannot create a libevent configuration; free some memory");
    // PRECISE_TIMER: the coarse clock would fire timers up to one tick early.
    // EPOLL_USE_CHANGELIST: evhttp disables and enables reading for each message;
    // the change list drops pairs of changes that cancel out within one loop
    // iteration. The list does not support duplicated descriptors, and there are none.
    event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK | EVENT_BASE_FLAG_PRECISE_TIMER | EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    m_base = event_base_new_with_config(config);
    event_config_free(config);
    if (!m_base)
        throw std::runtime_error("cannot create a libevent event base; check the limit of open files");
}

event_loop::~event_loop()
{
    event_base_free(m_base);
}

time_point event_loop::now() const
{
    timespec read {};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return toTimePoint(read);
}

duration event_loop::processorTime() const
{
    timespec read {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &read);
    return std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec);
}

void event_loop::run()
{
    event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::runFor(duration limit)
{
    loop_timer end(*this, [this] { stop(); });
    end.arm(limit);
    run();
}

void event_loop::stop()
{
    event_base_loopbreak(m_base);
}

loop_timer::loop_timer(event_loop& loop, std::function<void()> callback)
    : m_callback(std::make_shared<std::function<void()>>(std::move(callback)))
    , m_event(makeEvent(loop, -1, 0, m_callback))
{
}

loop_timer::~loop_timer()
{
    event_free(m_event);
}

void loop_timer::arm(duration delay)
{
    const timeval wait = toTimeval(delay);
    event_add(m_event, &wait);
}

void loop_timer::cancel()
{
    event_del(m_event);
}

bool loop_timer::isArmed() const
{
    return event_pending(m_event, EV_TIMEOUT, nullptr) != 0;
}

deferred_call::deferred_call(event_loop& loop, std::function<void()> callback)
    : m_callback(std::make_shared<std::function<void()>>(std::move(callback)))
    , m_event(makeEvent(loop, -1, 0, m_callback))
{
}

deferred_call::~deferred_call()
{
    event_free(m_event);
}

void deferred_call::schedule()
{
    event_active(m_event, EV_TIMEOUT, 0);
}

void deferred_call::cancel()
{
    event_del(m_event);
}

signal_listener::signal_listener(event_loop& loop, int signalNumber, std::function<void(time_point receivedAt)> callback)
    : m_signalNumber(signalNumber)
    , m_whenReceived(std::move(callback))
    , m_callback(std::make_shared<std::function<void()>>([this] { readSignals(); }))
{
    if (pipe2(m_pipe, O_NONBLOCK | O_CLOEXEC) != 0)
        throw std::runtime_error("cannot create a pipe for signals; check the limit of open files");
    m_event = makeEvent(loop, m_pipe[0], EV_READ | EV_PERSIST, m_callback);
    event_add(m_event, nullptr);
    signalPipes.at(static_cast<std::size_t>(signalNumber)) = m_pipe[1];
    struct sigaction action { };
    action.sa_handler = recordSignal;
    action.sa_flags = SA_RESTART;
    sigaction(signalNumber, &action, nullptr);
}

signal_listener::~signal_listener()
{
    std::signal(m_signalNumber, SIG_DFL);
    event_free(m_event);
    close(m_pipe[0]);
    close(m_pipe[1]);
}

void signal_listener::readSignals()
{
    timespec received {};
    while (read(m_pipe[0], &received, sizeof received) == sizeof received)
        m_whenReceived(toTimePoint(received));
}

}
