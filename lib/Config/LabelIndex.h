/// \file
/// Inverted index from labels to objects, and the bit sets that it returns.

#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "pimentoladder/Config/Selector.h"

namespace pimentoladder {

/// A bit set whose size is fixed at construction; holds object indexes.
class dynamic_bitset {
public:
    explicit dynamic_bitset(std::size_t size)
        : m_size(size)
        , m_words((size + 63) / 64)
    {
    }

    void insert(std::size_t index) { m_words[index / 64] |= std::uint64_t { 1 } << (index % 64); }
    void invert();
    void intersect(const dynamic_bitset& other);
    const std::vector<std::uint64_t>& words() const { return m_words; }

    template <typename Visitor>
    void forEach(Visitor visitor) const
    {
        for (std::size_t i = 0; i < m_words.size(); ++i) {
            for (std::uint64_t rest = m_words[i]; rest != 0; rest &= rest - 1)
                visitor(i * 64 + static_cast<std::size_t>(std::countr_zero(rest)));
        }
    }

private:
    std::size_t m_size;
    std::vector<std::uint64_t> m_words;
};

/// Finds the objects that a selector matches without scanning all objects.
/// Refers to the label maps, which must outlive it.
class label_index {
public:
    /// Precondition: no entry is null. Results refer to objects by their index in
    /// \p objects.
    explicit label_index(const std::vector<const label_map*>& objects);

    dynamic_bitset matching(const selector& chosen) const;

private:
    struct key_postings {
        std::vector<std::uint32_t> present;
        std::unordered_map<std::string_view, std::vector<std::uint32_t>> byValue;
    };

    dynamic_bitset satisfying(const label_requirement& requirement) const;

    std::size_t m_size;
    std::unordered_map<std::string_view, key_postings> m_keys;
};

}
