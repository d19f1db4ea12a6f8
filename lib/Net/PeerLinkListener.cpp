#include <algorithm>
#include <list>
#include <utility>

#include <event2/listener.h>

#include "PeerLinkAddress.h"
#include "PeerLinkConnection.h"

namespace pimentoladder {

namespace {

    // Maximum number of links in the handshake. Above the number of routers that
    // may reconnect at the same time, and bounds a flood of unknown connections.
    constexpr std::size_t maxPending = 512;

    struct listener_deleter {
        void operator()(evconnlistener* owned) const { evconnlistener_free(owned); }
    };

    class accepted_link final : public peer_connection {
    public:
        accepted_link(event_base* base, const peer_link_settings& settings, const peer_link_handlers& handlers,
            peer_link_counters& counters, std::function<void(const accepted_link&)> discard)
            : peer_connection(base, settings, handlers, counters)
            , m_discard(std::move(discard))
        {
        }

        void start(bufferevent_pointer stream)
        {
            attach(std::move(stream), peer_handshake::role::acceptor, vm_id {});
        }

        bool isDialled() const override { return false; }
        bool isPending() const { return m_isPending; }

    private:
        void handshakeDone() override { m_isPending = false; }
        void streamClosed() override
        {
            // Copied, because the function is a member of this object, which it destroys.
            const auto discard = m_discard;
            discard(*this);
        }

        std::function<void(const accepted_link&)> m_discard;
        bool m_isPending = true;
    };

    class libevent_listener final : public peer_listener {
    public:
        libevent_listener(
            event_base* base, const peer_link_settings& settings, peer_link_handlers handlers, peer_link_counters& counters)
            : m_base(base)
            , m_settings(settings)
            , m_handlers(std::move(handlers))
            , m_counters(counters)
        {
        }

        result<void> bind(const endpoint& location)
        {
            const std::optional<socket_address> address = parseAddress(location);
            if (!address) {
                return makeError(error_kind::invalidArgument,
                    "peer address \"" + location.address + "\" is not numeric; give an IPv4 or IPv6 address");
            }
            m_listener.reset(evconnlistener_new_bind(m_base, &libevent_listener::onAccept, this,
                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1, address->get(),
                address->size()));
            if (!m_listener) {
                return makeError(error_kind::unavailable,
                    "peer address \"" + location.address + "\" port " + std::to_string(location.port)
                        + " cannot be bound; choose a free one");
            }
            socket_address bound;
            socklen_t length = sizeof(bound.storage);
            getsockname(evconnlistener_get_fd(m_listener.get()), bound.get(), &length);
            m_location = { location.address, portOf(bound) };
            return {};
        }

        endpoint location() const override { return m_location; }

    private:
        static void onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self)
        {
            static_cast<libevent_listener*>(self)->accept(socket);
        }

        void accept(evutil_socket_t socket)
        {
            bufferevent_pointer stream(bufferevent_socket_new(m_base, socket, BEV_OPT_CLOSE_ON_FREE));
            if (!stream) {
                evutil_closesocket(socket);
                return;
            }
            const auto pending = std::count_if(
                m_links.begin(), m_links.end(), [](const auto& link) { return link->isPending(); });
            if (static_cast<std::size_t>(pending) >= maxPending) {
                ++m_counters.rejected;
                return;
            }
            const auto discard = [this](const accepted_link& closed) {
                m_links.remove_if([&closed](const auto& link) { return link.get() == &closed; });
            };
            m_links.push_back(std::make_unique<accepted_link>(m_base, m_settings, m_handlers, m_counters, discard));
            m_links.back()->start(std::move(stream));
        }

        event_base* m_base;
        const peer_link_settings& m_settings;
        peer_link_handlers m_handlers;
        peer_link_counters& m_counters;
        std::unique_ptr<evconnlistener, listener_deleter> m_listener;
        std::list<std::unique_ptr<accepted_link>> m_links;
        endpoint m_location;
    };

}

result<std::unique_ptr<peer_listener>> peer_listener::listen(event_base* base, const peer_link_settings& settings,
    const endpoint& location, peer_link_handlers handlers, peer_link_counters& counters)
{
    auto listener = std::make_unique<libevent_listener>(base, settings, std::move(handlers), counters);
    if (auto bound = listener->bind(location); !bound)
        return tl::unexpected<error>(std::move(bound.error()));
    return std::unique_ptr<peer_listener>(std::move(listener));
}

}
