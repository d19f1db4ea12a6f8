#include "pimentoladder/Admin/Operators.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace pimentoladder {

namespace {

    constexpr std::string_view hexDigits = "0123456789abcdef";

    std::array<unsigned char, SHA256_DIGEST_LENGTH> sha256(std::string_view text)
    {
        std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
        SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
        return digest;
    }

    std::optional<std::array<unsigned char, SHA256_DIGEST_LENGTH>> parseDigest(std::string_view text)
    {
        std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
        if (text.size() != digest.size() * 2)
            return std::nullopt;
        for (std::size_t i = 0; i < digest.size(); ++i) {
            const std::size_t high = hexDigits.find(text[2 * i]);
            const std::size_t low = hexDigits.find(text[2 * i + 1]);
            if (high == std::string_view::npos || low == std::string_view::npos)
                return std::nullopt;
            digest[i] = static_cast<unsigned char>(high * 16 + low);
        }
        return digest;
    }

}

std::string sha256Hex(std::string_view text)
{
    std::string hex;
    for (const unsigned char byte : sha256(text)) {
        hex += hexDigits[byte / 16];
        hex += hexDigits[byte % 16];
    }
    return hex;
}

result<operator_directory> operator_directory::create(const std::vector<operator_credential>& credentials)
{
    operator_directory directory;
    for (const auto& credential : credentials) {
        const auto parsed = parseDigest(credential.tokenDigest);
        if (credential.name.empty() || !parsed)
            return makeError(error_kind::invalidArgument,
                "operator \"" + credential.name
                    + "\" needs a name and the SHA-256 of its token as 64 lower-case hexadecimal digits");
        directory.m_entries.push_back({ credential.name, *parsed });
    }
    return directory;
}

std::optional<std::string> operator_directory::identify(std::string_view token) const
{
    const digest presented = sha256(token);
    const entry* found = nullptr;
    for (const auto& candidate : m_entries) {
        const bool isEqual = CRYPTO_memcmp(candidate.tokenDigest.data(), presented.data(), presented.size()) == 0;
        found = isEqual ? &candidate : found;
    }
    if (!found)
        return std::nullopt;
    return found->name;
}

}
