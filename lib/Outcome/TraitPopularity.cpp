#include "pimentoladder/Outcome/TraitPopularity.h"

#include <algorithm>
#include <sstream>

namespace pimentoladder {

namespace {

    // Interval at which the counters of the popularity are halved.
    constexpr duration popularityHalfLife = std::chrono::seconds(10);
    // With fewer requests than this, a trait counts as rare.
    constexpr std::uint32_t minRequestsForPopularity = 50;
    constexpr double defaultFraction = 0.01;

}

std::string traitText(const request_trait& trait)
{
    std::ostringstream text;
    text << (trait.kind == trait_kind::request ? "request:" : "part:") << std::hex << trait.id;
    return text.str();
}

std::size_t trait_popularity::columnOf(const request_trait& trait, std::size_t row)
{
    // Finaliser of the splitmix64 generator, with a different seed for each row.
    std::uint64_t hash = trait.id + (static_cast<std::uint64_t>(trait.kind) + 2 * row) * 0x9e3779b97f4a7c15;
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb;
    return (hash ^ (hash >> 31)) % columns;
}

void trait_popularity::record(time_point now, const traits_of_request& request)
{
    if (now - m_halvedAt >= popularityHalfLife) {
        m_halvedAt = now;
        m_requests /= 2;
        for (auto& row : m_counters) {
            for (std::uint32_t& counter : row)
                counter /= 2;
        }
    }
    ++m_requests;
    for (const request_trait& trait : request.traits) {
        for (std::size_t row = 0; row < rows; ++row)
            ++m_counters[row][columnOf(trait, row)];
    }
}

double trait_popularity::fractionOf(const request_trait& trait) const
{
    if (m_requests < minRequestsForPopularity)
        return defaultFraction;
    std::uint32_t least = m_requests;
    for (std::size_t row = 0; row < rows; ++row)
        least = std::min(least, m_counters[row][columnOf(trait, row)]);
    return static_cast<double>(least) / m_requests;
}

}
