#include "pimentoladder/Net/PeerLink.h"

#include <algorithm>
#include <utility>

#include "PeerLinkAddress.h"
#include "PeerLinkConnection.h"

namespace pimentoladder {

namespace {

    // Bounds the shift in the backoff; 16 doublings reach any sensible maximum delay.
    constexpr unsigned int maxDoublings = 16;

    constexpr double reconnectJitter = 0.5;

    class dialled_link final : public peer_connection {
    public:
        dialled_link(event_base* base, const peer_link_settings& settings, endpoint location, vm_id expected,
            peer_link_handlers handlers, peer_link_counters& counters, std::uint64_t seed)
            : peer_connection(base, settings, std::move(handlers), counters)
            , m_location(std::move(location))
            , m_expected(std::move(expected))
            , m_random(seed)
            , m_reconnect(evtimer_new(base, &dialled_link::onReconnect, this))
        {
            connectAfter(duration::zero());
        }

        bool isDialled() const override { return true; }

    private:
        static void onReconnect(evutil_socket_t, short, void* self)
        {
            static_cast<dialled_link*>(self)->connect();
        }

        void connect()
        {
            const std::optional<socket_address> address = parseAddress(m_location);
            if (!address) {
                streamClosed();
                return;
            }
            bufferevent* const stream = bufferevent_socket_new(base(), -1, BEV_OPT_CLOSE_ON_FREE);
            if (!stream) {
                streamClosed();
                return;
            }
            attach(bufferevent_pointer(stream), peer_handshake::role::dialler, m_expected);
            // libevent may already have reported the failure through `onEvent`.
            if (bufferevent_socket_connect(stream, address->get(), address->size()) != 0 && isAttached())
                closeStream({ error_kind::unavailable, "peer cannot be reached; check its address (the link reconnects by itself)" });
        }

        void connected() override { sendHello(); }
        void handshakeDone() override { m_failures = 0; }

        void streamClosed() override
        {
            const duration delay = std::min(
                settings().reconnectDelay * (1U << std::min(m_failures, maxDoublings)), settings().maxReconnectDelay);
            ++m_failures;
            connectAfter(m_random.jittered(delay, reconnectJitter));
        }

        void connectAfter(duration delay)
        {
            const timeval wait = timevalOf(delay);
            evtimer_add(m_reconnect.get(), &wait);
        }

        endpoint m_location;
        vm_id m_expected;
        random_source m_random;
        event_pointer m_reconnect;
        unsigned int m_failures = 0; // Failed attempts since the link was last open.
    };

}

std::unique_ptr<peer_link> peer_link::dial(event_base* base, const peer_link_settings& settings, endpoint location,
    vm_id expected, peer_link_handlers handlers, peer_link_counters& counters, std::uint64_t seed)
{
    return std::make_unique<dialled_link>(
        base, settings, std::move(location), std::move(expected), std::move(handlers), counters, seed);
}

}
