#include "pimentoladder/Platform/ObjectClient.h"

#include <utility>

#include "pimentoladder/Net/UriText.h"

namespace pimentoladder {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int firstFailure = 300;

    std::string objectPath(const std::string& key)
    {
        return "/objects/" + percentEncoded(key);
    }

    tl::unexpected<error> refusal(int status)
    {
        return makeError(error_kind::invalidArgument, "the object store refused the call with status " + std::to_string(status) + "; check the key");
    }

}

void object_client::put(const std::string& key, std::string body, time_point deadline, std::function<void(result<void>)> onEnd)
{
    m_runner.run({ { "PUT", objectPath(key), std::move(body) }, deadline, true, true },
        [onEnd = std::move(onEnd)](const result<platform_answer>& answer) {
            if (!answer) {
                onEnd(tl::unexpected(answer.error()));
                return;
            }
            if (answer->status < statusOk || answer->status >= firstFailure) {
                onEnd(refusal(answer->status));
                return;
            }
            onEnd({});
        });
}

void object_client::get(const std::string& key, time_point deadline, std::function<void(result<std::optional<std::string>>)> onEnd)
{
    m_runner.run({ { "GET", objectPath(key), {} }, deadline },
        [onEnd = std::move(onEnd)](const result<platform_answer>& answer) {
            if (!answer) {
                onEnd(tl::unexpected(answer.error()));
                return;
            }
            if (answer->status == statusNotFound) {
                onEnd(std::optional<std::string>());
                return;
            }
            if (answer->status != statusOk) {
                onEnd(refusal(answer->status));
                return;
            }
            onEnd(std::optional(answer->body));
        });
}

}
