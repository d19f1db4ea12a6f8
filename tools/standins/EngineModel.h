/// \file
/// Model engine without input or output: continuous batching, cold start and
/// a prompt prefix cache, advanced step by step.

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
    std::uint32_t limit = 8; ///< Streams that run at full speed when warm.
    std::uint32_t coldLimit = 2; ///< Streams that the engine bears when cold.
    std::uint32_t warmAfter = 8; ///< Requests that finish before a cold engine is warm.
    duration stepTime = std::chrono::milliseconds(5); ///< For one token of every stream, at full speed.
    double coldSlowdown = 3; ///< Factor on the step time of a cold engine.
    std::uint32_t prefillTokens = 2048; ///< Prompt tokens read in one step, over all streams.
    std::uint32_t cacheBlocks = 4096; ///< Prompt blocks that the prefix cache holds.
    std::uint32_t meanTokens = 100; ///< Mean number of tokens of a request without a hidden cost.
};

/// Prompt bytes in one block of the prefix cache.
constexpr std::size_t cacheBlockBytes = 256;

/// Prompt bytes that count as one token.
constexpr std::size_t bytesPerToken = 4;

/// A change of the prefix cache. The hash covers the prompt up to the block's
/// end.
struct cache_event {
    std::uint64_t sequence = 0;
    bool isStored = false; ///< Otherwise evicted.
    std::uint64_t hash = 0;
};

using stream_number = std::uint64_t;

struct stream_state {
    std::uint64_t salt = 0; ///< Determines the values of the tokens.
    std::uint32_t promptTokens = 0;
    std::uint32_t prefillLeft = 0;
    std::uint32_t generated = 0;
    std::uint32_t total = 0;
    std::optional<std::uint32_t> stallAt; ///< Tokens after which the stream stalls.
    bool isPaused = false; ///< A paused stream keeps its place in the cache but does not run.
};

/// Returns the value of a token. Thread-safe.
std::uint32_t tokenValue(std::uint64_t salt, std::uint32_t index);

/// Not thread-safe; call on the loop's thread.
class engine_model {
public:
    engine_model(engine_settings settings, std::uint64_t seed);

    /// Adds a stream. The number of tokens is \p hiddenTokens, or else drawn.
    stream_number start(std::string_view prompt, std::optional<std::uint32_t> hiddenTokens);

    /// Runs one step and returns the streams that gained a token.
    std::vector<stream_number> step();

    /// Returns how long the next step takes with the streams now running.
    duration stepTime() const;

    /// Removes a stream whose last token is out; counts towards warmth.
    void finish(stream_number number);
    /// Removes a stream for any other reason.
    void remove(stream_number number) { m_streams.erase(number); }

    /// Returns a stream, or null if it does not run. The pointer is valid until
    /// the stream is removed.
    stream_state* find(stream_number number);

    void makeCold() { m_finishedSinceCold = 0; }
    bool isCold() const { return m_finishedSinceCold < m_settings.warmAfter; }
    /// Returns how many streams run at full speed now.
    std::uint32_t trueLimit() const { return isCold() ? m_settings.coldLimit : m_settings.limit; }
    /// Returns how many streams run, without paused ones.
    std::size_t inFlight() const;

    /// Returns the cache events since the last call.
    std::vector<cache_event> takeCacheEvents();

private:
    /// Returns the prompt tokens that the cache does not cover, and stores the
    /// prompt's blocks.
    std::uint32_t readThroughCache(std::string_view prompt);
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
