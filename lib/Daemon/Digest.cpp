#include "pimentoladder/Daemon/Digest.h"

#include <array>

#include <openssl/sha.h>

namespace pimentoladder {

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        hex += digits[byte >> 4];
        hex += digits[byte & 0x0f];
    }
    return hex;
}

}
