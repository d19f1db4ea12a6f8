/// \file
/// TCP relay that can stop forwarding bytes in either direction.

#pragma once

#include <list>
#include <memory>
#include <string>
#include <vector>

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "standins/Service.h"
#include "support/Address.h"

namespace pimentoladder::standins {

/// A named link that listens on one address and connects to another.
struct link_settings {
    std::string name;
    tools::numeric_address listen;
    tools::numeric_address target;
};

/// Parses "name=IP:port>IP:port,...". Throws `std::runtime_error` if the text
/// has another form. Thread-safe.
std::vector<link_settings> parseLinks(const std::string& text);

/// Forwards the connections of one link. A stopped direction is not read, so
/// neither bytes nor the end of a connection are forwarded, as in a network
/// partition. When one side closes, the relay closes the other. Not thread-safe;
/// call on the loop's thread.
class relay_link {
public:
    /// Throws `std::runtime_error` if the address cannot be bound.
    relay_link(tools::loop& events, link_settings settings);
    ~relay_link();
    relay_link(const relay_link&) = delete;
    relay_link& operator=(const relay_link&) = delete;

    const std::string& name() const { return m_settings.name; }
    std::uint16_t port() const { return m_port; }

    void stopForward() { setStopped(&relay_link::m_isForwardStopped, true); }
    void stopBackward() { setStopped(&relay_link::m_isBackwardStopped, true); }
    void dropNew() { m_isDroppingNew = true; }
    void resetAll();
    /// Clears every fault. Bytes held back are then forwarded.
    void clearFaults();

private:
    struct connection {
        relay_link* owner = nullptr;
        bufferevent* caller = nullptr;
        bufferevent* target = nullptr;
        bool isClosing = false; ///< One side has closed; its remaining bytes are still being forwarded.
        std::list<connection>::iterator self;
    };

    static void onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* argument);
    static void onRead(bufferevent* source, void* argument);
    static void onOutputWritten(bufferevent* source, void* argument);
    static void onEvent(bufferevent* source, short what, void* argument);

    void setStopped(bool relay_link::*direction, bool isStopped);
    void applyDirections(const connection& pair) const;
    void closeConnection(connection& pair, bool withReset);

    tools::loop& m_loop;
    link_settings m_settings;
    evconnlistener* m_listener;
    std::uint16_t m_port = 0;
    bool m_isForwardStopped = false;
    bool m_isBackwardStopped = false;
    bool m_isDroppingNew = false;
    std::list<connection> m_connections;
};

/// Controls the links of a relay by POST /fault. Not thread-safe; call on the
/// loop's thread.
class relay_service {
public:
    relay_service(service_context context, const std::vector<link_settings>& links);

    void handle(const exchange_ptr& exchange);

    const std::vector<std::unique_ptr<relay_link>>& links() const { return m_links; }

private:
    void handleFault(const exchange_ptr& exchange);

    service_context m_context;
    std::vector<std::unique_ptr<relay_link>> m_links;
};

}
