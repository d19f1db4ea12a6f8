#include "pimentoladder/Net/UriText.h"

#include <cstdlib>
#include <memory>
#include <new>

#include <event2/http.h>

namespace pimentoladder {

std::string uriEncoded(std::string_view text)
{
    // evhttp_uriencode takes a negative size for the length of a C string.
    const std::unique_ptr<char, decltype(&std::free)> encoded(
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &std::free);
    if (!encoded)
        throw std::bad_alloc();
    return encoded.get();
}

}
