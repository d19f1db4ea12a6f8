#include "PeerLinkConnection.h"

#include <array>
#include <cstring>
#include <stdexcept>
#include <utility>

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/rand.h>
#include <sys/socket.h>

namespace pimentoladder {

namespace {

    constexpr std::size_t readSize = 64UL * 1024;

    // The connection is closed if sent data stays unacknowledged for this time.
    // Otherwise a link to a lost VM would appear open for many minutes.
    constexpr unsigned int userTimeoutMilliseconds = 5000;

    void setOptions(evutil_socket_t socket)
    {
        const int noDelay = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMilliseconds, sizeof(userTimeoutMilliseconds));
    }

    std::string makeChallenge()
    {
        std::array<unsigned char, 32> bytes {};
        // A predictable challenge would allow an old proof to be replayed.
        if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
            throw std::runtime_error("cannot generate random bytes for a challenge; check the system's random source");
        return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
    }

    void count(message_kind_counter& counter, std::size_t bytes)
    {
        ++counter.messages;
        counter.bytes += bytes + frameHeaderSize;
    }

}

timeval timevalOf(duration delay)
{
    const auto whole = std::chrono::floor<std::chrono::seconds>(delay);
    const auto rest = std::chrono::duration_cast<std::chrono::microseconds>(delay - whole);
    return { static_cast<time_t>(whole.count()), static_cast<suseconds_t>(rest.count()) };
}

peer_connection::peer_connection(
    event_base* base, const peer_link_settings& settings, peer_link_handlers handlers, peer_link_counters& counters)
    : m_base(base)
    , m_settings(settings)
    , m_handlers(std::move(handlers))
    , m_counters(counters)
    , m_timeout(evtimer_new(base, &peer_connection::onTimeout, this))
    , m_overflow(evtimer_new(base, &peer_connection::onOverflow, this))
    , m_alive(std::make_shared<const bool>(true))
{
}

result<void> peer_connection::send(const message& source)
{
    if (!m_isOpen)
        return makeError(error_kind::unavailable, "link is not open; send again when it is");
    result<std::string> made = encodeFrame(encodeMessage(source));
    if (!made)
        return tl::unexpected<error>(std::move(made.error()));
    const std::string& frame = *made;
    if (queuedBytes() + frame.size() > m_settings.outputLimit) {
        ++m_counters.overflowed;
        m_isOpen = false;
        const timeval now {};
        evtimer_add(m_overflow.get(), &now);
        return makeError(error_kind::resourceExhausted, "peer does not read its input and the link is closed; wait until it reopens");
    }
    message_kind_counter& counter = m_counters.sent.at(source.index());
    ++counter.messages;
    counter.bytes += frame.size();
    bufferevent_write(m_stream.get(), frame.data(), frame.size());
    return {};
}

std::size_t peer_connection::queuedBytes() const
{
    return m_stream ? evbuffer_get_length(bufferevent_get_output(m_stream.get())) : 0;
}

void peer_connection::attach(bufferevent_pointer stream, peer_handshake::role own, const vm_id& expected)
{
    m_stream = std::move(stream);
    m_parser = frame_parser(maxHandshakeFrame);
    m_handshake
        = std::make_unique<peer_handshake>(own, m_settings.self, m_settings.fleetKey, expected, makeChallenge());
    m_hasHandshakeBegun = false;
    bufferevent_setcb(m_stream.get(), &peer_connection::onReadable, nullptr, &peer_connection::onEvent, this);
    bufferevent_setwatermark(m_stream.get(), EV_READ, 0, maxFrameSize);
    bufferevent_enable(m_stream.get(), EV_READ | EV_WRITE);
    if (const evutil_socket_t socket = bufferevent_getfd(m_stream.get()); socket >= 0)
        setOptions(socket);
    const timeval limit = timevalOf(m_settings.handshakeTimeout);
    evtimer_add(m_timeout.get(), &limit);
}

void peer_connection::sendHello()
{
    sendHandshake(m_handshake->hello());
}

void peer_connection::closeStream(const error& reason)
{
    const bool hadHandshakeBegun = m_hasHandshakeBegun;
    if (m_handshake && m_hasHandshakeBegun)
        ++m_counters.rejected;
    m_isOpen = false;
    m_hasHandshakeBegun = false;
    m_stream.reset();
    m_handshake.reset();
    evtimer_del(m_timeout.get());
    evtimer_del(m_overflow.get());

    const std::weak_ptr<const bool> alive = m_alive;
    if (hadHandshakeBegun && m_handlers.closed)
        m_handlers.closed(*this, reason);
    if (!alive.expired())
        streamClosed();
}

void peer_connection::onReadable(bufferevent*, void* self)
{
    static_cast<peer_connection*>(self)->readFrames();
}

void peer_connection::onEvent(bufferevent* stream, short what, void* self)
{
    auto* link = static_cast<peer_connection*>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        setOptions(bufferevent_getfd(stream));
        link->connected();
        return;
    }
    if ((what & BEV_EVENT_EOF) != 0) {
        link->closeStream({ error_kind::unavailable, "peer closed the link; check its log if this repeats" });
        return;
    }
    const std::string cause = evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
    link->closeStream({ error_kind::unavailable, "link failed (" + cause + "); check the network and the peer" });
}

void peer_connection::onTimeout(evutil_socket_t, short, void* self)
{
    static_cast<peer_connection*>(self)->closeStream(
        { error_kind::timeout, "handshake timed out; check that the peer is a router" });
}

void peer_connection::onOverflow(evutil_socket_t, short, void* self)
{
    static_cast<peer_connection*>(self)->closeStream(
        { error_kind::resourceExhausted, "peer does not read its input; check its load" });
}

void peer_connection::readFrames()
{
    evbuffer* input = bufferevent_get_input(m_stream.get());
    std::array<char, readSize> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the next call
    while (const int size = evbuffer_remove(input, bytes.data(), bytes.size())) {
        if (size < 0)
            return;
        m_parser.append(std::string_view(bytes.data(), static_cast<std::size_t>(size)));
        for (;;) {
            result<std::optional<std::string>> frame = m_parser.next();
            if (!frame) {
                ++m_counters.malformed;
                closeStream(frame.error());
                return;
            }
            if (!*frame)
                break;
            if (!handleFrame(**frame))
                return;
        }
    }
}

// Returns whether this object and its stream still exist.
bool peer_connection::handleFrame(std::string_view frame)
{
    return m_handshake ? handleHandshake(frame) : handleMessage(frame);
}

bool peer_connection::handleHandshake(std::string_view frame)
{
    m_hasHandshakeBegun = true;
    count(m_counters.handshake, frame.size());
    const result<std::string> answer = m_handshake->receive(frame);
    if (!answer) {
        closeStream(answer.error());
        return false;
    }
    if (!answer->empty())
        sendHandshake(*answer);
    if (!m_handshake->isDone())
        return true;

    m_peer = m_handshake->peer();
    m_handshake.reset();
    m_parser.setLimit(maxFrameSize);
    evtimer_del(m_timeout.get());
    m_isOpen = true;
    handshakeDone();
    const std::weak_ptr<const bool> alive = m_alive;
    if (m_handlers.opened)
        m_handlers.opened(*this);
    return !alive.expired() && m_stream;
}

bool peer_connection::handleMessage(std::string_view frame)
{
    result<decoded_message> decoded = decodeMessage(frame);
    if (!decoded) {
        ++m_counters.malformed;
        closeStream(decoded.error());
        return false;
    }
    if (std::holds_alternative<unknown_message_kind>(*decoded)) {
        count(m_counters.unknown, frame.size());
        return true;
    }
    message& content = std::get<message>(*decoded);
    count(m_counters.received.at(content.index()), frame.size());
    const std::weak_ptr<const bool> alive = m_alive;
    if (m_handlers.received)
        m_handlers.received(*this, std::move(content));
    return !alive.expired() && m_stream;
}

void peer_connection::sendHandshake(std::string_view frame)
{
    m_hasHandshakeBegun = true;
    count(m_counters.handshake, frame.size());
    const result<std::string> framed = encodeFrame(frame);
    bufferevent_write(m_stream.get(), framed->data(), framed->size());
}

}
