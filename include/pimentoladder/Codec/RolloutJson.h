/// \file
/// JSON form of the row in which the owner of a roll-out keeps its state.

#pragma once

#include "pimentoladder/Rollout/RolloutOrder.h"

namespace pimentoladder {

/// Encodes and decodes the value of a roll-out's row. Thread-safe.
class rollout_json_codec final : public rollout_record_codec {
public:
    std::string encode(const rollout_record& source) const override;
    result<rollout_record> decode(const std::string& text) const override;
};

}
