/// \file
/// JSON form of a router in the members table.

#pragma once

#include "pimentoladder/Replica/MemberRegistration.h"

namespace pimentoladder {

/// Encodes and decodes the row of a router in the members table. Thread-safe.
class member_json_codec final : public member_codec {
public:
    std::string encode(const fleet_router& source) const override;
    result<fleet_router> decode(const std::string& text) const override;
};

}
