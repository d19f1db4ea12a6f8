#include "pimentoladder/Net/UriText.h"

#include <cstdlib>
#include <memory>
#include <new>

#include <event2/http.h>

namespace pimentoladder {

std::string percentEncoded(std::string_view text)
{
    // The size is passed because with a negative one evhttp_uriencode stops at a NUL.
    const std::unique_ptr<char, decltype(&std::free)> encoded(
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &std::free);
    if (!encoded)
        throw std::bad_alloc();
    return encoded.get();
}

}
