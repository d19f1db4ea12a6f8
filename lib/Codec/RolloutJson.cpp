#include "pimentoladder/Codec/RolloutJson.h"

#include <array>
#include <cstdint>

#include <nlohmann/json.hpp>

namespace pimentoladder {

namespace {

    // Indexed by `rollout_state`.
    constexpr std::array<std::string_view, 3> stateNames { "in_progress", "completed", "reverted" };

    result<rollout_state> stateOf(const std::string& name)
    {
        for (std::size_t i = 0; i < stateNames.size(); ++i) {
            if (stateNames.at(i) == name)
                return static_cast<rollout_state>(i);
        }
        return makeError(error_kind::corruptData, "state \"" + name + "\" is unknown; remove the row");
    }

}

std::string rollout_json_codec::encode(const rollout_record& source) const
{
    const nlohmann::json encoded {
        { "pool", source.pool.value() },
        { "order", source.order.value() },
        { "version", source.version },
        { "owner", source.owner.value() },
        { "owner_start", source.ownerStart.value() },
        { "token", source.token.value() },
        { "renewals", source.renewals },
        { "state", stateNames.at(static_cast<std::size_t>(source.state)) },
        { "share", source.share },
        { "elapsed_ms", std::chrono::duration_cast<std::chrono::milliseconds>(source.elapsed).count() },
    };
    return encoded.dump();
}

result<rollout_record> rollout_json_codec::decode(const std::string& text) const
{
    try {
        const auto parsed = nlohmann::json::parse(text);
        const auto state = stateOf(parsed.at("state").get<std::string>());
        if (!state)
            return tl::unexpected(state.error());
        rollout_record decoded;
        decoded.pool = pool_id(parsed.at("pool").get<std::string>());
        decoded.order = revision(parsed.at("order").get<std::uint64_t>());
        decoded.version = parsed.at("version").get<std::string>();
        decoded.owner = vm_id(parsed.at("owner").get<std::string>());
        decoded.ownerStart = incarnation(parsed.at("owner_start").get<std::uint64_t>());
        decoded.token = fencing_token(parsed.at("token").get<std::uint64_t>());
        decoded.renewals = parsed.at("renewals").get<std::uint64_t>();
        decoded.state = *state;
        decoded.share = parsed.at("share").get<double>();
        decoded.elapsed = std::chrono::milliseconds(parsed.at("elapsed_ms").get<std::int64_t>());
        const bool isShareValid = decoded.share >= 0 && decoded.share <= 1;
        if (decoded.pool.isEmpty() || decoded.owner.isEmpty() || !isShareValid || decoded.elapsed < duration::zero())
            return makeError(error_kind::corruptData, "a field is missing or out of range; remove the row");
        return decoded;
    } catch (const nlohmann::json::exception& fault) {
        return makeError(error_kind::corruptData, std::string(fault.what()) + "; remove the row");
    }
}

}
