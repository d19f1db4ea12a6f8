/// \file
/// Program `pimentoladder-bare-responder`: a minimal evhttp server, the reference
/// for the throughput figures of `utils/measure --what=path`. It shares no code
/// with the router.

#include <cstdint>
#include <iostream>
#include <string>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace {

// Length of the portal stand-in's response to an index read.
constexpr std::size_t bodyBytes = 110;

void sendResponse(evhttp_request* request, void* context)
{
    const auto* body = static_cast<const std::string*>(context);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "application/json");
    evbuffer* output = evhttp_request_get_output_buffer(request);
    evbuffer_add(output, body->data(), body->size());
    evhttp_send_reply(request, HTTP_OK, nullptr, nullptr);
}

std::uint16_t portOf(evhttp_bound_socket* bound)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

}

int main()
{
    std::string body(bodyBytes, 'x');
    event_base* base = event_base_new();
    evhttp* http = evhttp_new(base);
    evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
    if (!bound) {
        std::cerr << "cannot listen on 127.0.0.1; check the open file limit\n";
        return 1;
    }
    evhttp_set_gencb(http, sendResponse, &body);
    std::cout << R"({"listening":"bare","port":)" << portOf(bound) << "}" << std::endl;
    event_base_dispatch(base);
}
