#include "pimentoladder/Base/Error.h"
#include "pimentoladder/Base/Ids.h"

#include <set>
#include <type_traits>

#include <doctest/doctest.h>

using namespace pimentoladder;

// Guards against passing one kind of identifier where another is expected.
TEST_CASE("names of different kinds do not convert")
{
    CHECK_FALSE(std::is_convertible_v<workspace_id, pool_id>);
    CHECK_FALSE(std::is_convertible_v<std::string, workspace_id>);
    CHECK(workspace_id("a") < workspace_id("b"));
    CHECK(workspace_id().isEmpty());
}

// Guards against two error kinds with the same name on the wire.
TEST_CASE("error kinds have distinct names")
{
    std::set<std::string_view> names;
    for (int kind = 0; kind <= static_cast<int>(error_kind::corruptData); ++kind)
        names.insert(errorKindName(static_cast<error_kind>(kind)));
    CHECK(names.size() == static_cast<std::size_t>(error_kind::corruptData) + 1);
    CHECK_FALSE(names.contains("unknown"));
}
