#include "pimentoladder/Codec/ClaimJson.h"

#include <array>

#include <nlohmann/json.hpp>

namespace pimentoladder {

using nlohmann::json;

namespace {

    constexpr std::array<const char*, 3> stateNames { "running", "ended", "outcome_unknown" };

    // Bodies and header values may contain any byte. JSON strings consist of code
    // points, so each byte is encoded as the code point of the same value.
    std::string bytesToText(std::string_view bytes)
    {
        std::string text;
        for (const char c : bytes) {
            const auto byte = static_cast<unsigned char>(c);
            if (byte < 0x80) {
                text += c;
                continue;
            }
            text += static_cast<char>(0xc0 | (byte >> 6));
            text += static_cast<char>(0x80 | (byte & 0x3f));
        }
        return text;
    }

    std::string textToBytes(const std::string& text)
    {
        std::string bytes;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const auto lead = static_cast<unsigned char>(text[i]);
            if (lead < 0x80 || i + 1 == text.size()) {
                bytes += text[i];
                continue;
            }
            const auto trail = static_cast<unsigned char>(text[++i]);
            bytes += static_cast<char>(((lead & 0x03) << 6) | (trail & 0x3f));
        }
        return bytes;
    }

    json formatOutcome(const recorded_outcome& outcome)
    {
        json headers = json::array();
        for (const header_field& field : outcome.headers)
            headers.push_back({ bytesToText(field.name), bytesToText(field.value) });
        return { { "status", outcome.status }, { "headers", std::move(headers) }, { "body", bytesToText(outcome.body) }, { "bodyObject", outcome.bodyObject } };
    }

    recorded_outcome parseOutcome(const json& source)
    {
        recorded_outcome outcome;
        outcome.status = source.at("status").get<int>();
        for (const json& field : source.at("headers"))
            outcome.headers.push_back({ textToBytes(field.at(0).get<std::string>()), textToBytes(field.at(1).get<std::string>()) });
        outcome.body = textToBytes(source.at("body").get<std::string>());
        outcome.bodyObject = source.at("bodyObject").get<std::string>();
        return outcome;
    }

    claim_state parseState(const std::string& name)
    {
        for (std::size_t i = 0; i < stateNames.size(); ++i) {
            if (name == stateNames[i])
                return static_cast<claim_state>(i);
        }
        // Written by a newer version: the request may have run, so its outcome is unknown.
        return claim_state::outcomeUnknown;
    }

}

result<claim_row> parseClaimJson(const claim_key& key, std::string_view text)
{
    try {
        const json source = json::parse(text);
        claim_row row;
        row.key = key;
        row.requestFingerprint = fingerprint(source.at("fingerprint").get<std::uint64_t>());
        row.owner.router.vm = vm_id(source.at("vm").get<std::string>());
        row.owner.router.start = incarnation(source.at("incarnation").get<std::uint64_t>());
        row.owner.request = request_number(source.at("request").get<std::uint64_t>());
        row.state = parseState(source.at("state").get<std::string>());
        if (row.state == claim_state::ended)
            row.outcome = parseOutcome(source.at("outcome"));
        return row;
    } catch (const json::exception& failure) {
        return makeError(error_kind::corruptData, std::string("claim row cannot be decoded; delete it once its request is settled: ") + failure.what());
    }
}

std::string formatClaimJson(const claim_row& row)
{
    json text {
        { "fingerprint", row.requestFingerprint.value() },
        { "vm", row.owner.router.vm.value() },
        { "incarnation", row.owner.router.start.value() },
        { "request", row.owner.request.value() },
        { "state", stateNames.at(static_cast<std::size_t>(row.state)) },
    };
    if (row.state == claim_state::ended)
        text["outcome"] = formatOutcome(row.outcome);
    return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

}
