/// \file
/// Labels, and selectors that match objects by their labels.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pimentoladder/Base/Error.h"

namespace pimentoladder {

using label_map = std::map<std::string, std::string>;

/// Operator of one requirement of a selector.
enum class selector_operator {
    equals, ///< `key=value` (or `==`)
    differs, ///< `key!=value`; also true where the label is absent.
    in, ///< `key in (a,b)`
    notIn, ///< `key notin (a,b)`; also true where the label is absent.
    exists, ///< `key`
    absent, ///< `!key`
};

/// One requirement on one label.
struct label_requirement {
    std::string key;
    selector_operator comparison = selector_operator::exists;
    std::vector<std::string> values; ///< One for `equals` and `differs`, at least one for `in` and `notIn`, else none.

    bool operator==(const label_requirement&) const = default;
};

/// A conjunction of requirements. The empty selector matches everything.
/// Thread-safety: concurrent const access only, as for `std::vector`.
class selector {
public:
    selector() = default;
    explicit selector(std::vector<label_requirement> requirements);

    /// Parses the text form, for example `tier=gold,region in (eu,us),!legacy`.
    /// Errors: `invalidArgument`, with the position and what was expected.
    /// Thread-safe.
    static result<selector> parse(std::string_view text);

    /// Returns the text form; parsing it gives an equal selector.
    std::string text() const;

    bool matches(const label_map& labels) const;

    const std::vector<label_requirement>& requirements() const { return m_requirements; }

    bool operator==(const selector&) const = default;

private:
    std::vector<label_requirement> m_requirements;
};

}
