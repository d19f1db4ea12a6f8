/// \file
/// JSON form of a member in the table of members.

#pragma once

#include "pimentoladder/Replica/MemberRegistration.h"

namespace pimentoladder {

/// Thread-safe.
class member_json final : public member_codec {
public:
    std::string encode(const fleet_router& source) const override;
    result<fleet_router> decode(const std::string& text) const override;
};

}
