#include "pimentoladder/Admission/ServerChoice.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace pimentoladder {

namespace {

    double leastLoadOf(std::span<const server_candidate> candidates)
    {
        return std::ranges::min_element(candidates, {}, &server_candidate::loadFraction)->loadFraction;
    }

    // Compared in the order of the members; the least value is the best.
    struct preference {
        int tier = 0;
        double load = 0;
        auto operator<=>(const preference&) const = default;
    };

    template <typename Preference>
    std::size_t chooseLeast(std::span<const server_candidate> candidates, random_source& random, Preference preferenceOf)
    {
        std::vector<std::size_t> best;
        preference least;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const preference current = preferenceOf(candidates[i]);
            if (best.empty() || current < least) {
                best.clear();
                least = current;
            }
            if (current == least)
                best.push_back(i);
        }
        return best.size() == 1 ? best.front() : best[random.index(best.size())];
    }

}

std::size_t local_then_prefix::choose(std::span<const server_candidate> candidates, random_source& random) const
{
    assert(!candidates.empty() && "a server choice needs at least one candidate");
    const double maxPreferredLoad = leastLoadOf(candidates) + m_margin;
    const auto preferenceOf = [&](const server_candidate& candidate) {
        if (candidate.loadFraction > maxPreferredLoad)
            return preference { 4, candidate.loadFraction };
        const int distance = candidate.isLocal ? 0 : 2;
        return preference { distance + (candidate.hasPrefix ? 0 : 1), candidate.loadFraction };
    };
    return chooseLeast(candidates, random, preferenceOf);
}

std::size_t least_load::choose(std::span<const server_candidate> candidates, random_source& random) const
{
    assert(!candidates.empty() && "a server choice needs at least one candidate");
    return chooseLeast(candidates, random,
        [](const server_candidate& candidate) { return preference { 0, candidate.loadFraction }; });
}

}
