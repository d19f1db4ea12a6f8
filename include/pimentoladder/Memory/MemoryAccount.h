/// \file
/// Account of the memory that the requests and answers of callers take together.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string_view>

#include "pimentoladder/Base/Ids.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// What holds memory on behalf of callers.
enum class memory_holder {
    input, ///< Received bytes that have not been parsed.
    reading, ///< Requests that have not arrived completely, with the announced rest of their bodies.
    requests, ///< Complete requests, which are kept until they cannot be sent again.
    answers, ///< Answer bytes that callers have not taken yet.
};

inline constexpr std::size_t memoryHolderCount = 4;

/// Returns the name of \p holder. Thread-safe.
std::string_view memoryHolderName(memory_holder holder);

/// Number of a connection whose requests take room.
using caller_number = strong_number<struct caller_tag>;

/// Limits of a memory account. The defaults never refuse anything.
struct memory_limits {
    static constexpr std::size_t unlimited = std::size_t { 1 } << 62;

    std::size_t total = unlimited; ///< Of all holders together.
    duration stallTime = std::chrono::seconds(1); ///< Without progress, after which a request that is being read gives way to others.
};

/// Returns the limits of a process that may use \p memoryBytes: half of them, since the rest is for
/// the process itself, its connections, and what the allocator does not return.
/// Thread-safe.
memory_limits memoryLimitsFor(std::uint64_t memoryBytes);

class memory_room;

/// Decides which requests may be read, by the memory that all requests and answers hold.
///
/// A request may grow while all holders together stay below a limit that falls with its size:
/// `total` up to `smallBytes`, 7/8 of it up to `mediumBytes`, and half of it beyond. So large
/// requests leave room for ordinary ones. A request that has not made `progressBytes` of progress
/// for `stallTime` gives way when another one finds no room. Input and answers are counted
/// but not refused, as their own rules bound them; what they hold is missing for requests.
/// Not thread-safe; call on the loop's thread.
class memory_account {
public:
    static constexpr std::size_t smallBytes = std::size_t { 16 } * 1024;
    static constexpr std::size_t mediumBytes = std::size_t { 160 } * 1024;
    static constexpr std::size_t progressBytes = std::size_t { 16 } * 1024;
    /// Input that a connection may hold behind a request in progress while the account is pressed.
    static constexpr std::size_t pressedInputBytes = std::size_t { 4 } * 1024;

    explicit memory_account(const memory_limits& limits)
        : m_limits(limits)
    {
    }

    /// Replaces the part \p before of what \p holder holds by \p after. \p holder is `input` or `answers`.
    void count(memory_holder holder, std::size_t before, std::size_t after);

    /// Returns the connection whose incomplete request has made no progress for longest, if that is
    /// at least `stallTime`, other than \p asking.
    std::optional<caller_number> findStalled(time_point now, caller_number asking) const;

    /// Returns whether the input behind a request in progress is to be discarded, which holds \p own bytes.
    bool shouldDiscardInput(std::size_t own) const { return own > pressedInputBytes && held() > m_limits.total / 2; }

    /// Returns the size of the largest request that is admitted while nothing else is held.
    std::size_t largestRequest() const { return m_limits.total / 2; }

    std::size_t held(memory_holder holder) const { return m_held[static_cast<std::size_t>(holder)]; }
    std::size_t held() const { return m_total; }
    const memory_limits& limits() const { return m_limits; }

private:
    friend class memory_room;

    std::size_t limitFor(std::size_t bytes) const;

    memory_limits m_limits;
    std::array<std::size_t, memoryHolderCount> m_held {};
    std::size_t m_total = 0;
    std::list<memory_room*> m_readers; ///< Rooms of incomplete requests, the one without progress for longest first.
};

/// Room of one request in an account. It may be kept by whatever keeps the request's bytes.
/// Not thread-safe; use on the loop's thread.
class memory_room {
public:
    /// Takes no room yet. \p caller is the connection that gives way if the request stalls.
    memory_room(std::shared_ptr<memory_account> account, caller_number caller)
        : m_account(std::move(account))
        , m_caller(caller)
    {
    }
    /// Releases the room.
    ~memory_room();
    memory_room(const memory_room&) = delete;
    memory_room& operator=(const memory_room&) = delete;

    /// Records that \p received bytes of the request have arrived, and takes room for \p bytes in all.
    /// Returns whether there is room; if not, the room is as before.
    /// Precondition: the request is incomplete.
    bool resize(time_point now, std::size_t received, std::size_t bytes);

    /// The request is complete and no longer gives way.
    void complete();

    std::size_t bytes() const { return m_bytes; }

private:
    friend class memory_account;

    std::shared_ptr<memory_account> m_account;
    caller_number m_caller;
    memory_holder m_holder = memory_holder::reading;
    std::size_t m_bytes = 0;
    std::size_t m_progress = 0; ///< Received bytes when `m_progressAt` was last set.
    time_point m_progressAt;
    std::list<memory_room*> m_node; ///< The element of `m_readers` while that does not contain it.
    std::list<memory_room*>::iterator m_position;
    bool m_isListed = false;
};

}
