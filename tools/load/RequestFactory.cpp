#include "load/RequestFactory.h"

#include <algorithm>

namespace pimentoladder::load {

std::string planned_request::submissionId() const
{
    return submissions <= 1 ? id : id + "-again-" + std::to_string(submissions - 1);
}

request_factory::request_factory(workspace_load settings, std::string client, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_client(std::move(client))
    , m_random(seed)
{
}

planned_request request_factory::next()
{
    planned_request made;
    made.id = m_client + "-" + m_settings.name + "-" + std::to_string(++m_lastNumber);
    if (m_settings.hasIdempotencyKey)
        made.idempotencyKey = "key-" + made.id;
    if (m_settings.method != "POST" && m_settings.method != "PUT")
        return made;
    made.body = "{\"id\":\"" + made.id + "\"";
    if (m_settings.bodyBytes > 0)
        made.body += ",\"prompt\":\"" + prompt(made.id) + "\"";
    if (m_settings.maxTokens > 0) {
        std::uniform_int_distribution<std::uint32_t> tokens(m_settings.minTokens, m_settings.maxTokens);
        made.body += ",\"hiddenTokens\":" + std::to_string(tokens(m_random));
    }
    made.body += "}";
    return made;
}

std::string request_factory::prompt(const std::string& id) const
{
    std::string text(std::min(m_settings.sharedPrefixBytes, m_settings.bodyBytes), 'p');
    while (text.size() < m_settings.bodyBytes)
        text += id + " ";
    text.resize(m_settings.bodyBytes);
    return text;
}

bool request_factory::drawDuplicate()
{
    return std::bernoulli_distribution(m_settings.duplicateShare)(m_random);
}

duration request_factory::nextGap()
{
    std::exponential_distribution<double> seconds(m_settings.rate);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds(m_random)));
}

}
