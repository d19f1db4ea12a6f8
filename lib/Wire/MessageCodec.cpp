#include "pimentoladder/Wire/MessageCodec.h"

#include <array>
#include <cassert>
#include <cstring>
#include <utility>
#include <vector>

#include "MessageTables.h"

namespace pimentoladder {

namespace {

    constexpr std::array<std::string_view, messageKindCount> kindNames { "heartbeat", "revision_announce",
        "config_request", "config_update", "suspend", "acquire", "grant", "grant_report", "recall", "in_flight_report",
        "shard_release", "service_counters", "crash_report", "shard_owner", "follow_rows", "rows_update", "usage_report", "usage_totals",
        "server_losses", "server_rate_limits", "stream_origins", "rollout_report", "rollout_permits" };

    // Added to the index in `message` to form the kind on the wire, so that zero is never a
    // valid kind.
    constexpr std::size_t firstKind = 1;

}

std::string_view messageKindName(std::size_t index)
{
    assert(index < messageKindCount && "the index must be that of a message kind");
    return kindNames.at(index);
}

std::string encodeMessage(const message& source)
{
    std::string payload(1, static_cast<char>(source.index() + firstKind));
    payload += encodeTable(source);
    return payload;
}

result<decoded_message> decodeMessage(std::string_view payload)
{
    if (payload.empty())
        return makeError(error_kind::corruptData, "frame is empty; send the message kind as its first byte");
    const std::uint8_t kind = static_cast<std::uint8_t>(payload.front());
    if (kind < firstKind || kind >= firstKind + messageKindCount)
        return decoded_message(unknown_message_kind { kind });

    // FlatBuffers requires aligned scalars, but the payload may start at any address.
    const std::string_view table = payload.substr(1);
    std::vector<std::uint64_t> words((table.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t));
    if (!table.empty())
        std::memcpy(words.data(), table.data(), table.size());
    result<message> decoded = decodeTable(kind - firstKind, words, table.size());
    if (!decoded) {
        const std::string name(messageKindName(kind - firstKind));
        return makeError(decoded.error().kind, name + ": " + decoded.error().message);
    }
    return decoded_message(std::move(*decoded));
}

}
