/// \file
/// Simulated inference engine without input or output: continuous batching,
/// cold start and a prompt prefix cache, advanced step by step.

#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pimentoladder/Base/Random.h"
#include "pimentoladder/Base/Time.h"

namespace pimentoladder::standins {

struct engine_settings {
    std::uint32_t limit = 8; ///< Concurrent streams at full speed when warm.
    std::uint32_t coldLimit = 2; ///< Concurrent streams without overload when cold.
    std::uint32_t warmAfter = 8; ///< Requests that a cold engine must finish to become warm.
    duration stepTime = std::chrono::milliseconds(5); ///< Duration of one step (one token of every stream) at full speed.
    double coldSlowdown = 3; ///< Factor on the step time of a cold engine.
    std::uint32_t prefillTokens = 2048; ///< Prompt tokens processed in one step, over all streams.
    std::uint32_t cacheBlocks = 4096; ///< Capacity of the prefix cache, in blocks.
    std::uint32_t meanTokens = 100; ///< Mean output tokens of a request that does not specify `hiddenTokens`.
};

/// Prompt bytes in one block of the prefix cache.
constexpr std::size_t cacheBlockBytes = 256;

/// Prompt bytes counted as one token.
constexpr std::size_t bytesPerToken = 4;

/// Insertion or eviction of a prefix cache block. The hash covers the prompt
/// from its start to the end of the block.
struct cache_event {
    std::uint64_t sequence = 0;
    bool isStored = false; ///< False if the block was evicted.
    std::uint64_t hash = 0;
};

using stream_number = std::uint64_t;

struct stream_state {
    std::uint64_t salt = 0; ///< Seed of the token values.
    std::uint32_t promptTokens = 0;
    std::uint32_t prefillLeft = 0;
    std::uint32_t generated = 0;
    std::uint32_t total = 0;
    std::optional<std::uint32_t> stallAt; ///< Number of generated tokens at which the stream stalls.
    bool isPaused = false; ///< A paused stream keeps its state but generates no tokens.
};

/// Returns the value of the token at \p index of a stream. Thread-safe.
std::uint32_t tokenValue(std::uint64_t salt, std::uint32_t index);

/// Not thread-safe; call on the loop's thread.
class engine_model {
public:
    engine_model(engine_settings settings, std::uint64_t seed);

    /// Adds a stream that generates \p hiddenTokens tokens, or a random number
    /// if none is given.
    stream_number start(std::string_view prompt, std::optional<std::uint32_t> hiddenTokens);

    /// Runs one step and returns the streams that generated a token.
    std::vector<stream_number> step();

    /// Returns the duration of the next step with the streams that run now.
    duration stepTime() const;

    /// Removes a finished stream and counts it towards `warmAfter`.
    void finish(stream_number number);
    /// Removes a stream without counting it as finished.
    void remove(stream_number number) { m_streams.erase(number); }

    /// Returns a stream, or null if there is none with this number. The pointer is valid until
    /// the stream is removed.
    stream_state* find(stream_number number);

    void makeCold() { m_finishedSinceCold = 0; }
    bool isCold() const { return m_finishedSinceCold < m_settings.warmAfter; }
    /// Returns how many concurrent streams run at full speed, cold or warm.
    std::uint32_t currentLimit() const { return isCold() ? m_settings.coldLimit : m_settings.limit; }
    /// Returns the number of streams, excluding paused ones.
    std::size_t inFlight() const;

    /// Returns and clears the cache events since the last call.
    std::vector<cache_event> takeCacheEvents();

private:
    /// Stores the blocks of the prompt in the cache and returns the number of
    /// prompt tokens that the cache did not cover.
    std::uint32_t cachePrompt(std::string_view prompt);
    /// Marks a block as most recently used. Inserts it if it is missing and
    /// evicts the least recently used block beyond the capacity.
    void touchBlock(std::uint64_t hash);

    engine_settings m_settings;
    random_source m_random;
    std::uint32_t m_finishedSinceCold = 0;
    stream_number m_lastStream = 0;
    std::map<stream_number, stream_state> m_streams;
    std::list<std::uint64_t> m_blocks; ///< Least recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blockIndex;
    std::vector<cache_event> m_cacheEvents;
    std::uint64_t m_lastCacheEvent = 0;
};

}
