#include "pimentoladder/Daemon/PlatformAccess.h"

#include <algorithm>
#include <charconv>
#include <unordered_map>
#include <utility>

#include "pimentoladder/Net/HttpClient.h"
#include "pimentoladder/Platform/CallRunner.h"
#include "pimentoladder/Platform/Transport.h"

namespace pimentoladder {

namespace {

    constexpr std::size_t maxAnswerBytes = 64UL * 1024 * 1024; ///< A longer answer counts as outcome unknown.

    /// Implements the scheduler of the platform's clients on the event loop.
    class loop_scheduler : public scheduler {
    public:
        explicit loop_scheduler(event_loop& loop)
            : m_loop(loop)
        {
        }

        time_point now() const override { return m_loop.now(); }

        void callAfter(duration delay, callback action) override
        {
            const std::uint64_t key = ++m_lastKey;
            auto& timer = m_timers[key];
            timer = std::make_unique<loop_timer>(m_loop, [this, key, action = std::move(action)] {
                const auto ended = m_timers.extract(key);
                action();
            });
            timer->arm(delay);
        }

    private:
        event_loop& m_loop;
        std::uint64_t m_lastKey = 0;
        std::unordered_map<std::uint64_t, std::unique_ptr<loop_timer>> m_timers;
    };

    std::optional<duration> retryAfterOf(const http_response_head& head)
    {
        const auto text = findHeader(head.headers, "Retry-After");
        std::int64_t seconds = 0;
        if (!text || std::from_chars(text->data(), text->data() + text->size(), seconds).ec != std::errc())
            return std::nullopt;
        return std::chrono::seconds(std::clamp<std::int64_t>(seconds, 0, 60));
    }

    /// Sends calls to one service of the platform over HTTP.
    class http_transport : public transport {
    public:
        http_transport(event_loop& loop, http_client& client, endpoint location)
            : m_loop(loop)
            , m_client(client)
            , m_location(std::move(location))
        {
        }

        void send(const transport_request& request, time_point deadline, callback onEnd) override
        {
            const std::uint64_t key = ++m_lastKey;
            running_call& running = *(m_running[key] = std::make_unique<running_call>());
            running.onEnd = std::move(onEnd);
            running.timer = std::make_unique<loop_timer>(m_loop, [this, key] { expire(key); });
            running.timer->arm(deadline - m_loop.now());
            http_client_request made;
            made.server = m_location;
            made.method = request.method;
            made.target = request.target;
            made.body = request.body;
            http_client_callbacks callbacks;
            callbacks.onHead = [&running](const http_response_head& head) {
                running.answer.status = head.status;
                running.answer.retryAfter = retryAfterOf(head);
            };
            callbacks.onBody = [&running](std::string_view bytes) {
                running.isTooLong = running.isTooLong || running.answer.body.size() + bytes.size() > maxAnswerBytes;
                if (!running.isTooLong)
                    running.answer.body.append(bytes);
            };
            callbacks.onEnd = [this, key](attempt_end end) { finish(key, end); };
            running.attempt = m_client.send(std::move(made), std::move(callbacks));
        }

    private:
        struct running_call {
            transport_answer answer;
            callback onEnd;
            bool isTooLong = false;
            std::unique_ptr<loop_timer> timer;
            std::unique_ptr<http_client_attempt> attempt;
        };

        void expire(std::uint64_t key)
        {
            const auto found = m_running.find(key);
            if (found == m_running.end())
                return;
            const bool wasSent = found->second->attempt->mayHaveBeenSent();
            found->second->attempt->cancel();
            finish(key, { wasSent ? attempt_end_kind::timeout : attempt_end_kind::notSent, wasSent });
        }

        void finish(std::uint64_t key, attempt_end end)
        {
            const auto found = m_running.find(key);
            if (found == m_running.end())
                return;
            const std::unique_ptr<running_call> ended = std::move(found->second);
            m_running.erase(found);
            const bool isWhole = end.kind == attempt_end_kind::complete && !ended->isTooLong;
            ended->answer.end = transport_end::outcomeUnknown;
            if (isWhole)
                ended->answer.end = transport_end::answered;
            else if (!end.mayHaveBeenSent)
                ended->answer.end = transport_end::notSent;
            if (!isWhole)
                ended->answer.detail = "no complete answer from " + m_location.address + ":" + std::to_string(m_location.port) + "; check that the service is running";
            ended->onEnd(std::move(ended->answer));
        }

        event_loop& m_loop;
        http_client& m_client;
        endpoint m_location;
        std::uint64_t m_lastKey = 0;
        std::unordered_map<std::uint64_t, std::unique_ptr<running_call>> m_running;
    };

}

struct platform_access::parts {
    parts(event_loop& loop, const platform_settings& locations, std::uint64_t seed)
        : timers(loop)
        , client(loop, {})
        , tableTransport(loop, client, locations.table)
        , objectTransport(loop, client, locations.objects)
        , vmTransport(loop, client, locations.vms)
        , tableRunner(tableTransport, timers, {}, seed)
        , objectRunner(objectTransport, timers, {}, seed + 1)
        , vmRunner(vmTransport, timers, {}, seed + 2)
        , table(tableRunner, timers, {})
        , objects(objectRunner)
        , vms(vmRunner)
    {
    }

    loop_scheduler timers;
    http_client client;
    http_transport tableTransport;
    http_transport objectTransport;
    http_transport vmTransport;
    call_runner tableRunner;
    call_runner objectRunner;
    call_runner vmRunner;
    table_client table;
    object_client objects;
    vm_list_client vms;
};

platform_access::platform_access(event_loop& loop, const platform_settings& locations, std::uint64_t seed)
    : m_parts(std::make_unique<parts>(loop, locations, seed))
{
}

platform_access::~platform_access() = default;

platform_clients platform_access::clients()
{
    return { m_parts->table, m_parts->objects, m_parts->vms };
}

}
