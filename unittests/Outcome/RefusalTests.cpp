#include "pimentoladder/Outcome/Refusal.h"

#include <set>

#include <doctest/doctest.h>

using namespace pimentoladder;

// Guards against a table row in the wrong position, and against two kinds with the
// same machine-readable name.
TEST_CASE("every refusal kind has its own row and name")
{
    std::set<std::string_view> names;
    for (int i = 0; i < refusalKindCount; ++i) {
        const refusal& row = refusalOf(static_cast<refusal_kind>(i));
        CHECK(static_cast<int>(row.kind) == i);
        CHECK(row.status >= 400);
        names.insert(row.name);
    }
    CHECK(names.size() == static_cast<std::size_t>(refusalKindCount));
}

// Guards against advising callers to resend a request that may already have run.
TEST_CASE("an unknown outcome has to be checked first")
{
    CHECK(refusalOf(refusal_kind::outcomeUnknown).ran == run_state::unknown);
    CHECK(refusalOf(refusal_kind::outcomeUnknown).retry == retry_advice::afterCheck);
}
