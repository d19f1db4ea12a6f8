/// \file
/// Digest of a response body, as recorded in histories.

#pragma once

#include <memory>
#include <string>
#include <string_view>

struct XXH64_state_s;

namespace pimentoladder::tools {

/// XXH64 over the bytes added so far. Not thread-safe.
class body_digest {
public:
    body_digest();
    ~body_digest();
    body_digest(body_digest&&) noexcept;
    body_digest& operator=(body_digest&&) noexcept;

    void add(std::string_view bytes);

    /// Returns 16 hexadecimal digits.
    std::string text() const;

private:
    struct state_deleter {
        void operator()(XXH64_state_s* state) const;
    };
    std::unique_ptr<XXH64_state_s, state_deleter> m_state;
};

/// Returns the digest of a whole body. Thread-safe.
std::string digestOf(std::string_view body);

}
