#include "standins/EngineModel.h"

#include <algorithm>
#include <utility>

namespace pimentoladder::standins {

namespace {

    constexpr std::size_t saltBound = std::size_t { 1 } << 62;
    constexpr std::uint32_t vocabularySize = 100'000;

    /// Mixes the bits of a number (finaliser of SplitMix64).
    std::uint64_t mixBits(std::uint64_t value)
    {
        value += 0x9e3779b97f4a7c15U;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
        return value ^ (value >> 31);
    }

    std::uint64_t hashBlock(std::uint64_t hash, std::string_view block)
    {
        for (const char byte : block)
            hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3U; // FNV-1a
        return mixBits(hash);
    }

    std::uint32_t tokenCount(std::size_t bytes)
    {
        return static_cast<std::uint32_t>((bytes + bytesPerToken - 1) / bytesPerToken);
    }

}

std::uint32_t tokenValue(std::uint64_t salt, std::uint32_t index)
{
    return static_cast<std::uint32_t>(mixBits(salt ^ mixBits(index)) % vocabularySize);
}

engine_model::engine_model(engine_settings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

stream_number engine_model::start(std::string_view prompt, std::optional<std::uint32_t> hiddenTokens)
{
    stream_state stream;
    stream.salt = m_random.index(saltBound);
    stream.promptTokens = tokenCount(prompt.size());
    stream.prefillLeft = cachePrompt(prompt);
    // Uniformly distributed from 1 to twice the mean.
    const auto drawn = static_cast<std::uint32_t>(1 + m_random.index(std::size_t { 2 } * m_settings.meanTokens));
    stream.total = std::max(hiddenTokens.value_or(drawn), 1U);
    m_streams.emplace(++m_lastStream, stream);
    return m_lastStream;
}

std::vector<stream_number> engine_model::step()
{
    std::uint32_t prefillBudget = m_settings.prefillTokens;
    std::vector<stream_number> advanced;
    for (auto& [number, stream] : m_streams) {
        if (stream.isPaused)
            continue;
        const std::uint32_t read = std::min(prefillBudget, stream.prefillLeft);
        prefillBudget -= read;
        stream.prefillLeft -= read;
        const bool isStalled = stream.stallAt && stream.generated >= *stream.stallAt;
        if (stream.prefillLeft > 0 || isStalled || stream.generated == stream.total)
            continue;
        ++stream.generated;
        advanced.push_back(number);
    }
    return advanced;
}

duration engine_model::stepTime() const
{
    const auto running = static_cast<double>(inFlight());
    const double excess = std::max(running - currentLimit(), 0.0);
    // Quadratic slowdown: two streams beyond the limit make every step nine
    // times as long.
    const double slowdown = (1 + excess) * (1 + excess) * (isCold() ? m_settings.coldSlowdown : 1);
    return std::chrono::duration_cast<duration>(m_settings.stepTime * slowdown);
}

std::size_t engine_model::inFlight() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_streams, [](const auto& entry) { return !entry.second.isPaused; }));
}

void engine_model::finish(stream_number number)
{
    if (m_streams.erase(number) > 0)
        ++m_finishedSinceCold;
}

stream_state* engine_model::find(stream_number number)
{
    const auto found = m_streams.find(number);
    return found == m_streams.end() ? nullptr : &found->second;
}

std::vector<cache_event> engine_model::takeCacheEvents()
{
    return std::exchange(m_cacheEvents, {});
}

std::uint32_t engine_model::cachePrompt(std::string_view prompt)
{
    std::uint64_t hash = 0xcbf29ce484222325U; // offset basis of FNV-1a
    std::size_t covered = 0;
    bool isCovered = true;
    for (std::size_t start = 0; start + cacheBlockBytes <= prompt.size(); start += cacheBlockBytes) {
        hash = hashBlock(hash, prompt.substr(start, cacheBlockBytes));
        isCovered = isCovered && m_blockIndex.contains(hash);
        if (isCovered)
            covered = start + cacheBlockBytes;
        touchBlock(hash);
    }
    return tokenCount(prompt.size() - covered);
}

void engine_model::touchBlock(std::uint64_t hash)
{
    const auto found = m_blockIndex.find(hash);
    if (found != m_blockIndex.end()) {
        m_blocks.splice(m_blocks.end(), m_blocks, found->second);
        return;
    }
    m_blockIndex[hash] = m_blocks.insert(m_blocks.end(), hash);
    m_cacheEvents.push_back({ ++m_lastCacheEvent, true, hash });
    if (m_blocks.size() <= m_settings.cacheBlocks)
        return;
    m_cacheEvents.push_back({ ++m_lastCacheEvent, false, m_blocks.front() });
    m_blockIndex.erase(m_blocks.front());
    m_blocks.pop_front();
}

}
