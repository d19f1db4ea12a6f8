#include "support/HttpServer.h"

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <stdexcept>

#include "support/Address.h"

namespace pimentoladder::tools {

namespace {

    // Longer than any stall that a test injects, so that evhttp does not time out
    // a stalled connection.
    constexpr int connectionTimeoutSeconds = 600;

    constexpr int allowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE;

    const char* methodName(evhttp_cmd_type command)
    {
        switch (command) {
        case EVHTTP_REQ_GET:
            return "GET";
        case EVHTTP_REQ_HEAD:
            return "HEAD";
        case EVHTTP_REQ_POST:
            return "POST";
        case EVHTTP_REQ_PUT:
            return "PUT";
        case EVHTTP_REQ_DELETE:
            return "DELETE";
        default:
            return "";
        }
    }

    std::string decodeUri(const char* text)
    {
        if (!text)
            return {};
        std::size_t size = 0;
        char* plain = evhttp_uridecode(text, 0, &size);
        std::string result(plain ? std::string(plain, size) : std::string());
        free(plain);
        return result;
    }

    std::string bodyOf(evhttp_request* request)
    {
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, body.data(), body.size());
        return body;
    }

}

http_exchange::http_exchange(loop& owner, evhttp_request* request)
    : m_loop(owner)
    , m_request(request)
    , m_method(methodName(evhttp_request_get_command(request)))
    , m_body(bodyOf(request))
{
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    m_path = decodeUri(evhttp_uri_get_path(uri));
    if (const char* text = evhttp_uri_get_query(uri))
        m_query = text;
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), onClosed, this);
}

http_exchange::~http_exchange()
{
    if (!m_request)
        return;
    evhttp_send_error(release(), 500, "the stand-in dropped the request");
}

std::string http_exchange::header(const char* name) const
{
    if (!m_request)
        return {};
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(m_request), name);
    return value ? value : "";
}

std::string http_exchange::query(std::string_view name) const
{
    evkeyvalq values {};
    evhttp_parse_query_str(m_query.c_str(), &values);
    const char* value = evhttp_find_header(&values, std::string(name).c_str());
    std::string result = value ? value : "";
    evhttp_clear_headers(&values);
    return result;
}

void http_exchange::reply(int status, const std::string& body, const std::vector<http_header>& headers)
{
    if (!m_request)
        return;
    addHeaders({ { "Content-Type", "application/json" } });
    addHeaders(m_answerHeaders);
    addHeaders(headers);
    evbuffer* output = evbuffer_new();
    evbuffer_add(output, body.data(), body.size());
    evhttp_send_reply(release(), status, nullptr, output);
    evbuffer_free(output);
}

void http_exchange::startStream(int status, const std::vector<http_header>& headers)
{
    if (!m_request)
        return;
    addHeaders(m_answerHeaders);
    addHeaders(headers);
    evhttp_send_reply_start(m_request, status, nullptr);
}

void http_exchange::sendChunk(std::string_view text)
{
    if (!m_request)
        return;
    evbuffer* output = evbuffer_new();
    evbuffer_add(output, text.data(), text.size());
    evhttp_send_reply_chunk(m_request, output);
    evbuffer_free(output);
}

void http_exchange::endStream()
{
    if (!m_request)
        return;
    evhttp_send_reply_end(release());
}

void http_exchange::reset()
{
    cut(true);
}

void http_exchange::close()
{
    cut(false);
}

void http_exchange::cut(bool withReset)
{
    // evhttp still uses the connection after its callbacks return, so the
    // connection may only be freed from a timer.
    m_loop.callAfter(duration::zero(), [self = shared_from_this(), withReset] {
        if (!self->m_request)
            return;
        evhttp_connection* connection = evhttp_request_get_connection(self->m_request);
        if (withReset) {
            const linger discard { 1, 0 };
            const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
        }
        self->release();
        evhttp_connection_free(connection);
    });
}

void http_exchange::addHeaders(const std::vector<http_header>& headers)
{
    evkeyvalq* output = evhttp_request_get_output_headers(m_request);
    for (const http_header& entry : headers)
        evhttp_add_header(output, entry.name.c_str(), entry.value.c_str());
}

evhttp_request* http_exchange::release()
{
    evhttp_request* request = m_request;
    m_request = nullptr;
    m_onDisconnect = nullptr;
    if (evhttp_connection* connection = evhttp_request_get_connection(request))
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    return request;
}

void http_exchange::onClosed(evhttp_connection*, void* argument)
{
    auto self = static_cast<http_exchange*>(argument)->shared_from_this();
    const std::function<void()> action = std::move(self->m_onDisconnect);
    evhttp_request* request = self->m_request;
    self->m_request = nullptr;
    // evhttp has detached the request from its connection, so this object owns it.
    if (!evhttp_request_get_connection(request))
        evhttp_request_free(request);
    if (action)
        action();
}

http_server::http_server(loop& owner, const std::string& address, handler onRequest)
    : m_loop(owner)
    , m_handler(std::move(onRequest))
    , m_http(evhttp_new(owner.base()))
{
    const numeric_address parsed = parseAddress(address);
    evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(m_http, parsed.host.c_str(), parsed.port);
    if (!bound) {
        evhttp_free(m_http);
        throw std::runtime_error("cannot listen on " + address + "; choose a free port");
    }
    m_port = portOf(evhttp_bound_socket_get_fd(bound));
    evhttp_set_timeout(m_http, connectionTimeoutSeconds);
    evhttp_set_allowed_methods(m_http, allowedMethods);
    evhttp_set_gencb(m_http, &http_server::onRequest, this);
}

http_server::~http_server()
{
    evhttp_free(m_http);
}

void http_server::onRequest(evhttp_request* request, void* argument)
{
    auto* self = static_cast<http_server*>(argument);
    self->m_handler(std::make_shared<http_exchange>(self->m_loop, request));
}

}
