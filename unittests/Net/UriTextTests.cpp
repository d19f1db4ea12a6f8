#include "pimentoladder/Net/UriText.h"

#include <doctest/doctest.h>

using namespace pimentoladder;

// Guards against a key or a value that changes the path or the query around it.
TEST_CASE("only unreserved characters stay plain in a part of a URI")
{
    CHECK(uriEncoded("aZ09-._~") == "aZ09-._~");
    CHECK(uriEncoded("a/b?c&d=e%f g+h") == "a%2Fb%3Fc%26d%3De%25f%20g%2Bh");
    CHECK(uriEncoded(std::string_view("\0\xc3\xa9", 3)) == "%00%C3%A9");
    CHECK(uriEncoded({}).empty());
}
