#include "standins/Relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <event2/buffer.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace pimentoladder::standins {

using nlohmann::json;
using tools::bootTime;

namespace {

    // Above this many buffered bytes a direction is not read until the output
    // buffer has been written.
    constexpr std::size_t bufferLimit = std::size_t { 256 } * 1024;

    struct socket_address {
        sockaddr_storage storage {};
        int size = 0;

        sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
    };

    socket_address toSocketAddress(const tools::numeric_address& source)
    {
        socket_address parsed;
        auto* four = reinterpret_cast<sockaddr_in*>(&parsed.storage);
        auto* six = reinterpret_cast<sockaddr_in6*>(&parsed.storage);
        if (inet_pton(AF_INET, source.host.c_str(), &four->sin_addr) == 1) {
            four->sin_family = AF_INET;
            four->sin_port = htons(source.port);
            parsed.size = sizeof(sockaddr_in);
            return parsed;
        }
        if (inet_pton(AF_INET6, source.host.c_str(), &six->sin6_addr) == 1) {
            six->sin6_family = AF_INET6;
            six->sin6_port = htons(source.port);
            parsed.size = sizeof(sockaddr_in6);
            return parsed;
        }
        throw std::runtime_error("address " + source.host + " is not numeric; use an IP address");
    }

    void resetOnClose(evutil_socket_t socket)
    {
        const linger discard { 1, 0 };
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    }

    struct link_fault {
        fault_kind kind;
        void (relay_link::*apply)();
    };

    constexpr std::array<link_fault, 4> linkFaults { {
        { fault_kind::stopForward, &relay_link::stopForward },
        { fault_kind::stopBackward, &relay_link::stopBackward },
        { fault_kind::dropNew, &relay_link::dropNew },
        { fault_kind::resetAll, &relay_link::resetAll },
    } };

}

std::vector<link_settings> parseLinks(const std::string& text)
{
    std::vector<link_settings> links;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        const std::size_t equals = part.find('=');
        const std::size_t arrow = part.find('>');
        if (equals == std::string::npos || arrow == std::string::npos || arrow < equals)
            throw std::runtime_error("link \"" + part + "\" is malformed; use name=IP:port>IP:port");
        links.push_back({ part.substr(0, equals), tools::parseAddress(part.substr(equals + 1, arrow - equals - 1)),
            tools::parseAddress(part.substr(arrow + 1)) });
    }
    return links;
}

relay_link::relay_link(tools::loop& events, link_settings settings)
    : m_loop(events)
    , m_settings(std::move(settings))
{
    socket_address address = toSocketAddress(m_settings.listen);
    m_listener = evconnlistener_new_bind(events.base(), onAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, address.get(), address.size);
    if (!m_listener)
        throw std::runtime_error("link " + m_settings.name + " cannot listen; choose a free port");
    m_port = tools::portOf(evconnlistener_get_fd(m_listener));
}

relay_link::~relay_link()
{
    evconnlistener_free(m_listener);
    resetAll();
}

void relay_link::onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* argument)
{
    auto* self = static_cast<relay_link*>(argument);
    if (self->m_isDroppingNew) {
        resetOnClose(socket);
        evutil_closesocket(socket);
        return;
    }
    event_base* base = self->m_loop.base();
    connection& pair = self->m_connections.emplace_back();
    pair.self = std::prev(self->m_connections.end());
    pair.owner = self;
    pair.caller = bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
    pair.target = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(pair.caller, onRead, onOutputWritten, onEvent, &pair);
    bufferevent_setcb(pair.target, onRead, onOutputWritten, onEvent, &pair);
    self->applyDirections(pair);
    socket_address address = toSocketAddress(self->m_settings.target);
    // A connect failure is reported to onEvent or by the return value.
    if (bufferevent_socket_connect(pair.target, address.get(), address.size) != 0)
        self->closeConnection(pair, true);
}

void relay_link::onRead(bufferevent* source, void* argument)
{
    const auto* pair = static_cast<connection*>(argument);
    bufferevent* other = source == pair->caller ? pair->target : pair->caller;
    evbuffer* output = bufferevent_get_output(other);
    evbuffer_add_buffer(output, bufferevent_get_input(source));
    if (evbuffer_get_length(output) > bufferLimit)
        bufferevent_disable(source, EV_READ);
}

void relay_link::onOutputWritten(bufferevent*, void* argument)
{
    auto* pair = static_cast<connection*>(argument);
    if (pair->isClosing) {
        pair->owner->closeConnection(*pair, false);
        return;
    }
    pair->owner->applyDirections(*pair);
}

void relay_link::onEvent(bufferevent* source, short what, void* argument)
{
    auto* pair = static_cast<connection*>(argument);
    if (what & BEV_EVENT_CONNECTED)
        return;
    bufferevent* other = source == pair->caller ? pair->target : pair->caller;
    const bool isOrderly = (what & BEV_EVENT_EOF) != 0;
    if (isOrderly && evbuffer_get_length(bufferevent_get_output(other)) > 0) {
        pair->isClosing = true;
        bufferevent_disable(source, EV_READ);
        bufferevent_disable(other, EV_READ);
        return;
    }
    pair->owner->closeConnection(*pair, !isOrderly);
}

void relay_link::setStopped(bool relay_link::*direction, bool isStopped)
{
    this->*direction = isStopped;
    for (const connection& pair : m_connections) {
        if (!pair.isClosing)
            applyDirections(pair);
    }
}

void relay_link::applyDirections(const connection& pair) const
{
    (m_isForwardStopped ? bufferevent_disable : bufferevent_enable)(pair.caller, EV_READ);
    (m_isBackwardStopped ? bufferevent_disable : bufferevent_enable)(pair.target, EV_READ);
}

void relay_link::resetAll()
{
    while (!m_connections.empty())
        closeConnection(m_connections.front(), true);
}

void relay_link::clearFaults()
{
    m_isDroppingNew = false;
    setStopped(&relay_link::m_isForwardStopped, false);
    setStopped(&relay_link::m_isBackwardStopped, false);
}

void relay_link::closeConnection(connection& pair, bool withReset)
{
    for (bufferevent* side : { pair.caller, pair.target }) {
        if (withReset)
            resetOnClose(bufferevent_getfd(side));
        bufferevent_free(side);
    }
    m_connections.erase(pair.self);
}

relay_service::relay_service(service_context context, const std::vector<link_settings>& links)
    : m_context(std::move(context))
{
    for (const link_settings& link : links)
        m_links.push_back(std::make_unique<relay_link>(m_context.events, link));
}

void relay_service::handle(const exchange_ptr& exchange)
{
    static constexpr std::array<route<relay_service>, 1> routes { {
        { "POST", "/fault", &relay_service::handleFault },
    } };
    dispatch<relay_service>(*this, routes, exchange);
}

void relay_service::handleFault(const exchange_ptr& exchange)
{
    const json order = json::parse(exchange->body());
    const std::string target = order.value("target", std::string());
    void (relay_link::*apply)() = &relay_link::clearFaults;
    duration activeFor {};
    if (order.at("kind") != "none") {
        const time_point now = bootTime();
        const result<fault> parsed = parseFault(exchange->body(), now);
        const auto* found = parsed ? std::ranges::find(linkFaults, parsed->kind, &link_fault::kind) : linkFaults.end();
        if (found == linkFaults.end()) {
            exchange->reply(400, R"({"error":"no such fault at a relay; see docs/standins.md"})");
            return;
        }
        apply = found->apply;
        activeFor = parsed->expiresAt ? *parsed->expiresAt - now : duration::zero();
    }
    bool isFound = false;
    for (const auto& link : m_links) {
        if (!target.empty() && link->name() != target)
            continue;
        isFound = true;
        ((*link).*apply)();
        m_context.history.write(bootTime(), "link_fault", { { "link", link->name() }, { "kind", order.at("kind") } });
        if (activeFor > duration::zero())
            m_context.events.callAfter(activeFor, [entry = link.get()] { entry->clearFaults(); });
    }
    exchange->reply(isFound ? 200 : 404, "{}");
}

}
