#include "PercentEncoding.h"

namespace pimentoladder {

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view plain = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char byte : text) {
        if (plain.find(byte) != std::string_view::npos) {
            encoded += byte;
            continue;
        }
        const auto value = static_cast<unsigned char>(byte);
        encoded += '%';
        encoded += digits[value / 16];
        encoded += digits[value % 16];
    }
    return encoded;
}

}
