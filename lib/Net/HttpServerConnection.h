/// \file
/// One connection of the HTTP server and the response in progress on it.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Net/HttpMessageParser.h"
#include "pimentoladder/Net/HttpServer.h"

namespace pimentoladder {

class http_server_connection;

/// Handle of the response on a connection. It may outlive the connection.
class http_server_answer final : public http_response_writer {
public:
    http_server_answer(event_loop& loop, http_server_connection& owner)
        : m_connection(&owner)
        , m_notifyCallerLeft(loop, [this] { invokeAndClear(m_whenLeft); })
        , m_notifyDrained(loop, [this] { invokeAndClear(m_whenDrained); })
    {
    }
    ~http_server_answer() override;
    http_server_answer(const http_server_answer&) = delete;
    http_server_answer& operator=(const http_server_answer&) = delete;

    void start(const http_response_head& head) override;
    void send(std::string_view bytes) override;
    void end() override;
    void abort() override;
    void reply(const http_response_head& head, std::string_view body) override;
    void refuse(refusal_kind kind, std::string_view message) override;
    std::size_t pendingBytes() const override;
    std::size_t pendingBytesOfAll() const override;
    void whenDrained(std::size_t lowBytes, std::function<void()> callback) override;
    bool hasCallerClosed() const override;
    void whenCallerDisconnects(std::function<void()> callback) override { m_whenLeft = std::move(callback); }

    /// Detaches from a connection that has closed, and notifies the handler.
    void connectionClosed();
    /// Detaches from a connection that has sent the complete response.
    void answerSent() { m_connection = nullptr; }
    void outputShrank();

private:
    static void invokeAndClear(std::function<void()>& callback)
    {
        const auto called = std::exchange(callback, nullptr);
        if (called)
            called();
    }

    http_server_connection* m_connection;
    std::function<void()> m_whenLeft;
    std::function<void()> m_whenDrained;
    deferred_call m_notifyCallerLeft;
    deferred_call m_notifyDrained;
    std::size_t m_lowBytes = 0;
    std::optional<std::uint64_t> m_remainingBytes; ///< Body bytes left of the declared `Content-Length`.
    bool m_isStarted = false;
    bool m_isEnded = false;
};

/// Interface from a connection to its server.
class http_server_connection_owner {
public:
    virtual ~http_server_connection_owner() = default;
    virtual const http_server_limits& limits() const = 0;
    virtual bool isDraining() const = 0; ///< Whether connections close once no request is left on them.
    virtual bool keepsConnections() const = 0; ///< Whether responses keep their connection open.
    virtual std::size_t connectionCount() const = 0;
    /// Calls `readQueued` of the connection in its turn. Precondition: it is not in the queue.
    virtual void enqueueRead(http_server_connection& readable) = 0;
    virtual void dequeueRead(http_server_connection& readable) = 0;
    /// Returns the response of a request that is refused early, or an empty text.
    virtual std::string_view earlyAnswer(const http_headers& headers, bool closes) = 0;
    virtual void requestArrived(http_request request, std::shared_ptr<http_response_writer> answer) = 0;
    virtual void connectionClosing(const server_close& closing) = 0;
    /// Replaces the part \p before of the connections' pending output by \p after.
    virtual void pendingBytesChanged(std::size_t before, std::size_t after) = 0;
    virtual std::size_t pendingBytes() const = 0; ///< Of all connections.
    virtual void bytesMoved(std::size_t received, std::size_t sent) = 0;
    virtual const std::shared_ptr<memory_account>& memory() const = 0;
    /// Lets a request of another connection that has stalled give way. Returns whether one did.
    virtual bool makeRoom(caller_number asking) = 0;
    virtual void memoryMeasureTaken(const memory_event& taken) = 0;
    /// Takes over a closed connection, to destroy it later.
    virtual void connectionClosed(bufferevent* channel) = 0;
};

/// One caller's connection. evhttp owns the bufferevent. The raw input is moved
/// out of it as it arrives; evhttp receives one validated head at a time.
class http_server_connection {
public:
    http_server_connection(event_loop& loop, http_server_connection_owner& owner, bufferevent* channel, caller_number number);
    ~http_server_connection();
    http_server_connection(const http_server_connection&) = delete;
    http_server_connection& operator=(const http_server_connection&) = delete;

    /// Continues in evhttp's request callback for the head that was injected.
    void requestParsed(evhttp_request* request);

    /// Handles the input that has arrived. Called by the owner, in the order of its queue.
    void readQueued();

    caller_number number() const { return m_number; }

    /// Refuses the incomplete request, so that another one finds room. Returns false if there is none.
    bool giveWay();

    /// Refuses the request that is being read, or the connection before any request.
    void refuse(refusal_kind kind, std::string message);
    /// Closes at once. Must not be called from within an evhttp callback.
    void close(server_close_reason reason);
    /// Closes the connection for a drain, unless a request has arrived or is in
    /// progress. Must not be called from within an evhttp callback.
    void closeIfIdle();

    void sendHead(const http_response_head& head, bool isLengthKnown);
    void sendBody(std::string_view bytes);
    /// Writes pending output to the socket. libevent would write it in the next iteration of the loop,
    /// which costs two changes of what the loop waits for and another wake-up.
    void flushOutput();
    void endAnswer();
    void abortAnswer();
    std::size_t pendingBytes() const { return evbuffer_get_length(bufferevent_get_output(m_channel)); }
    std::size_t pendingBytesOfAll() const { return m_owner.pendingBytes(); }
    bool hasAnswerBody(int status) const;
    int socket() const { return bufferevent_getfd(m_channel); }

private:
    enum class phase {
        adopting, ///< evhttp has not set up the connection yet.
        reading, ///< Waiting for a request or reading it.
        answering, ///< The handler has the request.
        refusing, ///< A refusal is being sent; input is discarded.
        aborting, ///< The connection closes when the output is empty.
        closed, ///< evhttp has freed the connection.
    };

    static void onInput(evbuffer*, const evbuffer_cb_info* info, void* context);
    static void onOutput(evbuffer*, const evbuffer_cb_info* info, void* context);
    static void onClosed(evhttp_connection*, void* context);
    static void onAnswerSent(evhttp_request*, void* context);

    /// Sets the time limit of the output after it has grown, or \p hasWritten to the socket.
    void limitWriting(bool isEmpty, bool hasWritten);
    void proceed();
    server_close_reason abortReason() const;
    /// Puts the connection into the owner's queue, unless it is there.
    void readSoon();
    bool hasInput() const;
    void adopt();
    void detachChannel();
    /// Tells the owner how many bytes of output are pending.
    void countPending(std::size_t bytes);
    /// Tells the account how many bytes of input have not been parsed.
    void countInput();
    /// Takes room for what has been read of the request and the announced rest of its body.
    /// Returns whether there is room.
    bool takeRoom();
    std::size_t neededBytes() const;
    /// Releases what has been read of the body, and the room of the request.
    void releaseBody();
    void refuseForMemory(memory_measure measure);
    /// Discards the input behind a request in progress, if it is too much while memory is scarce.
    void limitInputBehindRequest();
    void read();
    /// Reads what has arrived at the socket, without waiting for the loop to report it.
    void readArrived();
    void takeRawInput();
    void progressed(bool wasHead);
    void sendContinue();
    /// Answers the request at once if the early check refuses it, and closes a connection on which no
    /// request has been handled. Returns whether it did.
    bool refuseEarly();
    void inject(std::string_view head);
    void dispatch();
    void sendRefusal();
    void closed();
    void answerSent();
    void deadlinePassed();
    void readingTimedOut();

    event_loop& m_loop;
    http_server_connection_owner& m_owner;
    bufferevent* m_channel;
    evhttp_connection* m_evhttp = nullptr;
    evhttp_request* m_request = nullptr;
    evbuffer* m_raw; ///< Input that has not been parsed.
    evbuffer* m_chunkBuffer; ///< Scratch buffer for parts of a response.
    caller_number m_number;
    http_message_parser m_parser;
    std::string m_body;
    std::shared_ptr<memory_room> m_room; ///< Of the request that is being read.
    std::weak_ptr<http_server_answer> m_answer;
    deferred_call m_proceed;
    bool m_hasServed = false; ///< A request has been passed to the handler.
    bool m_isQueued = false; ///< The owner's queue holds this connection.
    loop_timer m_deadline;
    phase m_phase = phase::adopting;
    http_violation m_refusal;
    std::size_t m_countedPending = 0; ///< Pending output, as last told to the owner.
    std::size_t m_countedInput = 0; ///< Input, as last told to the account.
    bool m_discardsInput = false; ///< The connection closes after the response.
    bool m_isInjecting = false;
    bool m_isHeadRequest = false;
    bool m_isCloseDelimited = false;
};

}
