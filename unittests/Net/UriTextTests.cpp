#include "pimentoladder/Net/UriText.h"

#include <doctest/doctest.h>

using namespace pimentoladder;

// Guards against a key or value whose characters alter the path or query around it.
TEST_CASE("all characters except the unreserved ones of a URI are encoded")
{
    CHECK(percentEncoded("aZ09-._~") == "aZ09-._~");
    CHECK(percentEncoded("a/b?c&d=e%f g+h") == "a%2Fb%3Fc%26d%3De%25f%20g%2Bh");
    CHECK(percentEncoded(std::string_view("\0\xc3\xa9", 3)) == "%00%C3%A9");
    CHECK(percentEncoded({}).empty());
}
