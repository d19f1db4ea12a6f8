#include "pimentoladder/Admin/Operators.h"

#include <doctest/doctest.h>

using namespace pimentoladder;

// Guards against authenticating as the wrong operator, and against settings that
// would admit nobody or everybody.
TEST_CASE("operators are identified by the digest of their token")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    const auto directory = operator_directory::create({ { "ada", sha256Hex("one") }, { "bob", sha256Hex("two") } });
    REQUIRE(directory);
    CHECK(directory->identify("one") == "ada");
    CHECK(directory->identify("two") == "bob");
    CHECK_FALSE(directory->identify(""));
    CHECK_FALSE(directory->identify(sha256Hex("one")));
    CHECK_FALSE(operator_directory::create({ { "", sha256Hex("one") } }));
    CHECK_FALSE(operator_directory::create({ { "ada", "" } }));
    CHECK_FALSE(operator_directory::create({ { "ada", std::string(64, 'G') } }));
    CHECK_FALSE(operator_directory::create({})->identify(""));
}
