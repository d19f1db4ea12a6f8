/// \file
/// Connection of a peer link, common to dialled and accepted links.

#pragma once

#include <memory>
#include <string_view>

#include <event2/bufferevent.h>
#include <event2/event.h>

#include "PeerLinkHandshake.h"
#include "pimentoladder/Net/PeerLink.h"
#include "pimentoladder/Wire/Frame.h"

namespace pimentoladder {

struct event_deleter {
    void operator()(event* owned) const { event_free(owned); }
};

struct bufferevent_deleter {
    void operator()(bufferevent* owned) const { bufferevent_free(owned); }
};

using event_pointer = std::unique_ptr<event, event_deleter>;
using bufferevent_pointer = std::unique_ptr<bufferevent, bufferevent_deleter>;

/// A `peer_link` over a bufferevent. Not thread-safe; call on the loop's thread.
class peer_connection : public peer_link {
public:
    result<void> send(const message& source) override;
    bool isOpen() const override { return m_isOpen; }
    const member_ref& peer() const override { return m_peer; }
    std::size_t queuedBytes() const override;

protected:
    peer_connection(event_base* base, const peer_link_settings& settings, peer_link_handlers handlers,
        peer_link_counters& counters);

    /// Takes over \p stream and starts the handshake and its timer.
    void attach(bufferevent_pointer stream, peer_handshake::role own, const vm_id& expected);

    /// Sends the hello of the dialler.
    void sendHello();

    /// Closes the stream and notifies the owner of the link. May destroy this
    /// object, so the caller must return immediately.
    void closeStream(const error& reason);

    /// Called last by `closeStream`; may destroy this object.
    virtual void streamClosed() = 0;

    /// Called when the stream is connected.
    virtual void connected() { }

    /// Called when the handshake has succeeded, before the handler.
    virtual void handshakeDone() { }

    bool isAttached() const { return m_stream != nullptr; }
    event_base* base() const { return m_base; }
    const peer_link_settings& settings() const { return m_settings; }

private:
    static void onReadable(bufferevent*, void* self);
    static void onEvent(bufferevent*, short what, void* self);
    static void onTimeout(evutil_socket_t, short, void* self);
    static void onOverflow(evutil_socket_t, short, void* self);

    void readFrames();
    bool handleFrame(std::string_view frame);
    bool handleHandshake(std::string_view frame);
    bool handleMessage(std::string_view frame);
    void sendHandshake(std::string_view frame);

    event_base* m_base;
    const peer_link_settings& m_settings;
    peer_link_handlers m_handlers;
    peer_link_counters& m_counters;
    event_pointer m_timeout;
    event_pointer m_overflow; // Closes the stream after the current callback.
    bufferevent_pointer m_stream;
    std::unique_ptr<peer_handshake> m_handshake;
    frame_parser m_parser;
    member_ref m_peer;
    bool m_isOpen = false;
    bool m_hasHandshakeBegun = false; // Whether a handshake frame was sent or received.
    std::shared_ptr<const bool> m_alive; // Lets callers detect that a handler destroyed this object.
};

/// Converts a duration for libevent. Thread-safe.
timeval timevalOf(duration delay);

}
