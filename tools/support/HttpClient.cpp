#include "support/HttpClient.h"

#include <strings.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <array>

namespace pimentoladder::tools {

namespace {

    // Effectively disabled: the client enforces its own timeout for the whole call.
    constexpr int connectionTimeoutSeconds = 3600;

    struct method_entry {
        std::string_view name;
        evhttp_cmd_type command;
    };

    constexpr std::array<method_entry, 5> methods { {
        { "GET", EVHTTP_REQ_GET },
        { "HEAD", EVHTTP_REQ_HEAD },
        { "POST", EVHTTP_REQ_POST },
        { "PUT", EVHTTP_REQ_PUT },
        { "DELETE", EVHTTP_REQ_DELETE },
    } };

    evhttp_cmd_type commandOf(std::string_view name)
    {
        for (const method_entry& entry : methods) {
            if (entry.name == name)
                return entry.command;
        }
        return EVHTTP_REQ_GET;
    }

}

std::string client_answer::header(std::string_view name) const
{
    for (const http_header& entry : headers) {
        if (entry.name.size() == name.size() && strncasecmp(entry.name.data(), name.data(), name.size()) == 0)
            return entry.value;
    }
    return {};
}

http_client::~http_client() = default;

http_client::connection_ptr http_client::connectionTo(const numeric_address& target, const std::string& poolKey)
{
    std::vector<connection_ptr>& idle = m_idle[poolKey];
    if (!idle.empty()) {
        connection_ptr reused = std::move(idle.back());
        idle.pop_back();
        return reused;
    }
    connection_ptr created(evhttp_connection_base_new(m_loop.base(), nullptr, target.host.c_str(), target.port));
    evhttp_connection_set_timeout(created.get(), connectionTimeoutSeconds);
    return created;
}

http_client::call_number http_client::send(const client_request& request, callback onEnd)
{
    auto created = std::make_unique<call>();
    call* running = created.get();
    running->owner = this;
    running->number = ++m_lastCall;
    running->poolKey = request.target.host + ":" + std::to_string(request.target.port);
    running->connection = connectionTo(request.target, running->poolKey);
    running->onEnd = std::move(onEnd);
    running->sentAt = bootTime();
    running->timeout = m_loop.callAfter(request.timeout, [this, number = running->number] { end(number, call_end::timedOut); });
    m_calls.emplace(running->number, std::move(created));

    evhttp_request* sent = evhttp_request_new(onDone, running);
    evhttp_request_set_header_cb(sent, onHead);
    evhttp_request_set_chunked_cb(sent, onChunk);
    evhttp_request_set_error_cb(sent, onError);
    evkeyvalq* headers = evhttp_request_get_output_headers(sent);
    for (const http_header& entry : request.headers)
        evhttp_add_header(headers, entry.name.c_str(), entry.value.c_str());
    if (!evhttp_find_header(headers, "Host"))
        evhttp_add_header(headers, "Host", running->poolKey.c_str());
    if (!request.body.empty())
        evbuffer_add(evhttp_request_get_output_buffer(sent), request.body.data(), request.body.size());
    if (evhttp_make_request(running->connection.get(), sent, commandOf(request.method), request.path.c_str()) != 0)
        m_loop.callAfter(duration::zero(), [this, number = running->number] { end(number, call_end::notConnected); });
    return running->number;
}

void http_client::cancelCall(call_number number)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end())
        return;
    m_loop.cancel(found->second->timeout);
    freeDeferred(std::move(found->second));
    m_calls.erase(found);
}

int http_client::onHead(evhttp_request* request, void* argument)
{
    auto* running = static_cast<call*>(argument);
    running->answer.status = evhttp_request_get_response_code(request);
    running->answer.firstByteLatency = bootTime() - running->sentAt;
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* entry = headers->tqh_first; entry; entry = entry->next.tqe_next)
        running->answer.headers.push_back({ entry->key, entry->value });
    return 0;
}

void http_client::appendBody(call& running, evhttp_request* request)
{
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string part(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, part.data(), part.size());
    running.digest.add(part);
    running.answer.bytes += part.size();
    const std::size_t remainingBytes = maxKeptBodyBytes - running.answer.body.size();
    running.answer.body.append(part, 0, remainingBytes);
}

void http_client::onChunk(evhttp_request* request, void* argument)
{
    appendBody(*static_cast<call*>(argument), request);
}

void http_client::onError(evhttp_request_error, void* argument)
{
    static_cast<call*>(argument)->isCut = true;
}

void http_client::onDone(evhttp_request* request, void* argument)
{
    auto* running = static_cast<call*>(argument);
    call_end how = call_end::answered;
    if (running->isCut || !request)
        how = call_end::cut;
    else if (evhttp_request_get_response_code(request) == 0)
        how = call_end::notConnected;
    else
        appendBody(*running, request);
    running->owner->end(running->number, how);
}

void http_client::end(call_number number, call_end how)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end())
        return;
    std::unique_ptr<call> owned = std::move(found->second);
    const call* ended = owned.get();
    m_calls.erase(found);
    m_loop.cancel(ended->timeout);
    owned->answer.end = how;
    owned->answer.digest = owned->digest.text();
    if (how == call_end::answered)
        m_idle[owned->poolKey].push_back(std::move(owned->connection));
    else
        freeDeferred(std::move(owned));
    ended->onEnd(ended->answer);
}

void http_client::freeDeferred(std::unique_ptr<call> ended)
{
    // evhttp still uses the connection after its callbacks return, and bytes that
    // arrived in the same loop iteration as a timeout are still passed to the call.
    const std::shared_ptr<call> shared = std::move(ended);
    m_loop.callAfter(duration::zero(), [shared] { shared->connection.reset(); });
}

}
