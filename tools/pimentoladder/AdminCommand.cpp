#include "AdminCommand.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <random>
#include <string_view>

#include "pimentoladder/Admin/CommandLine.h"
#include "pimentoladder/Net/EventLoop.h"
#include "pimentoladder/Net/HttpClient.h"

namespace pimentoladder {

namespace {

    using namespace std::chrono_literals;

    constexpr std::string_view addressFlag = "--address=";
    constexpr duration answerTimeout = 15s;

    /// Sends each request synchronously, running a private event loop until the
    /// response is complete or \c answerTimeout has passed.
    class loop_transport : public admin_transport {
    public:
        explicit loop_transport(endpoint router)
            : m_router(std::move(router))
        {
        }

        result<admin_response> send(const admin_request& request) override
        {
            event_loop loop;
            http_client client(loop, {});
            http_client_request clientRequest;
            clientRequest.server = m_router;
            clientRequest.method = request.method;
            clientRequest.target = request.query.empty() ? request.path : request.path + "?" + request.query;
            clientRequest.body = request.body;
            for (const header_field& field : request.headers)
                clientRequest.headers.push_back({ field.name, field.value });
            admin_response response;
            std::optional<attempt_end> ended;
            http_client_callbacks callbacks;
            callbacks.onHead = [&response](const http_response_head& head) {
                response.status = head.status;
                for (const http_header& header : head.headers)
                    response.headers.push_back({ header.name, header.value });
            };
            callbacks.onBody = [&response](std::string_view bytes) { response.body.append(bytes); };
            callbacks.onEnd = [&](attempt_end end) {
                ended = end;
                loop.stop();
            };
            const auto attempt = client.send(std::move(clientRequest), std::move(callbacks));
            loop.runFor(answerTimeout);
            if (ended && ended->kind == attempt_end_kind::complete)
                return response;
            if (attempt->mayHaveBeenSent())
                return makeError(error_kind::outcomeUnknown, "the router sent no complete response; query the change by its id");
            return makeError(error_kind::unavailable, "the router at " + m_router.address + ":" + std::to_string(m_router.port) + " cannot be reached; check --address");
        }

    private:
        endpoint m_router;
    };

    std::optional<endpoint> parseRouter(std::string_view text)
    {
        const std::size_t colon = text.rfind(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        const int port = std::atoi(std::string(text.substr(colon + 1)).c_str());
        if (port <= 0 || port > 65535)
            return std::nullopt;
        return endpoint { std::string(text.substr(0, colon)), static_cast<std::uint16_t>(port) };
    }

    result<std::string> readInput(const std::string& path)
    {
        if (path == "-")
            return std::string(std::istreambuf_iterator<char>(std::cin), {});
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return makeError(error_kind::notFound, "file \"" + path + "\" cannot be read; check the path");
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

    std::string randomChangeId()
    {
        std::random_device source;
        constexpr std::string_view digits = "0123456789abcdef";
        std::string id;
        for (int i = 0; i < 24; ++i)
            id += digits[source() % digits.size()];
        return id;
    }

    std::string environmentValue(const char* name, const char* fallback)
    {
        const char* value = std::getenv(name);
        return value ? value : fallback;
    }

}

int runAdmin(const std::vector<std::string>& arguments)
{
    std::string address = environmentValue("PIMENTOLADDER_ADDRESS", "127.0.0.1:8081");
    std::vector<std::string> rest;
    for (const std::string& argument : arguments) {
        if (argument.starts_with(addressFlag))
            address = argument.substr(addressFlag.size());
        else
            rest.push_back(argument);
    }
    const auto router = parseRouter(address);
    if (!router) {
        std::cerr << "address \"" << address << "\" is not IP:port; correct --address or PIMENTOLADDER_ADDRESS\n";
        return static_cast<int>(admin_exit_code::usage);
    }
    loop_transport transport(*router);
    const admin_client_inputs environment { environmentValue("PIMENTOLADDER_TOKEN", ""), randomChangeId(), readInput };
    const admin_command_result outcome = runAdminCommand(rest, environment, transport);
    std::cout << outcome.output;
    std::cerr << outcome.errors;
    return static_cast<int>(outcome.exit);
}

}
