/// \file
/// Bound on the memory of answers that wait for slow callers.

#pragma once

#include <algorithm>
#include <cstddef>

namespace pimentoladder {

/// Limits on answer bytes that callers have not taken yet.
struct answer_buffer_limits {
    std::size_t each = std::size_t { 256 } * 1024; ///< Of one answer.
    std::size_t total = std::size_t { 64 } * 1024 * 1024; ///< Of all answers together, above which each may keep `pressedEach` only.
};

/// Decides when to stop reading an answer from its server because its caller is slow.
///
/// The sum over all callers is what the memory of the VM bounds, not the part of each: 900
/// callers that do not read took 195 MB at 256 KiB each. With N answers in progress at most
/// `total` + N x (`pressedEach` + one read of a socket) bytes wait.
/// Thread-safe.
class answer_buffers {
public:
    /// Bytes that an answer may keep while all together are above their limit. Answers then
    /// still progress, a few events at a time.
    static constexpr std::size_t pressedEach = std::size_t { 4 } * 1024;

    explicit answer_buffers(const answer_buffer_limits& limits)
        : m_limits(limits)
    {
    }

    /// Returns whether to stop reading an answer of which \p own bytes wait for its caller,
    /// while \p all bytes of all answers wait.
    bool shouldPause(std::size_t own, std::size_t all) const { return own > mayKeep(all); }

    /// Returns the number of waiting bytes of an answer at which reading it resumes.
    std::size_t resumeAt(std::size_t all) const { return mayKeep(all) / 2; }

private:
    std::size_t mayKeep(std::size_t all) const { return all > m_limits.total ? std::min(pressedEach, m_limits.each) : m_limits.each; }

    answer_buffer_limits m_limits;
};

}
