#include "support/Digest.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace pimentoladder::tools {

body_digest::body_digest()
    : m_state(XXH64_createState())
{
    XXH64_reset(m_state.get(), 0);
}

body_digest::~body_digest() = default;
body_digest::body_digest(body_digest&&) noexcept = default;
body_digest& body_digest::operator=(body_digest&&) noexcept = default;

void body_digest::add(std::string_view bytes)
{
    XXH64_update(m_state.get(), bytes.data(), bytes.size());
}

std::string body_digest::text() const
{
    std::array<char, 17> digits {};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(XXH64_digest(m_state.get())));
    return digits.data();
}

void body_digest::state_deleter::operator()(XXH64_state_s* state) const
{
    XXH64_freeState(state);
}

std::string digestOf(std::string_view body)
{
    body_digest digest;
    digest.add(body);
    return digest.text();
}

}
